"""Route a read to an upstream, and decide whether its answer may be returned."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING

from ..errors import make_refusal
from ..reasons import RefusalReason, RetryReason
from ..types import LogPoint
from .group_view import confirmed_primary, is_log_confirmed, is_superseded

if TYPE_CHECKING:
    from random import Random

    from ..errors import Refusal
    from ..types import FailureDomainId, Seconds, UpstreamId
    from ..wire.upstream import UpstreamAnswer
    from .group_view import GroupView, MemberObservation

REPLICA_WAIT_SECONDS = 0.02
REMOTE_DOMAIN_PENALTY = 0.25
FULL_UTILISATION = 1.0


class UpstreamLoad(NamedTuple):
    """Describe this instance's load on one upstream."""

    failure_domain: FailureDomainId
    in_flight: int
    connections: int
    reachable: bool

    @property
    def utilisation(self) -> float:
        """Return the used fraction of this instance's connections, 1.0 without any."""
        if not self.connections:
            return FULL_UTILISATION
        return self.in_flight / self.connections


class ReadFrom(NamedTuple):
    """Run the read at an upstream."""

    upstream: UpstreamId


class WaitForReplica(NamedTuple):
    """Wait for a change of the group's view, at most until the given time."""

    until: Seconds


class ReturnAnswer(NamedTuple):
    """Return the answer and advance the session's token to ``point``."""

    point: LogPoint


class WaitForConfirmation(NamedTuple):
    """Withhold the answer until the view confirms its log or the deadline passes."""

    point: LogPoint


class RetryRead(NamedTuple):
    """Drop the answer and route the read again."""

    reason: RetryReason


class FloorSource(StrEnum):
    """Name the source of a read's floor: a session token or a confirmation round."""

    TOKEN = "token"
    ROUND = "round"


def route_read(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    *,
    floor: LogPoint,
    floor_source: FloorSource,
    failure_domain: FailureDomainId,
    arrived_at: Seconds,
    now: Seconds,
    rng: Random,
    excluded: frozenset[UpstreamId] = frozenset(),
) -> ReadFrom | WaitForReplica | Refusal:
    """Choose a replica that has reached the floor, else wait, else the primary.

    The primary must be confirmed; it also serves if the chosen replica has no free
    connection and the primary has. A refusal is NO_PRIMARY, or SESSION_UNREACHABLE for
    a read with a token.
    """
    primary = confirmed_primary(view)
    primary_upstream = primary.upstream if primary else None
    eligible = _eligible_upstreams(view, loads, floor, excluded)
    replicas = [name for name in eligible if name != primary_upstream]
    chosen = _pick_least_loaded(replicas, loads, failure_domain, rng)
    if chosen is not None and loads[chosen].utilisation < FULL_UTILISATION:
        return ReadFrom(chosen)
    primary_usable = (
        primary_upstream is not None
        and primary_upstream not in excluded
        and _is_usable(primary_upstream, loads)
    )
    if chosen is not None:
        primary_has_capacity = (
            primary_usable
            and loads[str(primary_upstream)].utilisation < FULL_UTILISATION
        )
        return (
            ReadFrom(str(primary_upstream))
            if primary_has_capacity
            else ReadFrom(chosen)
        )
    until = arrived_at + REPLICA_WAIT_SECONDS
    if now < until and _replica_may_catch_up(view, loads, primary_upstream, excluded):
        return WaitForReplica(until)
    if primary_usable:
        return ReadFrom(str(primary_upstream))
    return _refuse_read(view, floor, floor_source)


def check_read_answer(
    view: GroupView, floor: LogPoint, answer: UpstreamAnswer
) -> ReturnAnswer | WaitForConfirmation | RetryRead:
    """Return an answer only if it reached its floor and shows only confirmed data."""
    last = LogPoint(*answer["last"])
    if last < floor:
        return RetryRead(RetryReason.REPLICA_BEHIND)
    log_term = answer["log_term"]
    if is_log_confirmed(view, log_term, last):
        return ReturnAnswer(last)
    if is_superseded(view, log_term):
        return RetryRead(RetryReason.READ_UNCONFIRMED)
    return WaitForConfirmation(last)


def _eligible_upstreams(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    floor: LogPoint,
    excluded: frozenset[UpstreamId],
) -> list[UpstreamId]:
    newest_term = max(view.confirmed, default=0)
    return [
        name
        for name, observation in view.observations.items()
        if observation.last >= floor
        and name not in excluded
        and _is_usable(name, loads)
        and not _is_leaving(observation)
        and _may_be_confirmed(view, observation, newest_term)
    ]


def _may_be_confirmed(
    view: GroupView, observation: MemberObservation, newest_term: int
) -> bool:
    if observation.log_term == newest_term:
        return True
    return is_log_confirmed(view, observation.log_term, observation.last)


def _is_leaving(observation: MemberObservation) -> bool:
    return observation.status is not None and observation.status["leaving"]


def _is_usable(name: UpstreamId, loads: dict[UpstreamId, UpstreamLoad]) -> bool:
    load = loads.get(name)
    return load is not None and load.reachable and load.connections > 0


def _pick_least_loaded(
    names: list[UpstreamId],
    loads: dict[UpstreamId, UpstreamLoad],
    failure_domain: FailureDomainId,
    rng: Random,
) -> UpstreamId | None:
    best: UpstreamId | None = None
    best_cost = (0.0, 0.0)
    for name in names:
        load = loads[name]
        penalty = (
            0.0 if load.failure_domain == failure_domain else REMOTE_DOMAIN_PENALTY
        )
        cost = (load.utilisation + penalty, rng.random())
        if best is None or cost < best_cost:
            best, best_cost = name, cost
    return best


def _replica_may_catch_up(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    primary_upstream: UpstreamId | None,
    excluded: frozenset[UpstreamId],
) -> bool:
    """Return whether a usable replica may soon reach the floor."""
    return any(
        name != primary_upstream
        and name not in excluded
        and _is_usable(name, loads)
        and not _is_leaving(observation)
        for name, observation in view.observations.items()
    )


def _refuse_read(
    view: GroupView, floor: LogPoint, floor_source: FloorSource
) -> Refusal:
    if floor_source is FloorSource.TOKEN:
        detail = (
            f"no usable member of {view.group} has reached log position "
            f"{floor.term}.{floor.position}"
        )
        return make_refusal(RefusalReason.SESSION_UNREACHABLE, detail)
    detail = f"no primary of {view.group} is confirmed by a majority"
    return make_refusal(RefusalReason.NO_PRIMARY, detail)
