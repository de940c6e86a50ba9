"""Detect the loss of a primary, and classify members as slow, cut off or dead."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .failure_evidence import CHART, FailureEvidence, LinkHealth
from .group_view import entries_behind, max_term, write_target
from .promotion_messages import PrimaryHealthy, PrimaryLeaving, PrimaryLost
from .state_charts import advance_state

if TYPE_CHECKING:
    from ..types import InstanceId, Seconds, UpstreamId
    from .group_view import GroupView, MemberObservation, Primary

SILENCE_TIMEOUT_SECONDS = 0.65
REFUSED_SILENCE_TIMEOUT_SECONDS = 0.25
NO_PRIMARY_TIMEOUT_SECONDS = 0.25
NEWER_TERM_TIMEOUT_SECONDS = 1.0
UNREACHABLE_TIMEOUT_SECONDS = 2.0
STATUS_MAX_AGE_SECONDS = 1.2
PEER_REPORT_MAX_AGE_SECONDS = 2.0
FAST_POLL_THRESHOLD_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 1.0
FAST_POLL_INTERVAL_SECONDS = 0.05
MAX_HANDOVER_LAG_ENTRIES = 200


class Undecided(NamedTuple):
    """Give the cause for which neither a loss nor a healthy primary is proven."""

    cause: str


PrimaryAssessment = PrimaryLost | PrimaryLeaving | PrimaryHealthy | Undecided


def poll_interval_seconds(
    state: FailureEvidence,
    view: GroupView,
    now: Seconds,
    oldest_write_at: Seconds | None,
) -> Seconds:
    """Return the pause between status requests, short while a failure is suspected.

    ``oldest_write_at`` is when the oldest unacknowledged write was sent, or None.
    """
    if (
        oldest_write_at is not None
        and now - oldest_write_at >= FAST_POLL_THRESHOLD_SECONDS
    ):
        return FAST_POLL_INTERVAL_SECONDS
    primary = write_target(view)
    if primary is None or not primary.confirmed:
        return FAST_POLL_INTERVAL_SECONDS
    link = state.links.get(primary.upstream, LinkHealth())
    is_overdue = (
        link.unanswered_since is not None
        and now - link.unanswered_since >= FAST_POLL_THRESHOLD_SECONDS
    )
    if is_overdue or link.failed_since is not None:
        return FAST_POLL_INTERVAL_SECONDS
    if any(
        _silence_seconds(observation) >= FAST_POLL_THRESHOLD_SECONDS * 2
        for observation in _replica_observations(view, primary)
    ):
        return FAST_POLL_INTERVAL_SECONDS
    return POLL_INTERVAL_SECONDS


def count_answering(view: GroupView, now: Seconds) -> int:
    """Count the members that sent a status and answered recently."""
    return len(_fresh_observations(view, now))


def assess_primary(
    state: FailureEvidence,
    view: GroupView,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> tuple[FailureEvidence, PrimaryAssessment]:
    """Return the updated evidence and whether the primary is lost, leaving or healthy.

    ``live_peers`` are the other instances that serve the group, None if unknown.
    """
    fresh = _fresh_observations(view, now)
    if len(fresh) < view.quorum:
        state = state._replace(
            silent_since=None, no_primary_since=None, newer_term_since=None
        )
        return state, _undecided_without_majority(view, len(fresh))
    primary = write_target(view)
    if primary is None:
        return _assess_no_primary(state, view, fresh, now)
    state = state._replace(no_primary_since=None)
    state, silent = _check_silence(state, view, primary, fresh, now)
    if silent:
        cause = f"{primary.upstream} is silent to a majority"
        return state, PrimaryLost(primary.term, cause, primary.upstream)
    if _is_unreachable(state, primary, live_peers, now):
        cause = f"no instance reaches {primary.upstream}"
        return state, PrimaryLost(primary.term, cause, primary.upstream)
    state, stuck = _check_newer_term(state, view, primary, fresh, now)
    if stuck:
        return state, PrimaryLost(primary.term, "a member is stuck in a newer term")
    return state, _assess_reachable_primary(state, view, primary)


def classify_member(
    state: FailureEvidence,
    view: GroupView,
    upstream: UpstreamId,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> str:
    """Return the member's state in the upstream chart, judged by all evidence."""
    link = state.links.get(upstream, LinkHealth())
    if link.stage not in ("unreachable", "link-lost", "dead"):
        return link.stage
    event = None
    if _is_reachable_by_others(state, view, upstream, now):
        event = "heard-by-others"
    elif _is_unreachable_by_all(state, view, upstream, live_peers, now):
        event = "heard-by-none"
    if event is not None:
        stage = advance_state(CHART, link.stage, event).unwrap()
        state.links[upstream] = link._replace(stage=stage)
        return stage
    return link.stage


def _fresh_observations(
    view: GroupView, now: Seconds
) -> dict[UpstreamId, MemberObservation]:
    return {
        name: observation
        for name, observation in view.observations.items()
        if observation.status is not None
        and observation.received_at >= now - STATUS_MAX_AGE_SECONDS
    }


def _silence_seconds(observation: MemberObservation) -> Seconds:
    if observation.status is None:
        return 0.0
    return observation.status["primary_silence_seconds"]


def _replica_observations(view: GroupView, primary: Primary) -> list[MemberObservation]:
    return [
        observation
        for name, observation in view.observations.items()
        if name != primary.upstream
    ]


def _undecided_without_majority(view: GroupView, count: int) -> Undecided:
    cause = f"{count} of {len(view.members)} members answer"
    return Undecided(f"{cause}; a decision needs {view.quorum}")


def _assess_no_primary(
    state: FailureEvidence,
    view: GroupView,
    fresh: dict[UpstreamId, MemberObservation],
    now: Seconds,
) -> tuple[FailureEvidence, PrimaryAssessment]:
    since = now if state.no_primary_since is None else state.no_primary_since
    state = state._replace(
        no_primary_since=since, silent_since=None, newer_term_since=None
    )
    term = max_term(view)
    asked_late_enough = [
        observation.asked_at >= since + NO_PRIMARY_TIMEOUT_SECONDS
        for observation in fresh.values()
    ]
    if sum(asked_late_enough) >= view.quorum:
        return state, PrimaryLost(term, f"no primary leads term {term}")
    return state, Undecided(f"no primary leads term {term} yet")


def _check_silence(
    state: FailureEvidence,
    view: GroupView,
    primary: Primary,
    fresh: dict[UpstreamId, MemberObservation],
    now: Seconds,
) -> tuple[FailureEvidence, bool]:
    """Return whether a majority reports the primary silent in two rounds of status.

    The second round lets a member that has just resumed correct its first report.
    """
    limit = SILENCE_TIMEOUT_SECONDS
    link = state.links.get(primary.upstream, LinkHealth())
    if link.refused_at is not None and link.refused_at >= now - STATUS_MAX_AGE_SECONDS:
        limit = REFUSED_SILENCE_TIMEOUT_SECONDS
    silent = [
        observation
        for name, observation in fresh.items()
        if name != primary.upstream
        and observation.term == primary.term
        and _silence_seconds(observation) >= limit
    ]
    if len(silent) < view.quorum:
        return state._replace(silent_since=None), False
    if state.silent_since is None or state.silent_term != primary.term:
        return state._replace(silent_since=now, silent_term=primary.term), False
    repeated = sum(observation.asked_at >= state.silent_since for observation in silent)
    return state, repeated >= view.quorum


def _is_unreachable(
    state: FailureEvidence,
    primary: Primary,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> bool:
    link = state.links.get(primary.upstream, LinkHealth())
    if live_peers is None or link.failed_since is None:
        return False
    if now - link.failed_since < UNREACHABLE_TIMEOUT_SECONDS:
        return False
    return all(
        _reported_unreachable_seconds(state, peer, primary.upstream, now)
        >= UNREACHABLE_TIMEOUT_SECONDS
        for peer in live_peers
    )


def _reported_unreachable_seconds(
    state: FailureEvidence, peer: InstanceId, upstream: UpstreamId, now: Seconds
) -> Seconds:
    report = state.peer_reports.get(peer)
    if report is None or report.received_at < now - PEER_REPORT_MAX_AGE_SECONDS:
        return 0.0
    return report.unreachable_seconds.get(upstream, 0.0)


def _check_newer_term(
    state: FailureEvidence,
    view: GroupView,
    primary: Primary,
    fresh: dict[UpstreamId, MemberObservation],
    now: Seconds,
) -> tuple[FailureEvidence, bool]:
    """Return whether a member has long been in a newer term.

    Such a member granted that term and so no longer follows this primary.
    """
    ahead = [
        observation for observation in fresh.values() if observation.term > primary.term
    ]
    if not ahead:
        return state._replace(newer_term_since=None), False
    since = now if state.newer_term_since is None else state.newer_term_since
    is_overdue = any(
        observation.asked_at >= since + NEWER_TERM_TIMEOUT_SECONDS
        for observation in ahead
    )
    return state._replace(newer_term_since=since), is_overdue


def _assess_reachable_primary(
    state: FailureEvidence, view: GroupView, primary: Primary
) -> PrimaryAssessment:
    if not primary.confirmed:
        return Undecided(f"term {primary.term} is not on a majority yet")
    observation = view.observations.get(primary.upstream)
    if (
        observation is None
        or observation.status is None
        or not observation.status["leaving"]
    ):
        return PrimaryHealthy(primary.term)
    if any(
        _can_succeed(view, name) for name in view.members if name != primary.upstream
    ):
        return PrimaryLeaving(primary.term, primary.upstream)
    return Undecided(f"{primary.upstream} is leaving but no replica is close behind it")


def _can_succeed(view: GroupView, name: UpstreamId) -> bool:
    observation = view.observations.get(name)
    if (
        observation is None
        or observation.status is None
        or observation.status["leaving"]
    ):
        return False
    lag = entries_behind(view, name)
    return lag is not None and lag <= MAX_HANDOVER_LAG_ENTRIES


def _is_reachable_by_others(
    state: FailureEvidence, view: GroupView, upstream: UpstreamId, now: Seconds
) -> bool:
    by_peer = any(
        report.received_at >= now - PEER_REPORT_MAX_AGE_SECONDS
        and not report.unreachable_seconds.get(upstream, 0.0)
        for report in state.peer_reports.values()
    )
    return by_peer or _is_in_contact_with_replica(view, upstream, now)


def _is_in_contact_with_replica(
    view: GroupView, upstream: UpstreamId, now: Seconds
) -> bool:
    primary = write_target(view)
    if primary is None or primary.upstream != upstream:
        return False
    return any(
        name != upstream
        and observation.term == primary.term
        and _silence_seconds(observation) < SILENCE_TIMEOUT_SECONDS
        for name, observation in _fresh_observations(view, now).items()
    )


def _is_unreachable_by_all(
    state: FailureEvidence,
    view: GroupView,
    upstream: UpstreamId,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> bool:
    if live_peers is None or len(_fresh_observations(view, now)) < view.quorum:
        return False
    return all(
        _reported_unreachable_seconds(state, peer, upstream, now) > 0.0
        for peer in live_peers
    )
