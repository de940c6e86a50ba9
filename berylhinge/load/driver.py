"""Send a plan's operations at their intended times and record each."""

from __future__ import annotations

import random
import time
from collections import defaultdict
from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.pool import Group

from . import statements
from .client import Request
from .records import Operation, Verdict
from .scenario import Kind

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from typing import Any

    from .client import Answer, Balancer
    from .schedule import Send

PAIR = (1, 2)
TRANSACTION_ADMISSIONS = 1 + len(PAIR)


class Session:
    """Hold one caller's row, newest token and last written version."""

    def __init__(self, row: str) -> None:
        """Start without a token."""
        self.row = row
        self.token: str | None = None
        self.version = 0
        self.busy = False

    def take(self, answer: Answer) -> None:
        """Keep the token that an answer returned."""
        if answer.token is not None:
            self.token = answer.token


class Knobs(NamedTuple):
    """Hold what every operation of a run needs."""

    timeout_seconds: float
    max_age_seconds: float
    client_seconds: float
    seed: int


class Driver:
    """Own the sessions and the records of one run."""

    def __init__(
        self, balancer: Balancer, keys: Mapping[str, str], knobs: Knobs
    ) -> None:
        """Start with no sessions."""
        self.balancer = balancer
        self.keys = keys
        self.knobs = knobs
        self.sessions: dict[tuple[str, str], list[Session]] = defaultdict(list)
        self.operations: list[Operation] = []
        self.rng = random.Random(f"{knobs.seed}/driver")
        self.start = 0.0
        self.late_seconds = 0.0

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.start

    def run(self, plan: Sequence[Send], progress: Callable[[int], object]) -> None:
        """Send all at their intended times and wait for the last answer."""
        self.start = time.monotonic()
        running = Group()
        for send in plan:
            ahead = send.at - self.now()
            if ahead > 0:
                gevent.sleep(ahead)
            else:
                self.late_seconds = max(self.late_seconds, -ahead)
            running.spawn(self.perform, send)
            progress(1)
        running.join()

    def idle_session(self, send: Send) -> Session:
        """Return the planned session if idle, another idle one or a new one.

        A busy session never delays a send: the load stays open-loop.
        """
        known = self.sessions[send.organisation, send.route]
        while len(known) <= send.session:
            known.append(Session(f"{send.organisation}-{len(known)}"))
        planned = known[send.session]
        if not planned.busy:
            return planned
        idle = [session for session in known if not session.busy]
        if idle:
            return self.rng.choice(idle)
        known.append(Session(f"{send.organisation}-{len(known)}"))
        return known[-1]

    def perform(self, send: Send) -> None:
        """Run one operation and record it."""
        session = self.idle_session(send)
        session.busy = True
        try:
            sent = self.now()
            self.operations.append(PERFORMERS[send.kind](self, send, session, sent))
        finally:
            session.busy = False

    def call(
        self,
        send: Send,
        suffix: str,
        body: dict[str, Any],
        session: Session | None,
        step: str = "",
        instance: int | None = None,
    ) -> Answer:
        """Make one request, with the clients' link delay on both ways."""
        request = Request(
            f"/v1/routes/{send.route}/{suffix}",
            body,
            self.keys[send.organisation],
            session.token if session else None,
            f"load-{self.knobs.seed}-{send.index}{step}",
        )
        gevent.sleep(self.knobs.client_seconds)
        if instance is None:
            answer = self.balancer.send(request, send.roam)
        else:
            answer = self.balancer.send_to(request, instance)
        gevent.sleep(self.knobs.client_seconds)
        if session is not None:
            session.take(answer)
        return answer

    def record(
        self,
        send: Send,
        answer: Answer,
        *,
        sent: float,
        row: str,
        version: int = 0,
        seen: int | None = None,
        admissions: int = 1,
        echoed: bool = True,
    ) -> Operation:
        """Describe a finished operation."""
        succeeded = answer.verdict is Verdict.OK
        return Operation(
            send.index,
            send.organisation,
            send.route,
            send.kind,
            row,
            version,
            send.at,
            sent,
            self.now(),
            answer.instance,
            answer.verdict,
            answer.reason,
            answer.status,
            seen,
            admissions if succeeded else 0,
            answer.echoed and echoed,
            f"load-{self.knobs.seed}-{send.index}",
            answer.body.get("served_by", "") if succeeded else "",
        )


def perform_read(
    driver: Driver, send: Send, session: Session, sent: float
) -> Operation:
    """Read the session's row with its token, or without one."""
    age = driver.knobs.max_age_seconds if send.kind is Kind.AGED else None
    body = statements.read_body(
        statements.READ_ROW,
        [session.row],
        timeout_seconds=driver.knobs.timeout_seconds,
        max_age_seconds=age,
    )
    holder = session if send.kind is Kind.READ else None
    answer = driver.call(send, "statements", body, holder)
    rows = answer.body.get("rows") if answer.verdict is Verdict.OK else None
    seen = None if rows is None else (rows[0][1] if rows else 0)
    own = not rows or rows[0][0] == session.row
    return driver.record(
        send, answer, sent=sent, row=session.row, seen=seen, echoed=own
    )


def perform_write(
    driver: Driver, send: Send, session: Session, sent: float
) -> Operation:
    """Write the next version of the session's row."""
    session.version += 1
    version = session.version
    body = statements.write_body(
        statements.WRITE_ROW,
        [session.row, version],
        timeout_seconds=driver.knobs.timeout_seconds,
        idempotent=True,
    )
    answer = driver.call(send, "statements", body, session)
    return driver.record(send, answer, sent=sent, row=session.row, version=version)


def perform_insert(
    driver: Driver, send: Send, session: Session, sent: float
) -> Operation:
    """Insert a unique id, not idempotent."""
    unique = f"visit-{send.index}"
    body = statements.write_body(
        statements.INSERT_VISIT,
        [unique],
        timeout_seconds=driver.knobs.timeout_seconds,
        idempotent=False,
    )
    answer = driver.call(send, "statements", body, session)
    return driver.record(send, answer, sent=sent, row=unique)


def perform_transaction(
    driver: Driver, send: Send, session: Session, sent: float
) -> Operation:
    """Insert two rows of a unique id in one transaction."""
    unique = f"pair-{send.index}"
    timeout = {"timeout_seconds": driver.knobs.timeout_seconds}
    begin = driver.call(
        send, "transactions", {"access": "write", **timeout}, session, "-begin"
    )
    if begin.verdict is not Verdict.OK:
        failed = begin._replace(verdict=Verdict.NOT_RUN)
        return driver.record(send, failed, sent=sent, row=unique)
    path = f"transactions/{begin.body['transaction']}"
    for half in PAIR:
        body = {"statement": statements.INSERT_HALF, "parameters": [unique, half]}
        answer = driver.call(
            send,
            f"{path}/statements",
            body | timeout,
            session,
            f"-{half}",
            begin.instance,
        )
        if answer.verdict is not Verdict.OK:
            roll_back(driver, send, path, begin.instance)
            failed = answer._replace(verdict=Verdict.NOT_RUN)
            return driver.record(send, failed, sent=sent, row=unique)
    commit = driver.call(
        send, f"{path}/commit", timeout, session, "-commit", begin.instance
    )
    return driver.record(
        send, commit, sent=sent, row=unique, admissions=TRANSACTION_ADMISSIONS
    )


def roll_back(driver: Driver, send: Send, path: str, instance: int) -> None:
    """Give a failed transaction up; the outcome needs no answer."""
    driver.call(send, f"{path}/rollback", {}, None, "-rollback", instance)


PERFORMERS = {
    Kind.READ: perform_read,
    Kind.FRESH: perform_read,
    Kind.AGED: perform_read,
    Kind.WRITE: perform_write,
    Kind.INSERT: perform_insert,
    Kind.TRANSACTION: perform_transaction,
}
