"""Keep the requests to one held database within its limit while it is cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler import cold_start
from ...core.pooler.assignment import InstanceAssignment
from ...core.pooler.failure_results import not_run_result
from ..clock import now_seconds
from .connection_pool import UnitFailed

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import Seconds
    from ...wire.pooling import ExecuteRequest
    from .fleet_view import FleetView


def count_silent_predecessors(view: FleetView, database: Database) -> int:
    """Return how many suspects would hold a database rather than this instance."""
    if not view.suspects:
        return 0
    everyone = {
        member.instance: member.failure_domain
        for member in view.members.values()
        if not member.leaving
    }
    everyone[view.own_instance] = view.failure_domain
    undisputed = InstanceAssignment(view.regions)
    undisputed.set_instances(
        view.members,
        everyone,
        weights=view.instance_weights(),
        databases=view.databases.values(),
    )
    holders = undisputed.holders(database)
    preceding = holders[: holders.index(view.own_instance)]
    return sum(view.is_suspect(name) for name in preceding)


class ColdLimit:
    """Own the count of one database's requests in the last second."""

    def __init__(self, view: FleetView) -> None:
        """Start with no allowance."""
        self.view = view
        self.window = cold_start.ColdStartWindow()
        self.refused_at: Seconds = float("-inf")
        self.predecessors = 0

    def record_holder(
        self, database: Database, *, is_holder: bool, is_refused: bool
    ) -> None:
        """Record whether this instance is the rightful holder, and can connect."""
        now = now_seconds()
        if is_holder and self.is_limited(database):
            self.predecessors = count_silent_predecessors(self.view, database)
        cold_start.record_holder(self.window, is_holder=is_holder, now=now)
        if is_refused:
            self.refused_at = now

    def is_limited(self, database: Database) -> bool:
        """Return whether the database is or may be cold, and its service limits that."""
        service = self.view.declarations.services.get(database.service)
        if service is None or service.cold_per_second <= 0.0:
            return False
        return self.view.is_cold(database.id) or cold_start.may_have_restarted(
            refused_at=self.refused_at,
            announced_at=self.view.announced_at.get(database.id, float("-inf")),
            cold_start_seconds=service.cold_start_seconds,
            now=now_seconds(),
        )

    def requests_allowed(self, database: Database) -> int | None:
        """Return how many requests a second the database may get, None for any."""
        if not self.is_limited(database):
            return None
        if not self.view.is_confirmed() or not self.view.is_held_here(database):
            return 0
        service = self.view.declarations.services[database.service]
        return cold_start.requests_allowed(
            service.cold_per_second,
            self.view.cold_tolerance,
            predecessors=self.predecessors,
        )

    def wait_seconds(self, database: Database) -> Seconds | None:
        """Return in how many seconds a request may be admitted, None without limit."""
        allowed = self.requests_allowed(database)
        if allowed is None:
            return None
        return cold_start.wait_for_admission(self.window, allowed, now_seconds())

    def check(self, database: Database, request: ExecuteRequest) -> None:
        """Raise UnitFailed if a statement that starts work would exceed the limit."""
        wait = self.wait_seconds(database)
        if wait and not request.continues_transaction:
            raise self.failure(database, request, wait)

    def admit(
        self, database: Database, request: ExecuteRequest, deadline: Seconds
    ) -> None:
        """Count a statement that is about to be sent; raise UnitFailed.

        A statement of an open transaction waits for its turn: it can run nowhere else.
        """
        while wait := self.wait_seconds(database):
            is_in_time = now_seconds() + wait < deadline
            if not request.continues_transaction or not is_in_time:
                raise self.failure(database, request, wait)
            gevent.sleep(wait)
        if wait is not None:
            cold_start.record_admission(self.window, now_seconds())

    def failure(
        self, database: Database, request: ExecuteRequest, wait: Seconds
    ) -> UnitFailed:
        """Return the failure of a statement beyond the limit."""
        detail = f"{database.id} is cold and gets no more requests for {wait:.3f} s"
        result = not_run_result(request, detail, retry_after_seconds=wait)
        return UnitFailed(result, "cold")
