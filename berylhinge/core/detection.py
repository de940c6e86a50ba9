"""Tell when a group has lost its primary, and slow, cut-off and dead apart."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .group_view import lag_of, max_term, write_target
from .promotion_messages import PrimaryLeaving, PrimaryLost, PrimarySeen
from .state_charts import advance_state, load_state_chart

if TYPE_CHECKING:
    from ..types import InstanceId, Seconds, Term, UpstreamId
    from .group_view import GroupView, Primary, Reading

CHART = load_state_chart("upstream")
SILENCE_SECONDS = 0.65
REFUSED_SILENCE_SECONDS = 0.25
ORPHAN_SECONDS = 0.25
STRAY_SECONDS = 1.0
UNREACHABLE_SECONDS = 2.0
FRESH_SECONDS = 1.2
PEER_FRESH_SECONDS = 2.0
SLOW_SECONDS = 0.1
ALERT_SECONDS = 0.1
CALM_POLL_SECONDS = 1.0
ALERT_POLL_SECONDS = 0.05
HANDOVER_LAG_ENTRIES = 200


class Reach(NamedTuple):
    """Hold this instance's own experience of one member."""

    stage: str = CHART.initial
    asked_at: Seconds | None = None
    failed_since: Seconds | None = None
    refused_at: Seconds | None = None


class PeerReport(NamedTuple):
    """Hold for how many seconds a peer has failed to reach members, zero if not."""

    received_at: Seconds
    unreachable: dict[UpstreamId, Seconds]


class Detection(NamedTuple):
    """Hold the evidence about a group's health beside its view.

    The dictionaries change in place; the moments say since when a condition holds.
    """

    reach: dict[UpstreamId, Reach]
    peers: dict[InstanceId, PeerReport]
    silent_since: Seconds | None = None
    silent_term: Term = 0
    orphan_since: Seconds | None = None
    stray_since: Seconds | None = None


class Undecided(NamedTuple):
    """Say why neither a loss nor a sound primary is proven."""

    cause: str


Verdict = PrimaryLost | PrimaryLeaving | PrimarySeen | Undecided


def new_detection() -> Detection:
    """Return a detection without evidence."""
    return Detection({}, {})


def note_asked(state: Detection, upstream: UpstreamId, now: Seconds) -> None:
    """Note a request, unless an older one still waits for its answer."""
    reach = state.reach.get(upstream, Reach())
    if reach.asked_at is None:
        state.reach[upstream] = reach._replace(asked_at=now)


def note_answered(
    state: Detection,
    upstream: UpstreamId,
    latency_seconds: Seconds,
    *,
    leaving: bool = False,
) -> None:
    """Note an answer of any kind; it ends every doubt about the link."""
    event = "answered-late" if latency_seconds >= SLOW_SECONDS else "answered"
    reach = state.reach.get(upstream, Reach())
    stage = advance_state(CHART, reach.stage, "leaving" if leaving else event).unwrap()
    state.reach[upstream] = Reach(stage)


def note_failed(
    state: Detection, upstream: UpstreamId, now: Seconds, *, refused: bool = False
) -> None:
    """Note a timeout, a lost connection or, as ``refused``, a refused one."""
    reach = state.reach.get(upstream, Reach())
    state.reach[upstream] = Reach(
        advance_state(CHART, reach.stage, "failed").unwrap(),
        None,
        now if reach.failed_since is None else reach.failed_since,
        now if refused else reach.refused_at,
    )


def note_peer(
    state: Detection,
    instance: InstanceId,
    unreachable: dict[UpstreamId, Seconds],
    now: Seconds,
) -> None:
    """Take in a peer's experience."""
    state.peers[instance] = PeerReport(now, unreachable)


def unreachable_seconds(state: Detection, now: Seconds) -> dict[UpstreamId, Seconds]:
    """Return this instance's experience for its peers."""
    return {
        name: now - reach.failed_since
        for name, reach in state.reach.items()
        if reach.failed_since is not None
    }


def poll_seconds(
    state: Detection, view: GroupView, now: Seconds, pending_since: Seconds | None
) -> Seconds:
    """Return the pause between status requests, short while anything is in doubt.

    ``pending_since`` is when the oldest unacknowledged write was sent.
    """
    if pending_since is not None and now - pending_since >= ALERT_SECONDS:
        return ALERT_POLL_SECONDS
    lead = write_target(view)
    if lead is None or not lead.confirmed:
        return ALERT_POLL_SECONDS
    reach = state.reach.get(lead.upstream, Reach())
    waits = reach.asked_at is not None and now - reach.asked_at >= ALERT_SECONDS
    if waits or reach.failed_since is not None:
        return ALERT_POLL_SECONDS
    if any(_silence(reading) >= ALERT_SECONDS * 2 for reading in _others(view, lead)):
        return ALERT_POLL_SECONDS
    return CALM_POLL_SECONDS


def answering(view: GroupView, now: Seconds) -> int:
    """Count the members that answered a status request lately."""
    return len(_fresh(view, now))


def judge(
    state: Detection,
    view: GroupView,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> tuple[Detection, Verdict]:
    """Return the verdict; ``live_peers`` serve the group too, None if unknown."""
    fresh = _fresh(view, now)
    if len(fresh) < view.quorum:
        state = state._replace(silent_since=None, orphan_since=None, stray_since=None)
        return state, _no_majority(view, len(fresh))
    lead = write_target(view)
    if lead is None:
        return _judge_orphan(state, view, fresh, now)
    state = state._replace(orphan_since=None)
    state, silent = _is_silent(state, view, lead, fresh, now)
    if silent:
        cause = f"{lead.upstream} is silent to a majority"
        return state, PrimaryLost(lead.term, cause, lead.upstream)
    if _is_unreachable(state, lead, live_peers, now):
        cause = f"no instance reaches {lead.upstream}"
        return state, PrimaryLost(lead.term, cause, lead.upstream)
    state, stray = _has_stray(state, view, lead, fresh, now)
    if stray:
        return state, PrimaryLost(lead.term, "a member is stuck in a newer term")
    return state, _judge_sound(state, view, lead)


def classify(
    state: Detection,
    view: GroupView,
    upstream: UpstreamId,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> str:
    """Return the member's state in the upstream chart, by all evidence."""
    reach = state.reach.get(upstream, Reach())
    if reach.stage not in ("unreachable", "link-lost", "dead"):
        return reach.stage
    event = None
    if _is_heard(state, view, upstream, now):
        event = "heard-by-others"
    elif _is_heard_by_none(state, view, upstream, live_peers, now):
        event = "heard-by-none"
    if event is not None:
        stage = advance_state(CHART, reach.stage, event).unwrap()
        state.reach[upstream] = reach._replace(stage=stage)
        return stage
    return reach.stage


def _fresh(view: GroupView, now: Seconds) -> dict[UpstreamId, Reading]:
    return {
        name: reading
        for name, reading in view.readings.items()
        if reading.status is not None and reading.received_at >= now - FRESH_SECONDS
    }


def _silence(reading: Reading) -> Seconds:
    if reading.status is None:
        return 0.0
    return reading.status["primary_silence_seconds"]


def _others(view: GroupView, lead: Primary) -> list[Reading]:
    return [reading for name, reading in view.readings.items() if name != lead.upstream]


def _no_majority(view: GroupView, count: int) -> Undecided:
    cause = f"{count} of {len(view.members)} members answer"
    return Undecided(f"{cause}; a decision needs {view.quorum}")


def _judge_orphan(
    state: Detection, view: GroupView, fresh: dict[UpstreamId, Reading], now: Seconds
) -> tuple[Detection, Verdict]:
    since = now if state.orphan_since is None else state.orphan_since
    state = state._replace(orphan_since=since, silent_since=None, stray_since=None)
    term = max_term(view)
    asked = [reading.asked_at >= since + ORPHAN_SECONDS for reading in fresh.values()]
    if sum(asked) >= view.quorum:
        return state, PrimaryLost(term, f"no primary leads term {term}")
    return state, Undecided(f"no primary leads term {term} yet")


def _is_silent(
    state: Detection,
    view: GroupView,
    lead: Primary,
    fresh: dict[UpstreamId, Reading],
    now: Seconds,
) -> tuple[Detection, bool]:
    """Require a majority's word twice, so that a waking member can correct itself."""
    limit = SILENCE_SECONDS
    reach = state.reach.get(lead.upstream, Reach())
    if reach.refused_at is not None and reach.refused_at >= now - FRESH_SECONDS:
        limit = REFUSED_SILENCE_SECONDS
    silent = [
        reading
        for name, reading in fresh.items()
        if name != lead.upstream
        and reading.term == lead.term
        and _silence(reading) >= limit
    ]
    if len(silent) < view.quorum:
        return state._replace(silent_since=None), False
    if state.silent_since is None or state.silent_term != lead.term:
        return state._replace(silent_since=now, silent_term=lead.term), False
    again = sum(reading.asked_at >= state.silent_since for reading in silent)
    return state, again >= view.quorum


def _is_unreachable(
    state: Detection,
    lead: Primary,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> bool:
    reach = state.reach.get(lead.upstream, Reach())
    if live_peers is None or reach.failed_since is None:
        return False
    if now - reach.failed_since < UNREACHABLE_SECONDS:
        return False
    return all(
        _peer_seconds(state, peer, lead.upstream, now) >= UNREACHABLE_SECONDS
        for peer in live_peers
    )


def _peer_seconds(
    state: Detection, peer: InstanceId, upstream: UpstreamId, now: Seconds
) -> Seconds:
    report = state.peers.get(peer)
    if report is None or report.received_at < now - PEER_FRESH_SECONDS:
        return 0.0
    return report.unreachable.get(upstream, 0.0)


def _has_stray(
    state: Detection,
    view: GroupView,
    lead: Primary,
    fresh: dict[UpstreamId, Reading],
    now: Seconds,
) -> tuple[Detection, bool]:
    """Find a member that granted a newer term and so follows this primary no more."""
    ahead = [reading for reading in fresh.values() if reading.term > lead.term]
    if not ahead:
        return state._replace(stray_since=None), False
    since = now if state.stray_since is None else state.stray_since
    long = any(reading.asked_at >= since + STRAY_SECONDS for reading in ahead)
    return state._replace(stray_since=since), long


def _judge_sound(state: Detection, view: GroupView, lead: Primary) -> Verdict:
    if not lead.confirmed:
        return Undecided(f"term {lead.term} is not on a majority yet")
    reading = view.readings.get(lead.upstream)
    if reading is None or reading.status is None or not reading.status["leaving"]:
        return PrimarySeen(lead.term)
    if any(_may_succeed(view, name) for name in view.members if name != lead.upstream):
        return PrimaryLeaving(lead.term, lead.upstream)
    return Undecided(f"{lead.upstream} is leaving but no replica is close behind it")


def _may_succeed(view: GroupView, name: UpstreamId) -> bool:
    reading = view.readings.get(name)
    if reading is None or reading.status is None or reading.status["leaving"]:
        return False
    lag = lag_of(view, name)
    return lag is not None and lag <= HANDOVER_LAG_ENTRIES


def _is_heard(
    state: Detection, view: GroupView, upstream: UpstreamId, now: Seconds
) -> bool:
    by_peer = any(
        report.received_at >= now - PEER_FRESH_SECONDS
        and not report.unreachable.get(upstream, 0.0)
        for report in state.peers.values()
    )
    return by_peer or _is_heard_by_member(view, upstream, now)


def _is_heard_by_member(view: GroupView, upstream: UpstreamId, now: Seconds) -> bool:
    lead = write_target(view)
    if lead is None or lead.upstream != upstream:
        return False
    return any(
        name != upstream
        and reading.term == lead.term
        and _silence(reading) < SILENCE_SECONDS
        for name, reading in _fresh(view, now).items()
    )


def _is_heard_by_none(
    state: Detection,
    view: GroupView,
    upstream: UpstreamId,
    live_peers: frozenset[InstanceId] | None,
    now: Seconds,
) -> bool:
    if live_peers is None or len(_fresh(view, now)) < view.quorum:
        return False
    return all(_peer_seconds(state, peer, upstream, now) > 0.0 for peer in live_peers)
