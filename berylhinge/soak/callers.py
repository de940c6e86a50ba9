"""Drive sessions through the instances and record what callers see."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from ..standins.line_session import LineSession, Lost
from .history import Operation, Outcome, Step

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

SESSION_OPERATIONS = 12
ITEMS = 6
PAUSE_SECONDS = 0.02
REFUSED_SECONDS = 0.1
# What callers do, as chances of a session, an operation, a statement or an end.
SETS_VALUE = 0.4
PREPARES = 0.3
TRANSACTS = 0.25
WRITES_ALONE = 0.4
WRITES_WITHIN = 0.6
COMMITS = 0.8
ROLLS_BACK = 0.5


def ask(session: LineSession, request: str, text: str) -> Step:
    """Run one statement and record its answer."""
    sent_at = time.monotonic()
    answer = session.ask(request, text)
    outcome = Outcome.UNKNOWN
    if answer is not None and answer.done:
        outcome = Outcome.DONE
    elif answer is not None and answer.promises_nothing_kept:
        outcome = Outcome.NOT_KEPT
    rows = answer.rows if answer is not None else ()
    return Step(request, text, sent_at, time.monotonic(), outcome, rows)


class Caller:
    """Open one session after another and record every operation."""

    def __init__(
        self,
        number: int,
        rng: Random,
        *,
        address: Callable[[], tuple[str, int]],
        keys: dict[str, str],
        record: Callable[[Operation], None],
        pause_seconds: float = PAUSE_SECONDS,
    ) -> None:
        """Prepare without a session; ``pause_seconds`` is the mean between operations."""
        self.number = number
        self.rng = rng
        self.address = address
        self.keys = keys
        self.record = record
        self.pause_seconds = pause_seconds
        self.stopping = False
        self.sessions = 0
        self.statements = 0

    def run(self) -> None:
        """Work until told to stop."""
        while not self.stopping:
            key = self.rng.choice(list(self.keys))
            route = self.rng.choice(["strict", "aged", "own"])
            try:
                session = LineSession(self.address(), route, key)
            except (OSError, Lost):
                gevent.sleep(REFUSED_SECONDS)
                continue
            try:
                self.work(session, route, self.keys[key])
            finally:
                session.close()

    def work(self, session: LineSession, route: str, organisation: str) -> None:
        """Run some operations of one session until something fails."""
        self.sessions += 1
        number = self.number * 100_000 + self.sessions
        values: dict[str, str] = {}
        if self.rng.random() < SETS_VALUE:
            values["zone"] = f"z{self.rng.randrange(3)}"
            step = ask(session, self.request(), f"SET zone {values['zone']}")
            if step.outcome is not Outcome.DONE:
                return
        reading = "READ"
        if self.rng.random() < PREPARES:
            step = ask(session, self.request(), f"PREPARE p READ q{self.number}")
            if step.outcome is not Outcome.DONE:
                return
            reading = "EXECUTE p"
        for _ in range(SESSION_OPERATIONS):
            if self.stopping:
                return
            operation = self.operate(session, reading)
            self.record(
                operation._replace(
                    session=number,
                    route=route,
                    organisation=organisation,
                    values=tuple(values.items()),
                )
            )
            if session.state != "I":
                return
            gevent.sleep(self.rng.expovariate(1.0) * self.pause_seconds)

    def request(self) -> str:
        """Return a new id."""
        self.statements += 1
        return f"r{self.number}x{self.statements}"

    def write(self) -> tuple[str, str]:
        """Return an item and data that nobody else writes."""
        return f"i{self.rng.randrange(ITEMS)}", f"d{self.number}x{self.statements}"

    def operate(self, session: LineSession, reading: str) -> Operation:
        """Run one operation."""
        if self.rng.random() < TRANSACTS:
            return self.transact(session)
        request = self.request()
        if self.rng.random() < WRITES_ALONE:
            item, data = self.write()
            step = ask(session, request, f"WRITE {item} {data}")
            kept = step.outcome is not Outcome.NOT_KEPT
            return Operation((step,), ((item, data),), step.outcome, kept)
        item = f"i{self.rng.randrange(ITEMS)}"
        step = ask(session, request, f"{reading} {item}")
        return Operation((step,), (), step.outcome, False)

    def transact(self, session: LineSession) -> Operation:
        """Run a transaction that commits, rolls back or is left."""
        steps = [ask(session, self.request(), "BEGIN")]
        writes = []
        for _ in range(self.rng.randrange(1, 4)):
            if session.state != "T":
                break
            request = self.request()
            if self.rng.random() < WRITES_WITHIN:
                writes.append(self.write())
                text = "WRITE {} {}".format(*writes[-1])
            else:
                text = f"READ i{self.rng.randrange(ITEMS)}"
            steps.append(ask(session, request, text))
            gevent.sleep(self.rng.expovariate(1.0 / PAUSE_SECONDS))
        outcome, kept = Outcome.NOT_KEPT, False
        if session.state == "T" and self.rng.random() < COMMITS:
            steps.append(ask(session, self.request(), "COMMIT"))
            outcome = steps[-1].outcome
            kept = outcome is not Outcome.NOT_KEPT
        else:
            self.give_up(session)
        return Operation(tuple(steps), tuple(writes), outcome, kept, True)

    def give_up(self, session: LineSession) -> None:
        """Roll back, or let the connection close inside the transaction."""
        leaves = session.state == "T" and self.rng.random() >= ROLLS_BACK
        if session.state and not leaves:
            ask(session, self.request(), "ROLLBACK")
        else:
            session.state = ""
