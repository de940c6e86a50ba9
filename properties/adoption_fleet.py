"""Simulate configuration adoption on a virtual clock with lossy links and a store."""

from __future__ import annotations

import heapq
from collections import Counter
from itertools import count
from random import Random
from typing import Any

from berylhinge.core import configuration_sync
from berylhinge.core.configuration import Configuration
from berylhinge.core.configuration_sync import (
    AdoptConfiguration,
    AdoptionState,
    AnnounceVersion,
    ConfigurationRead,
    ConfigurationReadFailed,
    PeersChanged,
    PullConfiguration,
    PullSucceeded,
    ReadConfiguration,
    Tick,
    VersionReceived,
)
from berylhinge.core.declarations import empty_declaration

TICK_SECONDS = 0.25
PROBE_SECONDS = 1.0
DELAY_SECONDS = (0.001, 0.02)


def configuration(version: int) -> Configuration:
    return Configuration(version, (), {}, empty_declaration())


class AdoptionFleet:
    """Represent the instances of one run, and count their messages and store calls.

    ``lost`` is the fraction of messages, pulls and store reads that are lost.
    """

    def __init__(
        self, size: int, *, seed: int, loss_fraction: float, version: int
    ) -> None:
        self.rng = Random(seed)
        self.loss_fraction = loss_fraction
        self.now = 0.0
        self.names = [f"i-{number}" for number in range(size)]
        # All instances share one tuple, each among its own peers, to save memory with
        # 2,000 states.
        self.peers = tuple(self.names)
        self.watchers = configuration_sync.choose_watchers(self.peers)
        self.stored = configuration(1)
        self.store_up = True
        self.queue: list[tuple[float, int, Any, Any]] = []
        self.event_numbers = count()
        self.open_watches: list[tuple[str, int, float]] = []
        self.store_calls: Counter[int] = Counter()
        self.sent: Counter[str] = Counter()
        self.announced = 0
        self.reverted: list[str] = []
        self.withdrawn: set[str] = set()
        self.states = {name: self.new_state(name, version) for name in self.names}
        for name in self.names:
            self.schedule(self.rng.uniform(0.0, TICK_SECONDS), self.tick, name)
            self.schedule(self.rng.uniform(0.0, PROBE_SECONDS), self.probe, name)

    def new_state(self, name: str, version: int) -> AdoptionState:
        return AdoptionState(
            name,
            peers=self.peers,
            is_watcher=name in self.watchers,
            configuration=configuration(version),
            next_store_read_at=0.0 if name in self.watchers else 1e6,
        )

    def restart(self, name: str) -> None:
        self.states[name] = AdoptionState(name)
        self.deliver(name, PeersChanged(self.peers))

    def schedule(self, when: float, action: Any, argument: Any) -> None:
        heapq.heappush(self.queue, (when, next(self.event_numbers), action, argument))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, argument = heapq.heappop(self.queue)
            action(argument)
        self.now = until

    def deliver(self, name: str, event: Any) -> None:
        before = self.states[name]
        state, effects = configuration_sync.step(event, before, self.now, self.rng)
        if state.version < before.version:
            self.reverted.append(name)
        self.states[name] = state
        for effect in effects:
            self.perform(name, effect)

    def tick(self, name: str) -> None:
        self.deliver(name, Tick())
        self.schedule(self.now + TICK_SECONDS, self.tick, name)

    def probe(self, name: str) -> None:
        peer = self.rng.choice(self.names)
        self.send(peer, VersionReceived(name, self.states[name].version))
        self.send(name, VersionReceived(peer, self.states[peer].version))
        self.schedule(self.now + PROBE_SECONDS, self.probe, name)

    def send(self, name: str, event: Any) -> None:
        self.sent[type(event).__name__] += 1
        if self.rng.random() >= self.loss_fraction:
            delay = self.rng.uniform(*DELAY_SECONDS)
            self.schedule(self.now + delay, lambda _: self.deliver(name, event), None)

    def perform(self, name: str, effect: Any) -> None:
        if isinstance(effect, PullConfiguration):
            self.answer_pull(name, effect)
        elif isinstance(effect, AnnounceVersion):
            announcement = VersionReceived(name, effect.version, effect.withdrawals)
            self.announced += len(effect.peers)
            for peer in effect.peers:
                self.send(peer, announcement)
        elif isinstance(effect, ReadConfiguration):
            self.ask_store(name, effect)
        else:
            assert isinstance(effect, AdoptConfiguration)
            if "k" in effect.withdrawals:
                self.withdrawn.add(name)

    def answer_pull(self, name: str, effect: PullConfiguration) -> None:
        state = self.states[effect.peer]
        if state.configuration and self.rng.random() >= self.loss_fraction:
            withdrawals = tuple(state.early_withdrawals)
            self.send(
                name, PullSucceeded(effect.peer, state.configuration, withdrawals)
            )

    def ask_store(self, name: str, effect: ReadConfiguration) -> None:
        self.store_calls[int(self.now)] += 1
        if not self.store_up or self.rng.random() < self.loss_fraction:
            self.schedule(
                self.now + 0.5,
                lambda _: self.deliver(name, ConfigurationReadFailed()),
                None,
            )
        elif self.stored.version > effect.version or not effect.wait_seconds:
            answer = ConfigurationRead(self.stored, self.now)
            self.schedule(self.now + 0.005, lambda _: self.deliver(name, answer), None)
        else:
            ends = self.now + effect.wait_seconds
            self.open_watches.append((name, effect.version, ends))
            self.schedule(ends, self.end_watches, None)

    def end_watches(self, _: None) -> None:
        ended = [watch for watch in self.open_watches if self.ends_now(watch)]
        self.open_watches = [
            watch for watch in self.open_watches if not self.ends_now(watch)
        ]
        for name, _, _ in ended:
            self.deliver(name, ConfigurationRead(self.stored, self.now))

    def ends_now(self, watch: tuple[str, int, float]) -> bool:
        _, version, ends = watch
        return self.stored.version > version or self.now >= ends

    def store_version(self, version: int) -> None:
        self.stored = configuration(version)
        self.schedule(self.now, self.end_watches, None)

    def count_behind(self, version: int) -> int:
        return sum(state.version < version for state in self.states.values())
