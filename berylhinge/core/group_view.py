"""Keep what one instance knows of a database group and what that proves."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ..types import LOG_START, LogPoint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import GroupId, Position, Seconds, Term, UpstreamId
    from ..wire.upstream import UpstreamAnswer, UpstreamStatus

TERMS_KEPT = 4


class Reading(NamedTuple):
    """Hold the newest log state and the newest status of one member.

    The state was true at some moment after ``asked_at``.
    """

    term: Term
    log_term: Term
    last: LogPoint
    asked_at: Seconds
    received_at: Seconds
    status: UpstreamStatus | None

    @property
    def version(self) -> tuple[Term, Term, LogPoint]:
        """Return the log state; a member's log state only ever grows."""
        return (self.term, self.log_term, self.last)


class Primary(NamedTuple):
    """Name a primary, its term and whether a majority holds that term's entry."""

    upstream: UpstreamId
    term: Term
    confirmed: bool


class GroupView(NamedTuple):
    """Hold the evidence about a group; ``observe`` changes it in place."""

    group: GroupId
    members: tuple[UpstreamId, ...]
    readings: dict[UpstreamId, Reading]
    evidence: dict[Term, dict[UpstreamId, LogPoint]]
    confirmed: dict[Term, LogPoint]
    primaries: dict[Term, UpstreamId]

    @property
    def quorum(self) -> int:
        """Return the size of a majority."""
        return len(self.members) // 2 + 1


def new_view(group: GroupId, members: Iterable[UpstreamId]) -> GroupView:
    """Return a view that knows nothing yet."""
    return GroupView(group, tuple(members), {}, {}, {}, {})


def observe(
    view: GroupView,
    upstream: UpstreamId,
    status: UpstreamStatus,
    asked_at: Seconds,
    received_at: Seconds,
) -> bool:
    """Take in a status report; tell whether a log, term or primary moved."""
    last = LogPoint(*status["last"])
    reading = Reading(
        status["term"], status["log_term"], last, asked_at, received_at, status
    )
    moved = _learn_primary(view, upstream, status)
    return _take(view, upstream, reading) or moved


def observe_answer(
    view: GroupView,
    upstream: UpstreamId,
    answer: UpstreamAnswer,
    asked_at: Seconds,
    received_at: Seconds,
) -> bool:
    """Take in the log state that a statement's answer carries."""
    last = LogPoint(*answer["last"])
    reading = Reading(
        answer["term"], answer["log_term"], last, asked_at, received_at, None
    )
    return _take(view, upstream, reading)


def confirmed_point(view: GroupView, term: Term) -> LogPoint | None:
    """Return the last entry proven to be on a majority under the term."""
    return view.confirmed.get(term)


def newest_confirmed(view: GroupView) -> LogPoint:
    """Return the confirmed entry of the newest term that has one."""
    return view.confirmed[max(view.confirmed)] if view.confirmed else LOG_START


def is_acknowledged(view: GroupView, term: Term, point: LogPoint) -> bool:
    """Tell whether an entry written in the term is proven to be on a majority."""
    confirmed = view.confirmed.get(term)
    return confirmed is not None and point.term == term and point <= confirmed


def is_superseded(view: GroupView, term: Term) -> bool:
    """Tell whether a majority has promised a newer term."""
    newer = sum(reading.term > term for reading in view.readings.values())
    return newer >= view.quorum


def max_term(view: GroupView) -> Term:
    """Return the greatest term that any member reported."""
    return max((reading.term for reading in view.readings.values()), default=0)


def primary_of(view: GroupView) -> Primary | None:
    """Return the primary whose own entry is on a majority, unless superseded."""
    if not view.confirmed:
        return None
    term = max(view.confirmed)
    upstream = view.primaries.get(term)
    if upstream is None or is_superseded(view, term):
        return None
    return Primary(upstream, term, True)


def write_target(view: GroupView) -> Primary | None:
    """Return the newest primary, confirmed or not, unless superseded."""
    if not view.primaries:
        return None
    term = max(view.primaries)
    if is_superseded(view, term):
        return None
    return Primary(view.primaries[term], term, term in view.confirmed)


def last_is_confirmed(view: GroupView, log_term: Term, last: LogPoint) -> bool:
    """Tell whether a log of the term up to its last entry is on a majority."""
    confirmed = view.confirmed.get(log_term)
    return confirmed is not None and last <= confirmed


def lag_of(view: GroupView, upstream: UpstreamId) -> Position | None:
    """Return how many entries a member is behind, none if that is unknown."""
    reading = view.readings.get(upstream)
    if reading is None or not view.confirmed:
        return None
    term = max(view.confirmed)
    if reading.log_term != term:
        return None
    return max(0, view.confirmed[term].position - reading.last.position)


def _learn_primary(
    view: GroupView, upstream: UpstreamId, status: UpstreamStatus
) -> bool:
    term = status["term"]
    if status["log_term"] != term or term in view.primaries or term == 0:
        return False
    if status["role"] == "primary":
        view.primaries[term] = upstream
    elif status["primary"] in view.members:
        view.primaries[term] = str(status["primary"])
    else:
        return False
    _confirm(view, term)
    return True


def _take(view: GroupView, upstream: UpstreamId, reading: Reading) -> bool:
    if upstream not in view.members:
        return False
    old = view.readings.get(upstream)
    if reading.term == reading.log_term:
        _add_evidence(view, upstream, reading.term, reading.last)
    if old is None:
        view.readings[upstream] = reading
        return True
    moved = reading.version > old.version
    view.readings[upstream] = _join(old, reading)
    return moved


def _join(old: Reading, new: Reading) -> Reading:
    ahead = max(old, new, key=lambda reading: reading.version)
    status = old.status
    if new.status is not None and new.asked_at >= old.asked_at:
        status = new.status
    return Reading(
        ahead.term,
        ahead.log_term,
        ahead.last,
        max(old.asked_at, new.asked_at),
        max(old.received_at, new.received_at),
        status or new.status,
    )


def _add_evidence(
    view: GroupView, upstream: UpstreamId, term: Term, last: LogPoint
) -> None:
    points = view.evidence.get(term)
    if points is None:
        points = view.evidence[term] = {}
        _forget_old_terms(view)
    if last <= points.get(upstream, LOG_START):
        return
    points[upstream] = last
    _confirm(view, term)


def _confirm(view: GroupView, term: Term) -> None:
    """Raise the confirmed entry (Raft, Ongaro and Ousterhout 2014, 5.4.2)."""
    points = view.evidence.get(term)
    if not points:
        return
    lasts = dict(points)
    primary = view.primaries.get(term)
    if primary is not None:
        # A replica's log of a term is a prefix of what its primary had written.
        lasts[primary] = max(lasts.values())
    if len(lasts) < view.quorum:
        return
    point = sorted(lasts.values(), reverse=True)[view.quorum - 1]
    if point.term == term and point > view.confirmed.get(term, LOG_START):
        view.confirmed[term] = point


def _forget_old_terms(view: GroupView) -> None:
    for table in (view.evidence, view.confirmed, view.primaries):
        for term in sorted(table)[:-TERMS_KEPT]:
            del table[term]
