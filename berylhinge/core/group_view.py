"""Track the observed log state of a database group and derive what it proves."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ..types import LOG_START, LogPoint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..types import GroupId, Position, Seconds, Term, UpstreamId
    from ..wire.upstream import UpstreamAnswer, UpstreamStatus

TERMS_KEPT = 4


class MemberObservation(NamedTuple):
    """Describe the newest log state and the newest status received from one member.

    The state was true at some moment after ``asked_at``, when the request was sent.
    """

    term: Term
    log_term: Term
    last: LogPoint
    asked_at: Seconds
    received_at: Seconds
    status: UpstreamStatus | None

    @property
    def log_state(self) -> tuple[Term, Term, LogPoint]:
        """Return the log state, which never decreases for a member."""
        return (self.term, self.log_term, self.last)


class Primary(NamedTuple):
    """Name a primary, its term and whether a majority holds an entry of that term."""

    upstream: UpstreamId
    term: Term
    confirmed: bool


class GroupView(NamedTuple):
    """Collect the observations of a group's members; new ones change it in place.

    It keeps each member's newest log position by term and, in ``confirmed``, the last
    log position of a term that is proven to be on a majority.
    """

    group: GroupId
    members: tuple[UpstreamId, ...]
    observations: dict[UpstreamId, MemberObservation]
    points_by_term: dict[Term, dict[UpstreamId, LogPoint]]
    confirmed: dict[Term, LogPoint]
    primaries: dict[Term, UpstreamId]

    @property
    def quorum(self) -> int:
        """Return the size of a majority."""
        return len(self.members) // 2 + 1


def new_view(group: GroupId, members: Iterable[UpstreamId]) -> GroupView:
    """Return a view without observations."""
    return GroupView(group, tuple(members), {}, {}, {}, {})


def observe_status(
    view: GroupView,
    upstream: UpstreamId,
    status: UpstreamStatus,
    asked_at: Seconds,
    received_at: Seconds,
) -> bool:
    """Record a member's status; return whether a log, term or primary changed."""
    last = LogPoint(*status["last"])
    observation = MemberObservation(
        status["term"], status["log_term"], last, asked_at, received_at, status
    )
    changed = _record_primary(view, upstream, status)
    return _store_observation(view, upstream, observation) or changed


def observe_answer(
    view: GroupView,
    upstream: UpstreamId,
    answer: UpstreamAnswer,
    asked_at: Seconds,
    received_at: Seconds,
) -> bool:
    """Record the log state in a statement's answer; return whether it changed."""
    last = LogPoint(*answer["last"])
    observation = MemberObservation(
        answer["term"], answer["log_term"], last, asked_at, received_at, None
    )
    return _store_observation(view, upstream, observation)


def confirmed_point(view: GroupView, term: Term) -> LogPoint | None:
    """Return the last entry proven to be on a majority under the term."""
    return view.confirmed.get(term)


def newest_confirmed_point(view: GroupView) -> LogPoint:
    """Return the confirmed entry of the newest term that has one."""
    return view.confirmed[max(view.confirmed)] if view.confirmed else LOG_START


def is_acknowledged(view: GroupView, term: Term, point: LogPoint) -> bool:
    """Return whether an entry written in the term is proven to be on a majority."""
    confirmed = view.confirmed.get(term)
    return confirmed is not None and point.term == term and point <= confirmed


def is_superseded(view: GroupView, term: Term) -> bool:
    """Return whether a majority of members reported a newer term."""
    newer = sum(observation.term > term for observation in view.observations.values())
    return newer >= view.quorum


def max_term(view: GroupView) -> Term:
    """Return the greatest term that any member reported."""
    return max(
        (observation.term for observation in view.observations.values()), default=0
    )


def confirmed_primary(view: GroupView) -> Primary | None:
    """Return the primary with an entry of its term on a majority, unless superseded."""
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


def is_log_confirmed(view: GroupView, log_term: Term, last: LogPoint) -> bool:
    """Return whether a log of the term is on a majority up to its last entry."""
    confirmed = view.confirmed.get(log_term)
    return confirmed is not None and last <= confirmed


def entries_behind(view: GroupView, upstream: UpstreamId) -> Position | None:
    """Return how many entries a member is behind, or None if that is unknown."""
    observation = view.observations.get(upstream)
    if observation is None or not view.confirmed:
        return None
    term = max(view.confirmed)
    if observation.log_term != term:
        return None
    return max(0, view.confirmed[term].position - observation.last.position)


def _record_primary(
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
    _advance_confirmed(view, term)
    return True


def _store_observation(
    view: GroupView, upstream: UpstreamId, observation: MemberObservation
) -> bool:
    if upstream not in view.members:
        return False
    old = view.observations.get(upstream)
    if observation.term == observation.log_term:
        _record_log_point(view, upstream, observation.term, observation.last)
    if old is None:
        view.observations[upstream] = observation
        return True
    changed = observation.log_state > old.log_state
    view.observations[upstream] = _merge_observations(old, observation)
    return changed


def _merge_observations(
    old: MemberObservation, new: MemberObservation
) -> MemberObservation:
    newest = max(old, new, key=lambda observation: observation.log_state)
    status = old.status
    if new.status is not None and new.asked_at >= old.asked_at:
        status = new.status
    return MemberObservation(
        newest.term,
        newest.log_term,
        newest.last,
        max(old.asked_at, new.asked_at),
        max(old.received_at, new.received_at),
        status or new.status,
    )


def _record_log_point(
    view: GroupView, upstream: UpstreamId, term: Term, last: LogPoint
) -> None:
    points = view.points_by_term.get(term)
    if points is None:
        points = view.points_by_term[term] = {}
        _drop_old_terms(view)
    if last <= points.get(upstream, LOG_START):
        return
    points[upstream] = last
    _advance_confirmed(view, term)


def _advance_confirmed(view: GroupView, term: Term) -> None:
    """Advance the confirmed entry (Raft, Ongaro and Ousterhout 2014, 5.4.2)."""
    points = view.points_by_term.get(term)
    if not points:
        return
    points_by_member = dict(points)
    primary = view.primaries.get(term)
    if primary is not None:
        # A replica's log of a term is a prefix of its primary's log, so the primary
        # holds at least the greatest log position that any member reported.
        points_by_member[primary] = max(points_by_member.values())
    if len(points_by_member) < view.quorum:
        return
    point = sorted(points_by_member.values(), reverse=True)[view.quorum - 1]
    if point.term == term and point > view.confirmed.get(term, LOG_START):
        view.confirmed[term] = point


def _drop_old_terms(view: GroupView) -> None:
    for table in (view.points_by_term, view.confirmed, view.primaries):
        for term in sorted(table)[:-TERMS_KEPT]:
            del table[term]
