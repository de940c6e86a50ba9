"""Record the evidence of failures that one instance collects about a group."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .state_charts import advance_state, load_state_chart

if TYPE_CHECKING:
    from ..types import InstanceId, Seconds, Term, UpstreamId

CHART = load_state_chart("upstream")
SLOW_ANSWER_SECONDS = 0.1


class LinkHealth(NamedTuple):
    """Describe the health of this instance's own link to one member.

    A request that waits for its answer is timed from the oldest such request, and a
    failing link from the first failure since the last answer.
    """

    stage: str = CHART.initial
    unanswered_since: Seconds | None = None
    failed_since: Seconds | None = None
    refused_at: Seconds | None = None


class PeerReport(NamedTuple):
    """Carry for how many seconds a peer has failed to reach each member.

    A member that the peer reaches is zero or absent.
    """

    received_at: Seconds
    unreachable_seconds: dict[UpstreamId, Seconds]


class FailureEvidence(NamedTuple):
    """Collect the evidence about a group's health that its view doesn't hold.

    The dictionaries change in place. ``silent_since``, ``no_primary_since`` and
    ``newer_term_since`` are the times since which their conditions hold without a
    break, or None.
    """

    links: dict[UpstreamId, LinkHealth]
    peer_reports: dict[InstanceId, PeerReport]
    silent_since: Seconds | None = None
    silent_term: Term = 0
    no_primary_since: Seconds | None = None
    newer_term_since: Seconds | None = None


def new_failure_evidence() -> FailureEvidence:
    """Return empty evidence."""
    return FailureEvidence({}, {})


def record_request(state: FailureEvidence, upstream: UpstreamId, now: Seconds) -> None:
    """Record a request, unless an older one still has no answer."""
    link = state.links.get(upstream, LinkHealth())
    if link.unanswered_since is None:
        state.links[upstream] = link._replace(unanswered_since=now)


def record_answer(
    state: FailureEvidence,
    upstream: UpstreamId,
    latency_seconds: Seconds,
    *,
    leaving: bool = False,
) -> None:
    """Record an answer of any kind, which clears earlier failures of the link."""
    event = "answered-late" if latency_seconds >= SLOW_ANSWER_SECONDS else "answered"
    link = state.links.get(upstream, LinkHealth())
    stage = advance_state(CHART, link.stage, "leaving" if leaving else event).unwrap()
    state.links[upstream] = LinkHealth(stage)


def record_failure(
    state: FailureEvidence, upstream: UpstreamId, now: Seconds, *, refused: bool = False
) -> None:
    """Record a timeout, a lost connection or, if ``refused``, a refused connection."""
    link = state.links.get(upstream, LinkHealth())
    state.links[upstream] = LinkHealth(
        advance_state(CHART, link.stage, "failed").unwrap(),
        None,
        now if link.failed_since is None else link.failed_since,
        now if refused else link.refused_at,
    )


def record_peer_report(
    state: FailureEvidence,
    instance: InstanceId,
    unreachable: dict[UpstreamId, Seconds],
    now: Seconds,
) -> None:
    """Record how long a peer has failed to reach each member."""
    state.peer_reports[instance] = PeerReport(now, unreachable)


def unreachable_seconds(
    state: FailureEvidence, now: Seconds
) -> dict[UpstreamId, Seconds]:
    """Return for how many seconds this instance has failed to reach each member."""
    return {
        name: now - link.failed_since
        for name, link in state.links.items()
        if link.failed_since is not None
    }
