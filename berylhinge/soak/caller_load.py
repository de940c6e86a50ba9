"""Add callers for a time: those of one organisation without pauses, or idle ones."""

from __future__ import annotations

from random import Random
from typing import NamedTuple, TYPE_CHECKING

import gevent

from ..standins.line_session import LineSession, Lost
from .callers import Caller, REFUSED_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

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


class ExtraCallers(NamedTuple):
    """Own the callers that faults of load have added."""

    address: Callable[[], tuple[str, int]]
    keys: dict[str, str]
    record: Callable[[Operation], None]
    seed: int
    added: dict[Fault, list[Caller | IdleCaller]]
    jobs: list[gevent.Greenlet]

    def begin(self, fault: Fault) -> None:
        """Add the callers of a fault."""
        rng = Random(f"{self.seed}/{fault.at}")
        key = rng.choice(sorted(self.keys))
        callers: list[Caller | IdleCaller]
        if fault.kind == "idle-transactions":
            callers = [IdleCaller(self.address, key) for _ in range(IDLE_CALLERS)]
        else:
            first = 1000 * (1 + len(self.jobs))
            callers = [
                Caller(
                    first + number,
                    Random(f"{self.seed}/{first + number}"),
                    address=self.address,
                    keys={key: self.keys[key]},
                    record=self.record,
                    pause_seconds=0.0,
                )
                for number in range(BUSY_CALLERS)
            ]
        self.added[fault] = callers
        self.jobs.extend(gevent.spawn(caller.run) for caller in callers)

    def end(self, fault: Fault) -> None:
        """Let the callers of a fault end what they do."""
        for caller in self.added.get(fault, []):
            caller.stopping = True
