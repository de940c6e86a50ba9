"""Choose where a read runs, and judge what its answer may show."""

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
    """Give this instance's use of one upstream."""

    place: FailureDomainId
    in_flight: int
    connections: int
    reachable: bool

    @property
    def share(self) -> float:
        """Return the used share of this instance's connections."""
        if not self.connections:
            return FULL_LOAD
        return self.in_flight / self.connections


class ReadAt(NamedTuple):
    """Read at an upstream."""

    upstream: UpstreamId


class WaitForReplica(NamedTuple):
    """Wait for a change of the view, at most until a moment."""

    until: Seconds


class ReturnAnswer(NamedTuple):
    """Return the answer; ``point`` moves the session's token."""

    point: LogPoint


class WaitForProof(NamedTuple):
    """Hold the answer until the view confirms its log, or the deadline."""

    point: LogPoint


class RetryRead(NamedTuple):
    """Drop the answer and choose again."""

    reason: RetryReason


class Need(StrEnum):
    """Tell where a read's floor comes from."""

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
    """Choose a replica at the floor, else wait, else the confirmed primary.

    A refusal is NO_PRIMARY, or SESSION_UNREACHABLE for a read with a token.
    """
    primary = primary_of(view)
    lead = primary.upstream if primary else None
    able = _able(view, loads, floor, excluded)
    replicas = [name for name in able if name != lead]
    chosen = _least_loaded(replicas, loads, place, rng)
    if chosen is not None and loads[chosen].share < FULL_LOAD:
        return ReadAt(chosen)
    usable_lead = lead is not None and lead not in excluded and _serves(lead, loads)
    if chosen is not None:
        spare = usable_lead and loads[str(lead)].share < FULL_LOAD
        return ReadAt(str(lead)) if spare else ReadAt(chosen)
    until = asked_at + REPLICA_WAIT_SECONDS
    if now < until and _replica_follows(view, loads, lead, excluded):
        return WaitForReplica(until)
    if usable_lead:
        return ReadAt(str(lead))
    return _refuse(view, floor, need)


def judge_read(
    view: GroupView, floor: LogPoint, answer: UpstreamAnswer
) -> ReturnAnswer | WaitForProof | RetryRead:
    """Return an answer only if it is at its floor and shows confirmed data alone."""
    last = LogPoint(*answer["last"])
    if last < floor:
        return RetryRead(RetryReason.REPLICA_BEHIND)
    log_term = answer["log_term"]
    if last_is_confirmed(view, log_term, last):
        return ReturnAnswer(last)
    if is_superseded(view, log_term):
        return RetryRead(RetryReason.READ_UNCONFIRMED)
    return WaitForProof(last)


def _able(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    floor: LogPoint,
    excluded: frozenset[UpstreamId],
) -> list[UpstreamId]:
    newest = max(view.confirmed, default=0)
    return [
        name
        for name, reading in view.readings.items()
        if reading.last >= floor
        and name not in excluded
        and _serves(name, loads)
        and not _is_leaving(reading)
        and _shows_confirmed(view, reading, newest)
    ]


def _shows_confirmed(view: GroupView, reading: Reading, newest: int) -> bool:
    if reading.log_term == newest:
        return True
    return last_is_confirmed(view, reading.log_term, reading.last)


def _is_leaving(reading: Reading) -> bool:
    return reading.status is not None and reading.status["leaving"]


def _serves(name: UpstreamId, loads: dict[UpstreamId, UpstreamLoad]) -> bool:
    load = loads.get(name)
    return load is not None and load.reachable and load.connections > 0


def _least_loaded(
    names: list[UpstreamId],
    loads: dict[UpstreamId, UpstreamLoad],
    place: FailureDomainId,
    rng: Random,
) -> UpstreamId | None:
    best: UpstreamId | None = None
    best_cost = (0.0, 0.0)
    for name in names:
        load = loads[name]
        away = 0.0 if load.place == place else OTHER_PLACE_LOAD
        cost = (load.share + away, rng.random())
        if best is None or cost < best_cost:
            best, best_cost = name, cost
    return best


def _replica_follows(
    view: GroupView,
    loads: dict[UpstreamId, UpstreamLoad],
    lead: UpstreamId | None,
    excluded: frozenset[UpstreamId],
) -> bool:
    """Tell whether a replica that serves may soon be at the floor."""
    return any(
        name != lead
        and name not in excluded
        and _serves(name, loads)
        and not _is_leaving(reading)
        for name, reading in view.readings.items()
    )


def _refuse(view: GroupView, floor: LogPoint, need: Need) -> Refusal:
    if need is Need.TOKEN:
        detail = (
            f"no serving member of {view.group} is at {floor.term}.{floor.position}"
        )
        return make_refusal(RefusalReason.SESSION_UNREACHABLE, detail)
    detail = f"no primary of {view.group} is confirmed by a majority"
    return make_refusal(RefusalReason.NO_PRIMARY, detail)
