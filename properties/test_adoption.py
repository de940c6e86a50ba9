"""A stored version is in force everywhere in time and never reverts."""

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count
from random import Random
from typing import Any

import pytest

from berylhinge.core import adoption
from berylhinge.core.adoption import (
    Adopt,
    AdoptionState,
    Announce,
    AskStore,
    KeysWithdrawn,
    PeersChanged,
    PeerSent,
    Pull,
    StoreFailed,
    StoreSent,
    Tick,
    VersionHeard,
    watchers,
)
from berylhinge.core.configuration import Configuration
from berylhinge.core.declarations import empty_declaration

IN_FORCE_SECONDS = 9.0
# The platform takes 2,000 reads a second; half is left to everything else.
STORE_CALLS_PER_SECOND = 1_000
TICK_SECONDS = 0.25
PROBE_SECONDS = 1.0
DELAY_SECONDS = (0.001, 0.02)


def configuration(version: int) -> Configuration:
    return Configuration(version, (), {}, empty_declaration())


class Fleet:
    """Run adopting instances on a virtual clock over lossy links and a store."""

    def __init__(self, size: int, *, seed: int, lost: float, version: int) -> None:
        self.rng = Random(seed)
        self.lost = lost
        self.now = 0.0
        self.names = [f"i-{number}" for number in range(size)]
        # One tuple for all, with oneself in it, keeps 2,000 states small.
        self.peers = tuple(self.names)
        self.watchers = watchers(self.peers)
        self.stored = configuration(1)
        self.store_up = True
        self.queue: list[tuple[float, int, Any, Any]] = []
        self.order = count()
        self.waiting: list[tuple[str, int, float]] = []
        self.store_calls: Counter[int] = Counter()
        self.reverted: list[str] = []
        self.withdrawn: set[str] = set()
        self.states = {name: self.member(name, version) for name in self.names}
        for name in self.names:
            self.at(self.rng.uniform(0.0, TICK_SECONDS), self.tick, name)
            self.at(self.rng.uniform(0.0, PROBE_SECONDS), self.probe, name)

    def member(self, name: str, version: int) -> AdoptionState:
        return AdoptionState(
            name,
            peers=self.peers,
            watching=name in self.watchers,
            configuration=configuration(version),
            store_at=0.0 if name in self.watchers else 1e6,
        )

    def restart(self, name: str) -> None:
        self.states[name] = AdoptionState(name)
        self.deliver(name, PeersChanged(self.peers))

    def at(self, when: float, action: Any, argument: Any) -> None:
        heapq.heappush(self.queue, (when, next(self.order), action, argument))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, argument = heapq.heappop(self.queue)
            action(argument)
        self.now = until

    def deliver(self, name: str, event: Any) -> None:
        before = self.states[name]
        state, effects = adoption.step(event, before, self.now, self.rng)
        if state.version < before.version:
            self.reverted.append(name)
        self.states[name] = state
        for effect in effects:
            self.perform(name, effect)

    def tick(self, name: str) -> None:
        self.deliver(name, Tick())
        self.at(self.now + TICK_SECONDS, self.tick, name)

    def probe(self, name: str) -> None:
        peer = self.rng.choice(self.names)
        self.send(peer, VersionHeard(name, self.states[name].version))
        self.send(name, VersionHeard(peer, self.states[peer].version))
        self.at(self.now + PROBE_SECONDS, self.probe, name)

    def send(self, name: str, event: Any) -> None:
        if self.rng.random() >= self.lost:
            delay = self.rng.uniform(*DELAY_SECONDS)
            self.at(self.now + delay, lambda _: self.deliver(name, event), None)

    def perform(self, name: str, effect: Any) -> None:
        if isinstance(effect, Pull):
            self.answer_pull(name, effect)
        elif isinstance(effect, Announce):
            heard = VersionHeard(name, effect.version, effect.withdrawals)
            for peer in effect.peers:
                self.send(peer, heard)
        elif isinstance(effect, AskStore):
            self.ask_store(name, effect)
        else:
            assert isinstance(effect, Adopt)
            if "k" in effect.withdrawals:
                self.withdrawn.add(name)

    def answer_pull(self, name: str, effect: Pull) -> None:
        state = self.states[effect.peer]
        if state.configuration and self.rng.random() >= self.lost:
            known = tuple(state.withdrawals)
            self.send(name, PeerSent(effect.peer, state.configuration, known))

    def ask_store(self, name: str, effect: AskStore) -> None:
        self.store_calls[int(self.now)] += 1
        if not self.store_up or self.rng.random() < self.lost:
            self.at(self.now + 0.5, lambda _: self.deliver(name, StoreFailed()), None)
        elif self.stored.version > effect.version or not effect.wait_seconds:
            sent = StoreSent(self.stored, self.now)
            self.at(self.now + 0.005, lambda _: self.deliver(name, sent), None)
        else:
            ends = self.now + effect.wait_seconds
            self.waiting.append((name, effect.version, ends))
            self.at(ends, self.end_watches, None)

    def end_watches(self, _: None) -> None:
        ready = [one for one in self.waiting if self.ends_now(one)]
        self.waiting = [one for one in self.waiting if not self.ends_now(one)]
        for name, _, _ in ready:
            self.deliver(name, StoreSent(self.stored, self.now))

    def ends_now(self, watch: tuple[str, int, float]) -> bool:
        _, version, ends = watch
        return self.stored.version > version or self.now >= ends

    def store(self, version: int) -> None:
        self.stored = configuration(version)
        self.at(self.now, self.end_watches, None)

    def behind(self, version: int) -> int:
        return sum(state.version < version for state in self.states.values())


def spread(size: int, *, seed: int, lost: float) -> Fleet:
    """Store two versions in a row and restart some instances meanwhile."""
    fleet = Fleet(size, seed=seed, lost=lost, version=1)
    fleet.run(2.0)
    fleet.store(2)
    fleet.run(2.3)
    fleet.store(3)
    for name in fleet.rng.sample(fleet.names, size // 50):
        fleet.restart(name)
    fleet.run(2.3 + IN_FORCE_SECONDS)
    return fleet


@pytest.mark.parametrize(
    "size, seed, lost",
    [(1, 1, 0.0), (7, 1, 0.05), (7, 2, 0.3), (200, 3, 0.3), (2_000, 4, 0.05)],
)
def test_a_version_is_in_force_everywhere_in_time(
    size: int, seed: int, lost: float
) -> None:
    fleet = spread(size, seed=seed, lost=lost)
    assert fleet.behind(3) == 0
    assert fleet.reverted == []


def test_the_property_catches_instances_that_do_not_pull(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(adoption, "pull_if_behind", lambda state, now, rng: (state, []))
    assert spread(50, seed=1, lost=0.05).behind(3) > 0


def test_the_property_catches_instances_that_revert(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(adoption, "is_newer", lambda state, configuration: True)
    reverted = [spread(50, seed=seed, lost=0.3).reverted for seed in range(4)]
    assert any(reverted)


def test_a_restart_in_an_outage_takes_the_peers_version() -> None:
    fleet = Fleet(50, seed=5, lost=0.05, version=4)
    fleet.store_up = False
    for name in fleet.names[:10]:
        fleet.restart(name)
    fleet.run(IN_FORCE_SECONDS)
    assert fleet.behind(4) == 0


def test_a_restart_of_all_in_an_outage_leaves_none_ready() -> None:
    fleet = Fleet(20, seed=6, lost=0.0, version=1)
    fleet.store_up = False
    for name in fleet.names:
        fleet.restart(name)
    fleet.run(IN_FORCE_SECONDS)
    assert not any(state.is_ready for state in fleet.states.values())


@pytest.mark.parametrize("size, lost", [(7, 0.3), (300, 0.05)])
def test_a_key_withdrawn_at_one_instance_in_an_outage_is_withdrawn_at_all(
    size: int, lost: float
) -> None:
    fleet = Fleet(size, seed=7, lost=lost, version=4)
    fleet.store_up = False
    fleet.run(1.0)
    fleet.deliver(fleet.names[0], KeysWithdrawn(("k",)))
    fleet.run(3.0)
    assert fleet.withdrawn == set(fleet.names)


def outage(monkeypatch: pytest.MonkeyPatch, size: int, seconds: float) -> Fleet:
    """Restart all instances at once while the store is down, then bring it back."""
    fleet = Fleet(size, seed=8, lost=0.0, version=1)
    monkeypatch.setattr(adoption, "watchers", lambda instances: fleet.watchers)
    fleet.store_up = False
    for name in fleet.names:
        fleet.restart(name)
    fleet.run(seconds)
    fleet.store_up = True
    fleet.run(seconds + IN_FORCE_SECONDS)
    return fleet


def test_store_calls_keep_the_budget_over_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = outage(monkeypatch, 2_000, 12.0)
    assert fleet.behind(1) == 0
    assert max(fleet.store_calls.values()) <= STORE_CALLS_PER_SECOND


def test_the_budget_catches_retries_without_a_spread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(adoption, "STORE_RETRIES_PER_SECOND", 1e9)
    monkeypatch.setattr(adoption, "FIRST_ASKS_PER_SECOND", 1e9)
    fleet = outage(monkeypatch, 2_000, 3.0)
    assert max(fleet.store_calls.values()) > STORE_CALLS_PER_SECOND
