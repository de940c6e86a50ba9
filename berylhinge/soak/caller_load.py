"""Run the callers of a soak, and add busy or idle ones for a time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import gevent

from ..standins.line_session import LineSession, Lost
from .callers import Caller, REFUSED_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .history import Operation
    from .schedule import Fault

# Twice as many as the other callers, without a pause between their operations.
BUSY_CALLERS = 20
# Half of the connections that a database of a soak takes.
IDLE_CALLERS = 12
# Until an idle caller looks whether it should go.
POLL_SECONDS = 0.1


class IdleCaller:
    """Begin transactions and leave them idle."""

    def __init__(self, address: Callable[[], tuple[str, int]], key: str) -> None:
        """Prepare without a session."""
        self.address = address
        self.key = key
        self.stopping = False

    def run(self) -> None:
        """Hold one transaction after another until told to stop."""
        while not self.stopping:
            try:
                session = LineSession(self.address(), "strict", self.key)
            except (OSError, Lost):
                gevent.sleep(REFUSED_SECONDS)
                continue
            try:
                session.ask("idle", "BEGIN")
                while session.state == "T" and not self.stopping:
                    gevent.sleep(POLL_SECONDS)
            finally:
                session.close()


class CallerLoad:
    """Own the callers of a run, also those that faults of load add."""

    def __init__(
        self,
        address: Callable[[], tuple[str, int]],
        keys: dict[str, str],
        record: Callable[[Operation], None],
        seed: int,
    ) -> None:
        """Start without callers."""
        self.address = address
        self.keys = keys
        self.record = record
        self.seed = seed
        self.added: dict[Fault, list[Caller | IdleCaller]] = {}
        self.callers: list[Caller | IdleCaller] = []
        self.jobs: list[gevent.Greenlet] = []

    def make_callers(
        self, numbers: Iterable[int], keys: dict[str, str], pause_seconds: float
    ) -> list[Caller]:
        """Return callers with these numbers, which decide what they do."""
        return [
            Caller(
                number,
                Random(f"{self.seed}/{number}"),
                address=self.address,
                keys=keys,
                record=self.record,
                pause_seconds=pause_seconds,
            )
            for number in numbers
        ]

    def start(self, callers: Sequence[Caller | IdleCaller]) -> None:
        """Let callers work until they are stopped."""
        self.callers.extend(callers)
        self.jobs.extend(gevent.spawn(caller.run) for caller in callers)

    def begin(self, fault: Fault) -> None:
        """Add the callers of a fault."""
        key = Random(f"{self.seed}/{fault.at}").choice(sorted(self.keys))
        callers: list[Caller | IdleCaller]
        if fault.kind == "idle-transactions":
            callers = [IdleCaller(self.address, key) for _ in range(IDLE_CALLERS)]
        else:
            first = 1000 * (1 + sum(map(len, self.added.values())))
            numbers = range(first, first + BUSY_CALLERS)
            callers = [*self.make_callers(numbers, {key: self.keys[key]}, 0.0)]
        self.added[fault] = callers
        self.start(callers)

    def end(self, fault: Fault) -> None:
        """Let the callers of a fault end what they do."""
        for caller in self.added.get(fault, []):
            caller.stopping = True

    def stop(self) -> None:
        """Let all callers end what they do."""
        for caller in self.callers:
            caller.stopping = True
