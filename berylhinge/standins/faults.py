"""Hold a stand-in's faults and decide what they do to each message."""

from __future__ import annotations

import time
from typing import NotRequired, TYPE_CHECKING, TypedDict

import gevent
from gevent.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

EVERYONE = "*"
GONE_POLL_SECONDS = 0.05


class FaultsRequest(TypedDict):
    """Change the named faults and leave the others as they are."""

    partition: NotRequired[list[str]]
    pause_seconds: NotRequired[float]
    slow_seconds: NotRequired[float]
    drop_answers: NotRequired[int]
    drop_read_answers: NotRequired[int]
    repeat_answers: NotRequired[int]
    mislabel_answers: NotRequired[int]
    down: NotRequired[bool]
    lag_seconds: NotRequired[float]
    leaving: NotRequired[bool]


class Faults(TypedDict):
    """Report every fault; ``pause_seconds`` is what remains of a pause."""

    partition: list[str]
    pause_seconds: float
    slow_seconds: float
    drop_answers: int
    drop_read_answers: int
    repeat_answers: int
    mislabel_answers: int
    down: bool
    lag_seconds: float
    leaving: bool


COUNTED = ("drop_answers", "drop_read_answers", "repeat_answers", "mislabel_answers")


class FaultState:
    """Hold the faults of one process and wake whoever waits for their end."""

    def __init__(self, *, lag_seconds: float = 0.0) -> None:
        """Start without faults."""
        self.partition: frozenset[str] = frozenset()
        self.paused_until = 0.0
        self.slow_seconds = 0.0
        self.counts: dict[str, int] = dict.fromkeys(COUNTED, 0)
        self.down = False
        self.lag_seconds = lag_seconds
        self.leaving = False
        self.changed = Event()

    def report(self) -> Faults:
        """Return every fault."""
        return Faults(
            partition=sorted(self.partition),
            pause_seconds=max(0.0, self.paused_until - time.monotonic()),
            slow_seconds=self.slow_seconds,
            drop_answers=self.counts["drop_answers"],
            drop_read_answers=self.counts["drop_read_answers"],
            repeat_answers=self.counts["repeat_answers"],
            mislabel_answers=self.counts["mislabel_answers"],
            down=self.down,
            lag_seconds=self.lag_seconds,
            leaving=self.leaving,
        )

    def update(self, request: FaultsRequest) -> None:
        """Change the named faults and wake those who wait."""
        if "partition" in request:
            self.partition = frozenset(request["partition"])
        if "pause_seconds" in request:
            self.paused_until = time.monotonic() + request["pause_seconds"]
        self.slow_seconds = request.get("slow_seconds", self.slow_seconds)
        self.lag_seconds = request.get("lag_seconds", self.lag_seconds)
        self.leaving = request.get("leaving", self.leaving)
        self.down = request.get("down", self.down)
        for name in COUNTED:
            self.counts[name] = request.get(name, self.counts[name])
        changed, self.changed = self.changed, Event()
        changed.set()

    def take(self, name: str) -> bool:
        """Spend one of a counted fault, if any is left."""
        if not self.counts[name]:
            return False
        self.counts[name] -= 1
        return True

    def is_cut(self, peer: str) -> bool:
        """Tell whether the partition lies between this process and a peer."""
        return peer in self.partition or EVERYONE in self.partition

    def pause_left(self) -> float:
        """Return how long the process stands still, in seconds."""
        return max(0.0, self.paused_until - time.monotonic())

    def wait_pause(self) -> None:
        """Stand still until the pause is over."""
        while left := self.pause_left():
            self.changed.wait(left)

    def wait_path(self, peer: str, is_gone: Callable[[], bool]) -> bool:
        """Wait until a peer's bytes may pass; return False once it is gone."""
        while True:
            self.wait_pause()
            if not self.is_cut(peer):
                return True
            if is_gone():
                return False
            self.changed.wait(GONE_POLL_SECONDS)

    def delay_answer(self) -> None:
        """Hold an answer back while the process is slow."""
        if self.slow_seconds:
            gevent.sleep(self.slow_seconds)
