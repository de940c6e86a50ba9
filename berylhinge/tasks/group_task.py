"""Maintain an instance's view of one group and run its rounds and promoter."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent

from ..core import failure_detection, failure_evidence
from ..core.group_view import (
    confirmed_primary,
    entries_behind,
    max_term,
    new_view,
    newest_confirmed_point,
    observe_answer,
    observe_status,
)
from ..core.promotion_messages import StatusReceived, Tick
from ..core.read_floors import advance_rounds, floor_for_read, NO_ROUNDS, request_floor
from ..core.read_routing import UpstreamLoad
from ..wire.peers import UnreachableReport
from ..wire.upstream import EntryAnswer, EntryRequest, UpstreamStatus
from .broadcast import Broadcast
from .loops import spawn_loop
from .member_link import MemberLink
from .pending_writes import PendingWrites
from .promoter import Promoter

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Mapping

    from ..core.declarations import Upstream
    from ..types import GroupId, InstanceId, LogPoint, OrganisationId, UpstreamId
    from ..wire.upstream import UpstreamAnswer
    from .logs import Log
    from .metrics import Metrics

TICK_SECONDS = 0.02
REPORT_INTERVAL_SECONDS = 0.5


class GroupOptions(NamedTuple):
    """Carry the settings of one group's task.

    ``rank`` is the instance's position among those that serve the group, from 0.
    ``connection_allowances`` holds the number of connections to each upstream, and
    ``max_queued`` limits the statements that wait for one upstream's slots.
    """

    instance: str
    promoter_name: str
    failure_domain: str
    rank: int
    connection_allowances: dict[UpstreamId, int]
    max_queued: int
    connect_seconds: float
    weights: Mapping[OrganisationId, float]
    ssl_context: ssl.SSLContext | None = None


class UpstreamAddresses(NamedTuple):
    """Identify an upstream and the addresses of its two listeners."""

    upstream: UpstreamId
    data_address: str
    control_address: str


class GroupTask:
    """Watch the members, share confirmation rounds and promote when needed."""

    def __init__(
        self,
        group_id: GroupId,
        upstreams: tuple[Upstream, ...],
        options: GroupOptions,
        *,
        live_peers: Callable[[], frozenset[InstanceId] | None],
        send_to_peer: Callable[[InstanceId, NamedTuple], object],
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Prepare the members' links without connecting."""
        self.group_id = group_id
        self.options = options
        self.live_peers = live_peers
        self.send_to_peer = send_to_peer
        self.last_report_at = float("-inf")
        self.reported_unreachable: dict[UpstreamId, float] = {}
        self.metrics = metrics
        self.log = log
        self.upstreams = upstreams
        member_ids = tuple(upstream["id"] for upstream in upstreams)
        self.view = new_view(group_id, member_ids)
        self.rounds = NO_ROUNDS
        self.promoter = Promoter(self, options.promoter_name, options.rank)
        self.failure_evidence = failure_evidence.new_failure_evidence()
        self.last_poll_at = float("-inf")
        self.pending_writes = PendingWrites()
        self.view_changed = Broadcast()
        self.member_links = {
            upstream["id"]: MemberLink(
                upstream,
                instance=options.instance,
                allowance=options.connection_allowances.get(upstream["id"], 1),
                max_queued=options.max_queued,
                connect_seconds=options.connect_seconds,
                weights=options.weights,
                ssl_context=options.ssl_context,
            )
            for upstream in upstreams
        }
        self.ticker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start watching every member and start the periodic tick."""
        for link in self.member_links.values():
            link.start(self.on_status, self.is_change_awaited)
        self.ticker = spawn_loop(self.tick, lambda: TICK_SECONDS, self.log)

    def stop(self) -> None:
        """Stop the periodic tick and every member's link."""
        if self.ticker is not None:
            self.ticker.kill()
        for link in self.member_links.values():
            link.stop()

    def has_members(self, upstreams: tuple[Upstream, ...]) -> bool:
        """Tell whether these are the task's members at unchanged addresses."""
        return tuple(map(get_addresses, upstreams)) == tuple(
            map(get_addresses, self.upstreams)
        )

    def update_allocation(self, rank: int, allowances: dict[UpstreamId, int]) -> None:
        """Apply a new rank and new connection allowances."""
        self.promoter.set_rank(rank)
        for name, allowance in allowances.items():
            if self.member_links[name].data_pool.allowance != allowance:
                self.member_links[name].resize(allowance)

    def close_idle_connections(self) -> None:
        """Close idle data connections and allow only those in use."""
        for link in self.member_links.values():
            link.data_pool.resize(link.data_pool.in_use_count)

    def is_change_awaited(self) -> bool:
        """Tell whether a request or a promotion waits for the view to change."""
        return self.view_changed.waiters > 0 or not self.promoter.is_idle

    def member_loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Return this instance's load on every member."""
        return {
            name: UpstreamLoad(
                link.upstream["place"],
                link.slot_semaphore.in_flight,
                link.slot_semaphore.slots,
                link.is_reachable,
            )
            for name, link in self.member_links.items()
        }

    def wait_for_change(self, timeout_seconds: float) -> bool:
        """Wait until the view changes; return false on timeout."""
        for link in self.member_links.values():
            link.poll_now.set()
        return self.view_changed.wait(timeout_seconds)

    def on_status(
        self, link: MemberLink, status: UpstreamStatus | None, asked_at: float
    ) -> None:
        """Record the status that a watch or a request returned, none if it failed."""
        now = time.monotonic()
        if status is None:
            failure_evidence.record_failure(
                self.failure_evidence,
                link.upstream_id,
                now,
                refused=link.connection_refused,
            )
            return
        failure_evidence.record_answer(
            self.failure_evidence, link.upstream_id, 0.0, leaving=status["leaving"]
        )
        if observe_status(self.view, link.upstream_id, status, asked_at, now):
            self.view_changed.notify()
        self.advance_rounds(now)
        self.promoter.handle_event(StatusReceived(link.upstream_id, status), now)

    def on_answer(
        self, upstream: UpstreamId, answer: UpstreamAnswer, asked_at: float
    ) -> None:
        """Record the log state that a statement's answer carries."""
        now = time.monotonic()
        if observe_answer(self.view, upstream, answer, asked_at, now):
            self.view_changed.notify()

    def await_floor(
        self, arrived_at: float, max_age_seconds: float, deadline: float
    ) -> LogPoint | None:
        """Return a proven floor, joining a shared round; none at the deadline."""
        while True:
            point = floor_for_read(self.rounds, self.view, arrived_at, max_age_seconds)
            now = time.monotonic()
            if point is not None or now >= deadline:
                return point
            self.apply_rounds(request_floor(self.rounds, arrived_at, now))
            self.view_changed.wait(min(deadline - now, TICK_SECONDS))

    def advance_rounds(self, now: float) -> None:
        """End the running round if a majority answered; begin a requested one."""
        history_before = self.rounds.history
        self.apply_rounds(advance_rounds(self.rounds, self.view, now))
        if self.rounds.history is not history_before:
            self.view_changed.notify()

    def apply_rounds(self, step: Any) -> None:
        """Store the new rounds; request every member's status if the step says so."""
        self.rounds = step.rounds
        if step.request_status:
            for link in self.member_links.values():
                gevent.spawn(self.fetch_status, link)

    def fetch_status(self, link: MemberLink) -> None:
        """Request one member's status and record the result."""
        asked_at = time.monotonic()
        failure_evidence.record_request(
            self.failure_evidence, link.upstream_id, asked_at
        )
        status = link.call_control("/v1/status", {}, UpstreamStatus)
        self.on_status(link, status, asked_at)

    def fetch_entry(self, upstream: UpstreamId, position: int) -> EntryAnswer | None:
        """Request the term of a member's log entry; return none without an answer."""
        request = EntryRequest(position=position)
        link = self.member_links[upstream]
        asked_at = time.monotonic()
        answer: EntryAnswer | None = link.call_control(
            "/v1/entry", request, EntryAnswer
        )
        if answer is not None:
            self.on_status(link, answer["status"], asked_at)
        return answer

    def tick(self) -> None:
        """Advance detection, rounds and the promoter to the current time."""
        now = time.monotonic()
        self.advance_rounds(now)
        self.poll_if_due(now)
        self.send_report_if_due(now)
        primary = confirmed_primary(self.view)
        if primary is not None:
            self.pending_writes.abort_superseded(primary.term, now)
        self.failure_evidence, verdict = failure_detection.assess_primary(
            self.failure_evidence, self.view, self.live_peers(), now
        )
        if not isinstance(verdict, failure_detection.Undecided):
            self.promoter.handle_event(verdict, now)
        self.promoter.handle_event(
            Tick(failure_detection.count_answering(self.view, now)), now
        )

    def poll_if_due(self, now: float) -> None:
        """Request every member's status if due, more often while in doubt."""
        pause = failure_detection.poll_interval_seconds(
            self.failure_evidence,
            self.view,
            now,
            self.pending_writes.oldest_started_at,
        )
        if now - self.last_poll_at < pause:
            return
        self.last_poll_at = now
        for link in self.member_links.values():
            gevent.spawn(self.fetch_status, link)

    def send_report_if_due(self, now: float) -> None:
        """Report the members unreachable here to the group's other instances."""
        if now - self.last_report_at < REPORT_INTERVAL_SECONDS:
            return
        self.last_report_at = now
        unreachable = failure_evidence.unreachable_seconds(self.failure_evidence, now)
        if unreachable or self.reported_unreachable:
            report = UnreachableReport(self.group_id, unreachable)
            for peer in self.live_peers() or ():
                self.send_to_peer(peer, report)
        self.reported_unreachable = unreachable

    def on_unreachable_report(
        self, sender: InstanceId, report: UnreachableReport
    ) -> None:
        """Record which members a peer cannot reach."""
        failure_evidence.record_peer_report(
            self.failure_evidence,
            sender,
            report.unreachable,
            time.monotonic(),
        )

    def report(self) -> dict[str, Any]:
        """Return the group's status for operators."""
        primary = confirmed_primary(self.view)
        return {
            "term": max_term(self.view),
            "primary": primary.upstream if primary else None,
            "confirmed": list(newest_confirmed_point(self.view)),
            "promotion": self.promoter.state.stage,
            "members": {
                name: self.describe_member(name, link)
                for name, link in self.member_links.items()
            },
        }

    def describe_member(self, name: UpstreamId, link: MemberLink) -> dict[str, Any]:
        """Return one member's status for operators."""
        status = link.last_status
        return {
            "role": status["role"] if status else None,
            "term": status["term"] if status else None,
            "last": list(status["last"]) if status else None,
            "lag_entries": entries_behind(self.view, name),
            "leaving": bool(status and status["leaving"]),
            "reachable": link.is_reachable,
            "connections": link.data_pool.in_use_count
            + len(link.data_pool.idle_connections),
            "allowance": link.data_pool.allowance,
        }


def get_addresses(upstream: Upstream) -> UpstreamAddresses:
    """Return an upstream's identifier and listener addresses."""
    return UpstreamAddresses(upstream["id"], upstream["data"], upstream["control"])
