"""Run membership cores on a virtual clock over links that lose, cut and pause."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

import msgspec

from berylhinge.core import membership
from berylhinge.core.membership import (
    MemberListRead,
    MembershipState,
    MessageReceived,
    Tick,
)
from berylhinge.core.membership_state import MemberChanged, new_membership, SendMessage
from berylhinge.wire.membership import MembershipStatus, MemberUpdate

TICK_SECONDS = 0.1
DELAY_SECONDS = 0.001
# Names and signature of an envelope, and the kind and call numbers of a frame.
ENVELOPE_BYTES = 16 + 2 * 14 + 18 + 16
ENCODER = msgspec.msgpack.Encoder()


class Fleet:
    """Hold the instances of one run and count what they send and believe."""

    def __init__(
        self, size: int, *, seed: int, lost: float = 0.0, list_seconds: float = 30.0
    ) -> None:
        self.rng = Random(seed)
        self.lost = lost
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], Any]] = []
        self.order = count()
        self.names = [f"instance-{number:04}" for number in range(size)]
        self.down: set[str] = set()
        self.paused: dict[str, float] = {}
        self.side: dict[str, int] = defaultdict(int)
        self.bytes: Counter[str] = Counter()
        self.second_bytes: Counter[int] = Counter()
        self.suspected: list[tuple[float, str, str]] = []
        self.died: list[tuple[float, str, str]] = []
        self.list_seconds = list_seconds
        self.states: dict[str, MembershipState] = {}
        for number, name in enumerate(self.names):
            self.states[name] = new_membership(name, address(number), 1)
        self.listed = tuple(state.me for state in self.states.values())
        for name in self.names:
            self.at(self.rng.uniform(0.0, TICK_SECONDS), self.tick, name)
            self.at(0.0, self.list_instances, name)

    def at(self, when: float, action: Callable[..., None], argument: Any) -> None:
        heapq.heappush(self.queue, (when, next(self.order), action, argument))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, argument = heapq.heappop(self.queue)
            action(argument)
        self.now = until

    def tick(self, name: str) -> None:
        self.deliver((name, Tick()))
        self.at(self.now + TICK_SECONDS, self.tick, name)

    def list_instances(self, name: str) -> None:
        self.deliver((name, MemberListRead(self.listed)))
        pause = self.list_seconds * self.rng.uniform(0.5, 1.5)
        self.at(self.now + pause, self.list_instances, name)

    def deliver(self, addressed: tuple[str, Any]) -> None:
        name, event = addressed
        if name in self.down:
            return
        if self.paused.get(name, 0.0) > self.now:
            if not isinstance(event, Tick):
                self.at(self.paused[name], self.deliver, addressed)
            return
        state, effects = membership.step(event, self.states[name], self.now, self.rng)
        self.states[name] = state
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(name, effect)
            elif isinstance(effect, MemberChanged):
                self.note(name, effect.update)

    def send(self, name: str, effect: SendMessage) -> None:
        size = len(ENCODER.encode(effect.message)) + ENVELOPE_BYTES
        self.bytes[name] += size
        self.bytes[effect.to] += size
        self.second_bytes[int(self.now)] += 2 * size
        if self.side[name] != self.side[effect.to] or self.rng.random() < self.lost:
            return
        received = MessageReceived(name, effect.message)
        self.at(self.now + DELAY_SECONDS, self.deliver, (effect.to, received))

    def note(self, name: str, update: MemberUpdate) -> None:
        told = (self.now, name, update.instance)
        if update.status is MembershipStatus.SUSPECT:
            self.suspected.append(told)
        elif update.status is MembershipStatus.DEAD:
            self.died.append(told)

    def pause_each(self, *, every_seconds: float, seconds: float) -> None:
        """Pause every instance again and again, at random moments."""
        for name in self.names:
            self.at(self.rng.uniform(0.0, every_seconds), self.pause, (name, seconds))
        self.pause_every = every_seconds

    def pause(self, what: tuple[str, float]) -> None:
        name, seconds = what
        self.paused[name] = self.now + seconds
        next_at = self.now + self.pause_every * self.rng.uniform(0.5, 1.5)
        self.at(next_at, self.pause, what)

    def believers(self, subject: str, status: MembershipStatus) -> int:
        """Count the instances up that give a member a standing."""
        return sum(
            name not in self.down
            and name != subject
            and self.status(name, subject) is status
            for name in self.names
        )

    def status(self, name: str, subject: str) -> MembershipStatus | None:
        known = self.states[name].members.get(subject)
        return None if known is None else MembershipStatus(known.status)

    def wrong(self) -> int:
        """Count the views of instances that are up but not thought alive."""
        up = [name for name in self.names if name not in self.down]
        return sum(
            self.status(name, subject) is not MembershipStatus.ALIVE
            for name in up
            for subject in up
            if subject != name
        )


def address(number: int) -> str:
    return f"10.0.{number // 250}.{1 + number % 250}:7400"
