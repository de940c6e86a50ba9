"""Set the tables up before a run and read everything back after it."""

from __future__ import annotations

import time
import uuid
from typing import Any, TYPE_CHECKING

import gevent

from ..errors import BerylhingeError
from . import statements
from .client import Request
from .records import FinalState, Verdict

if TYPE_CHECKING:
    from .client import Answer, Balancer

RETRY_SECONDS = 0.25
TIMEOUT_SECONDS = 5.0


class UnansweredError(BerylhingeError):
    """Tell that a fleet answered nothing within the time allowed."""


def persist(
    balancer: Balancer,
    route: str,
    key: str,
    body: dict[str, Any],
    *,
    within_seconds: float,
) -> Answer:
    """Repeat an idempotent statement until it is answered; raise UnansweredError."""
    deadline = time.monotonic() + within_seconds
    roam = 0.0
    while True:
        request = Request(
            f"/v1/routes/{route}/statements", body, key, None, uuid.uuid4().hex
        )
        answer = balancer.send(request, roam)
        if answer.verdict is Verdict.OK:
            return answer
        if time.monotonic() > deadline:
            got = f"{answer.status} {answer.reason} {answer.body.get('detail', '')}"
            raise UnansweredError(
                f"{route}: got {got}, expected an answer within {within_seconds} s;"
                " check that the fleet is up and the key is granted"
            )
        roam = (roam + 0.37) % 1.0
        gevent.sleep(RETRY_SECONDS)


def create_tables(
    balancer: Balancer, route: str, key: str, *, within_seconds: float
) -> None:
    """Create the experiment's tables on one route."""
    for table in statements.TABLES:
        body = statements.write_body(
            table, [], timeout_seconds=TIMEOUT_SECONDS, idempotent=True
        )
        persist(balancer, route, key, body, within_seconds=within_seconds)


def read_final(
    balancer: Balancer,
    route: str,
    key: str,
    *,
    entries: dict[str, int] | None,
    within_seconds: float,
) -> FinalState:
    """Read a route's whole contents back through the fleet."""

    def count(statement: str) -> dict[str, int]:
        body = statements.read_body(statement, [], timeout_seconds=TIMEOUT_SECONDS)
        answer = persist(balancer, route, key, body, within_seconds=within_seconds)
        return dict(answer.body["rows"])

    return FinalState(
        count(statements.ALL_ROWS),
        count(statements.COUNT_VISITS),
        count(statements.COUNT_PAIRS),
        entries,
    )
