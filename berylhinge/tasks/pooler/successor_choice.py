"""Choose the database that takes over a service, by the logs of its replicas."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.catalogue import databases_of
from ...core.pooler.promotion_orders import (
    choose_leader,
    NO_REFUSED_ORDER,
    pending_order,
    RefusedOrder,
)
from ...core.pooler.received_logs import (
    are_logs_missing,
    continue_log_wait,
    find_successors,
    is_log_wait_over,
    points_of,
)
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.promotion_orders import PendingOrder
    from ...core.pooler.received_logs import LogSurvey, MissingLogWait
    from ...types import ReceivedPoint, UpstreamId
    from ..logs import Log
    from .fleet_view import FleetView
    from .returning_leaders import ReturningLeaders
    from .status_requests import StatusRequests


class Succession(NamedTuple):
    """Name the database to promote, and what the replicas had received.

    ``pending`` is the earlier order that the promotion repeats.
    """

    chosen: Database
    points: dict[UpstreamId, ReceivedPoint]
    replicas: list[Database]
    pending: PendingOrder | None


class SuccessorChoice:
    """Own what is known of refused orders and of logs that are waited for."""

    def __init__(
        self,
        view: FleetView,
        statuses: StatusRequests,
        returning_leaders: ReturningLeaders,
        log: Log,
    ) -> None:
        """Start without refused orders."""
        self.view = view
        self.statuses = statuses
        self.returning_leaders = returning_leaders
        self.log = log
        self.refused_orders: dict[str, RefusedOrder] = {}
        self.log_waits: dict[str, MissingLogWait] = {}

    def choose(self, service: str, primary: Database | None) -> Succession | None:
        """Ask for the logs; return the successor of a primary if one can lead."""
        replicas = [
            entry
            for entry in databases_of(self.view.databases, service)
            if primary is None or entry.id != primary.id
        ]
        survey = self.find_logs(service, replicas)
        if survey is None:
            return None
        candidates = find_successors(
            survey,
            replicas,
            self.view.evacuations.successors_of(replicas),
            synchronous_replicas=self.view.declarations.synchronous_replicas(service),
            is_planned=primary is not None and primary.leaving,
        )
        points = points_of(survey, candidates)
        known = self.view.leadership.get(service)
        uses_leases = self.view.uses_leases(service)
        pending = None
        if uses_leases:
            pending = pending_order(
                known,
                primary,
                refused=self.refused_orders.get(service, NO_REFUSED_ORDER),
                now=now_seconds(),
            )
        if pending is None:
            points = self.returning_leaders.drop_diverged(service, points, known)
        chosen = choose_leader(
            candidates, points, known, pending, are_promotions_fenced=not uses_leases
        )
        if chosen is None:
            self.log.info(
                "No replica can lead.",
                service=service,
                reached=len(points_of(survey, replicas)),
                pending=pending.leader if pending else None,
                pending_seconds=(
                    round(pending.until - now_seconds(), 3) if pending else None
                ),
            )
            return None
        return Succession(chosen, points, replicas, pending)

    def record_refusal(self, service: str, fence: int, succession: Succession) -> None:
        """Record that every call of an order was refused."""
        pending = succession.pending
        earlier_until = pending.until if pending is not None else 0.0
        self.refused_orders[service] = RefusedOrder(fence, earlier_until)

    def find_logs(self, service: str, replicas: list[Database]) -> LogSurvey | None:
        """Return the replicas' logs; None if acknowledged commits may be missing."""
        synchronous_replicas = self.view.declarations.synchronous_replicas(service)
        survey = self.statuses.survey_logs(replicas, synchronous_replicas)
        if not are_logs_missing(survey, replicas, synchronous_replicas):
            self.log_waits.pop(service, None)
            return survey
        now = now_seconds()
        wait = continue_log_wait(self.log_waits.get(service), now)
        self.log_waits[service] = wait
        self.log.info(
            "Acknowledged commits may be missing.",
            service=service,
            replicas=[entry.id for entry in replicas],
            received={name: str(point) for name, point in survey.received.items()},
            waited_seconds=round(now - wait.since, 3),
        )
        return survey if is_log_wait_over(wait) else None
