"""Route a read to an upstream, and decide whether its answer may be returned."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING

from ..errors import make_refusal
from ..reasons import RefusalReason, RetryReason
from ..types import LogPoint
from .group_view import is_superseded, last_is_confirmed, primary_of

if TYPE_CHECKING:
    from random import Random

    from ..errors import Refusal
    from ..types import FailureDomainId, Seconds, UpstreamId
    from ..wire.upstream import UpstreamAnswer
    from .group_view import GroupView, Reading

REPLICA_WAIT_SECONDS = 0.02
OTHER_PLACE_LOAD = 0.25
FULL_LOAD = 1.0


class UpstreamLoad(NamedTuple):
    """Describe this instance's load on one upstream."""

    place: FailureDomainId
    in_flight: int
    connections: int
    reachable: bool

    @property
    def share(self) -> float:
        """Return the used fraction of this instance's connections, 1.0 if it has none."""
        if not self.connections:
            return FULL_LOAD
        return self.in_flight / self.connections


class ReadAt(NamedTuple):
    """Run the read at an upstream."""

    upstream: UpstreamId


class WaitForReplica(NamedTuple):
    """Wait for a change of the group's view, at most until the given time."""

    until: Seconds


class ReturnAnswer(NamedTuple):
    """Return the answer and advance the session's token to ``point``."""

    point: LogPoint


class WaitForProof(NamedTuple):
    """Withhold the answer until the view confirms its log or the deadline passes."""

    point: LogPoint


class RetryRead(NamedTuple):
    """Drop the answer and route the read again."""

    reason: RetryReason


class Need(StrEnum):
    """Name the source of a read's floor: a session token or a confirmation round."""

    TOKEN = "token"
    ROUND = "round"


def choose_read(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    *,
    floor: LogPoint,
    need: Need,
    place: FailureDomainId,
    asked_at: Seconds,
    now: Seconds,
    rng: Random,
    excluded: frozenset[UpstreamId] = frozenset(),
) -> ReadAt | WaitForReplica | Refusal:
    """Choose a replica that has reached the floor, else wait, else the primary.

    The primary must be confirmed; it also serves if the chosen replica has no free
    connection and the primary has. A refusal is NO_PRIMARY, or SESSION_UNREACHABLE for
    a read with a token.
    """
    primary = primary_of(view)
    primary_upstream = primary.upstream if primary else None
    eligible = _eligible_upstreams(view, loads, floor, excluded)
    replicas = [name for name in eligible if name != primary_upstream]
    chosen = _pick_least_loaded(replicas, loads, place, rng)
    if chosen is not None and loads[chosen].share < FULL_LOAD:
        return ReadAt(chosen)
    primary_usable = (
        primary_upstream is not None
        and primary_upstream not in excluded
        and _is_usable(primary_upstream, loads)
    )
    if chosen is not None:
        primary_has_capacity = (
            primary_usable and loads[str(primary_upstream)].share < FULL_LOAD
        )
        return ReadAt(str(primary_upstream)) if primary_has_capacity else ReadAt(chosen)
    until = asked_at + REPLICA_WAIT_SECONDS
    if now < until and _replica_may_catch_up(view, loads, primary_upstream, excluded):
        return WaitForReplica(until)
    if primary_usable:
        return ReadAt(str(primary_upstream))
    return _refuse_read(view, floor, need)


def judge_read(
    view: GroupView, floor: LogPoint, answer: UpstreamAnswer
) -> ReturnAnswer | WaitForProof | RetryRead:
    """Return an answer only if it reached its floor and shows only confirmed data."""
    last = LogPoint(*answer["last"])
    if last < floor:
        return RetryRead(RetryReason.REPLICA_BEHIND)
    log_term = answer["log_term"]
    if last_is_confirmed(view, log_term, last):
        return ReturnAnswer(last)
    if is_superseded(view, log_term):
        return RetryRead(RetryReason.READ_UNCONFIRMED)
    return WaitForProof(last)


def _eligible_upstreams(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    floor: LogPoint,
    excluded: frozenset[UpstreamId],
) -> list[UpstreamId]:
    newest_term = max(view.confirmed, default=0)
    return [
        name
        for name, observation in view.readings.items()
        if observation.last >= floor
        and name not in excluded
        and _is_usable(name, loads)
        and not _is_leaving(observation)
        and _may_be_confirmed(view, observation, newest_term)
    ]


def _may_be_confirmed(view: GroupView, observation: Reading, newest_term: int) -> bool:
    if observation.log_term == newest_term:
        return True
    return last_is_confirmed(view, observation.log_term, observation.last)


def _is_leaving(observation: Reading) -> bool:
    return observation.status is not None and observation.status["leaving"]


def _is_usable(name: UpstreamId, loads: dict[UpstreamId, UpstreamLoad]) -> bool:
    load = loads.get(name)
    return load is not None and load.reachable and load.connections > 0


def _pick_least_loaded(
    names: list[UpstreamId],
    loads: dict[UpstreamId, UpstreamLoad],
    place: FailureDomainId,
    rng: Random,
) -> UpstreamId | None:
    best: UpstreamId | None = None
    best_cost = (0.0, 0.0)
    for name in names:
        load = loads[name]
        penalty = 0.0 if load.place == place else OTHER_PLACE_LOAD
        cost = (load.share + penalty, rng.random())
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
        for name, observation in view.readings.items()
    )


def _refuse_read(view: GroupView, floor: LogPoint, need: Need) -> Refusal:
    if need is Need.TOKEN:
        detail = (
            f"no usable member of {view.group} has reached log position "
            f"{floor.term}.{floor.position}"
        )
        return make_refusal(RefusalReason.SESSION_UNREACHABLE, detail)
    detail = f"no primary of {view.group} is confirmed by a majority"
    return make_refusal(RefusalReason.NO_PRIMARY, detail)
