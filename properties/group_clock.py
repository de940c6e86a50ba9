"""Run detection on a virtual clock with losses and pauses."""

from __future__ import annotations

from bisect import bisect_right
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple, TYPE_CHECKING

from berylhinge.core import failure_detection, failure_evidence, group_view
from berylhinge.core.promotion_messages import PrimaryLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylhinge.wire.upstream import UpstreamStatus

MEMBERS = ("a", "b", "c")
INSTANCE = "i"
HEARTBEAT_SECONDS = 0.05
LINK_SECONDS = 0.001
TICK_SECONDS = 0.05
REPLY_TIMEOUT_SECONDS = 0.3
WRITE_SECONDS = 0.25


class Faults(NamedTuple):
    """Say what goes wrong, in seconds and shares."""

    loss: float = 0.0
    pause_every_seconds: float = 0.0
    pause_limit_seconds: float = 0.0
    dead_at: float | None = None
    refuses: bool = False
    cut_at: float | None = None


class Clock:
    """Own virtual time and the pauses of every process."""

    def __init__(self, faults: Faults, seed: int, until: float) -> None:
        """Draw the pauses."""
        self.faults = faults
        self.rng = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.pauses = {name: self.draw(until) for name in (*MEMBERS, INSTANCE)}

    def draw(self, until: float) -> list[tuple[float, float]]:
        """Draw one process's pauses."""
        pauses: list[tuple[float, float]] = []
        every = self.faults.pause_every_seconds
        at = self.rng.expovariate(1 / every) if every else until
        while at < until:
            end = at + self.rng.uniform(0.0, self.faults.pause_limit_seconds)
            pauses.append((at, end))
            at = end + self.rng.expovariate(1 / every)
        return pauses

    def ready(self, process: str, at: float) -> float:
        """Return when a process runs next."""
        pauses = self.pauses[process]
        index = bisect_right(pauses, (at, float("inf"))) - 1
        return max(at, pauses[index][1]) if index >= 0 else at

    def at(self, process: str, when: float, action: Callable[[], None]) -> None:
        """Run an action of a process once it is not paused."""
        due = self.ready(process, when)
        heappush(self.queue, (due, next(self.numbers), action))

    def send(self, process: str, action: Callable[[], None]) -> None:
        """Deliver to a process over one link, or lose the message."""
        if self.rng.random() >= self.faults.loss:
            delay = LINK_SECONDS * self.rng.uniform(1.0, 1.5)
            self.at(process, self.now + delay, action)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heappop(self.queue)
            action()
        self.now = until


class Watch:
    """Own a group whose primary is ``a`` and one instance that detects."""

    def __init__(self, faults: Faults, *, seed: int, until: float) -> None:
        """Start heartbeats, writes and polls."""
        self.clock = Clock(faults, seed, until)
        self.faults = faults
        self.until = until
        self.heard = dict.fromkeys(MEMBERS, 0.0)
        self.view = group_view.new_view("g", MEMBERS)
        self.detection = failure_evidence.new_failure_evidence()
        self.pending_since: float | None = None
        self.asked_at = -1.0
        self.lost: list[tuple[float, str]] = []
        self.polls = 0
        self.clock.at("a", 0.0, self.beat)
        self.clock.at(INSTANCE, 0.0, self.tick)
        self.clock.at(INSTANCE, 0.0, self.write)

    def run(self) -> Watch:
        """Run to the end."""
        self.clock.run(self.until)
        return self

    def is_dead(self) -> bool:
        """Tell whether the primary has died."""
        dead_at = self.faults.dead_at
        return dead_at is not None and self.clock.now >= dead_at

    def is_cut(self) -> bool:
        """Tell whether the primary is cut off from the replicas."""
        cut_at = self.faults.cut_at
        return cut_at is not None and self.clock.now >= cut_at

    def beat(self) -> None:
        """Send heartbeats and come back."""
        if self.is_dead():
            return
        for name in MEMBERS[1:]:
            if not self.is_cut():
                self.clock.send(name, lambda name=name: self.hear(name))
        self.clock.at("a", self.clock.now + HEARTBEAT_SECONDS, self.beat)

    def hear(self, name: str) -> None:
        """Note a heartbeat."""
        self.heard[name] = self.clock.now

    def write(self) -> None:
        """Send a write; it stays pending until an answer comes."""
        sent_at = self.clock.now
        if self.pending_since is None:
            self.pending_since = sent_at
            self.clock.send("a", self.answer_write)
        elif sent_at - self.pending_since > REPLY_TIMEOUT_SECONDS:
            self.clock.send("a", self.answer_write)
        self.clock.at(INSTANCE, sent_at + WRITE_SECONDS, self.write)

    def answer_write(self) -> None:
        """Answer a write at the primary once a replica has it."""
        if not self.is_dead() and not self.is_cut():
            self.clock.send(INSTANCE, self.end_write)

    def end_write(self) -> None:
        """Note the write's acknowledgement."""
        self.pending_since = None

    def tick(self) -> None:
        """Poll if that is due and judge."""
        now = self.clock.now
        pause = failure_detection.poll_interval_seconds(
            self.detection, self.view, now, self.pending_since
        )
        if now - self.asked_at >= pause - TICK_SECONDS / 2:
            self.asked_at = now
            for name in MEMBERS:
                self.ask(name)
            self.judge()
        self.clock.at(INSTANCE, now + TICK_SECONDS, self.tick)

    def ask(self, name: str) -> None:
        """Ask a member for its status."""
        self.polls += 1
        asked_at = self.clock.now
        failure_evidence.record_request(self.detection, name, asked_at)
        self.clock.send(name, lambda: self.report(name, asked_at))
        self.clock.at(
            INSTANCE,
            asked_at + REPLY_TIMEOUT_SECONDS,
            lambda: self.time_out(name, asked_at),
        )

    def report(self, name: str, asked_at: float) -> None:
        """Report a member's status as it is now."""
        if name == "a" and self.is_dead():
            if self.faults.refuses:
                self.clock.send(INSTANCE, self.refuse)
            return
        silence = 0.0 if name == "a" else self.clock.now - self.heard[name]
        status: UpstreamStatus = {
            "upstream": name,
            "role": "primary" if name == "a" else "replica",
            "term": 1,
            "log_term": 1,
            "last": (1, 1),
            "primary_silence_seconds": silence,
            "primary": "a",
            "leaving": False,
            "quiesced": False,
            "connections": 0,
            "connection_limit": 16,
            "slots": 2,
        }
        self.clock.send(INSTANCE, lambda: self.take(name, status, asked_at))

    def refuse(self) -> None:
        """Note a refused connection."""
        failure_evidence.record_failure(
            self.detection, "a", self.clock.now, refused=True
        )

    def take(self, name: str, status: UpstreamStatus, asked_at: float) -> None:
        """Take in a status and judge."""
        now = self.clock.now
        if now - asked_at >= REPLY_TIMEOUT_SECONDS:
            return
        failure_evidence.record_answer(self.detection, name, now - asked_at)
        group_view.observe_status(self.view, name, status, asked_at, now)
        self.judge()

    def time_out(self, name: str, asked_at: float) -> None:
        """Note a question that no answer came to."""
        reading = self.view.observations.get(name)
        if reading is None or reading.asked_at < asked_at:
            failure_evidence.record_failure(self.detection, name, self.clock.now)

    def judge(self) -> None:
        """Record every verdict that the primary is lost."""
        self.detection, verdict = failure_detection.assess_primary(
            self.detection, self.view, frozenset(), self.clock.now
        )
        if isinstance(verdict, PrimaryLost):
            self.lost.append((self.clock.now, verdict.cause))
