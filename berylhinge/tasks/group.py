"""Own one instance's view of one group, its rounds and its promoter."""

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
from .loops import spawn_loop
from .member import MemberLink
from .pending import PendingWrites
from .promoter import Promoter
from .signal import Broadcast

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Mapping

    from ..core.declarations import Upstream
    from ..types import GroupId, InstanceId, LogPoint, OrganisationId, UpstreamId
    from ..wire.upstream import UpstreamAnswer
    from .logs import Log
    from .metrics import Metrics

TICK_SECONDS = 0.02
REPORT_SECONDS = 0.5


class GroupOptions(NamedTuple):
    """Hold what a group's task needs to know of its instance."""

    instance: str
    promoter: str
    place: str
    rank: int
    allowances: dict[UpstreamId, int]
    queue: int
    connect_seconds: float
    weights: Mapping[OrganisationId, float]
    ssl_context: ssl.SSLContext | None = None


class Endpoint(NamedTuple):
    """Name an upstream and its listeners."""

    upstream: UpstreamId
    data: str
    control: str


class GroupTask:
    """Watch the members, share confirmation rounds and promote when needed."""

    def __init__(
        self,
        group: GroupId,
        upstreams: tuple[Upstream, ...],
        options: GroupOptions,
        *,
        live_peers: Callable[[], frozenset[InstanceId] | None],
        send: Callable[[InstanceId, NamedTuple], object],
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Prepare without connecting."""
        self.group = group
        self.options = options
        self.live_peers = live_peers
        self.send = send
        self.reported_at = float("-inf")
        self.reported: dict[UpstreamId, float] = {}
        self.metrics = metrics
        self.log = log
        self.upstreams = upstreams
        names = tuple(upstream["id"] for upstream in upstreams)
        self.view = new_view(group, names)
        self.rounds = NO_ROUNDS
        self.promoter = Promoter(self, options.promoter, options.rank)
        self.detection = failure_evidence.new_failure_evidence()
        self.asked_at = float("-inf")
        self.writes = PendingWrites()
        self.changed = Broadcast()
        self.links = {
            upstream["id"]: MemberLink(
                upstream,
                instance=options.instance,
                allowance=options.allowances.get(upstream["id"], 1),
                queue=options.queue,
                connect_seconds=options.connect_seconds,
                weights=options.weights,
                ssl_context=options.ssl_context,
            )
            for upstream in upstreams
        }
        self.ticker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Watch every member and start the promoter's clock."""
        for link in self.links.values():
            link.start(self.on_status, self.is_interested)
        self.ticker = spawn_loop(self.tick, lambda: TICK_SECONDS, self.log)

    def stop(self) -> None:
        """End every greenlet and close every socket."""
        if self.ticker is not None:
            self.ticker.kill()
        for link in self.links.values():
            link.stop()

    def serves(self, upstreams: tuple[Upstream, ...]) -> bool:
        """Tell whether the members are the same as declared before."""
        return tuple(map(endpoint_of, upstreams)) == tuple(
            map(endpoint_of, self.upstreams)
        )

    def adjust(self, rank: int, allowances: dict[UpstreamId, int]) -> None:
        """Take a new rank and a new division of the connections."""
        self.promoter.set_rank(rank)
        for name, allowance in allowances.items():
            if self.links[name].data.allowance != allowance:
                self.links[name].resize(allowance)

    def close_idle(self) -> None:
        """Close the connections that nothing uses."""
        for link in self.links.values():
            link.data.resize(link.data.leased)

    def is_interested(self) -> bool:
        """Tell whether anyone waits for the view to change."""
        return self.changed.waiters > 0 or not self.promoter.is_idle

    def loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Return this instance's use of every member."""
        return {
            name: UpstreamLoad(
                link.upstream["place"],
                link.gate.in_flight,
                link.gate.slots,
                link.reachable,
            )
            for name, link in self.links.items()
        }

    def wait_change(self, timeout_seconds: float) -> bool:
        """Wait until the view changes; return false on timeout."""
        for link in self.links.values():
            link.hurry.set()
        return self.changed.wait(timeout_seconds)

    def on_status(
        self, link: MemberLink, status: UpstreamStatus | None, asked_at: float
    ) -> None:
        """Take in what a watch or a question reported."""
        now = time.monotonic()
        if status is None:
            failure_evidence.record_failure(
                self.detection, link.name, now, refused=link.refused
            )
            return
        failure_evidence.record_answer(
            self.detection, link.name, 0.0, leaving=status["leaving"]
        )
        if observe_status(self.view, link.name, status, asked_at, now):
            self.changed.notify()
        self.advance_rounds(now)
        self.promoter.step(StatusReceived(link.name, status), now)

    def on_answer(
        self, upstream: UpstreamId, answer: UpstreamAnswer, asked_at: float
    ) -> None:
        """Take in the log state that a statement's answer carries."""
        now = time.monotonic()
        if observe_answer(self.view, upstream, answer, asked_at, now):
            self.changed.notify()

    def floor(
        self, arrived_at: float, max_age_seconds: float, deadline: float
    ) -> LogPoint | None:
        """Return a proven floor, joining a shared round; none at the deadline."""
        while True:
            point = floor_for_read(self.rounds, self.view, arrived_at, max_age_seconds)
            now = time.monotonic()
            if point is not None or now >= deadline:
                return point
            self.take_round(request_floor(self.rounds, arrived_at, now))
            self.changed.wait(min(deadline - now, TICK_SECONDS))

    def advance_rounds(self, now: float) -> None:
        """End the running round if it is answered; begin a wanted one."""
        before = self.rounds.history
        self.take_round(advance_rounds(self.rounds, self.view, now))
        if self.rounds.history is not before:
            self.changed.notify()

    def take_round(self, step: Any) -> None:
        """Keep the new rounds and ask all members where that is due."""
        self.rounds = step.rounds
        if step.ask:
            for link in self.links.values():
                gevent.spawn(self.ask_status, link)

    def ask_status(self, link: MemberLink) -> None:
        """Ask one member for its status now."""
        asked_at = time.monotonic()
        failure_evidence.record_request(self.detection, link.name, asked_at)
        status = link.ask("/v1/status", {}, UpstreamStatus)
        self.on_status(link, status, asked_at)

    def entry_term(self, upstream: UpstreamId, position: int) -> EntryAnswer | None:
        """Ask which term the entry at a position has."""
        request = EntryRequest(position=position)
        link = self.links[upstream]
        asked_at = time.monotonic()
        answer: EntryAnswer | None = link.ask("/v1/entry", request, EntryAnswer)
        if answer is not None:
            self.on_status(link, answer["status"], asked_at)
        return answer

    def tick(self) -> None:
        """Let time pass for detection, rounds and the promoter."""
        now = time.monotonic()
        self.advance_rounds(now)
        self.poll_if_due(now)
        self.report_if_due(now)
        primary = confirmed_primary(self.view)
        if primary is not None:
            self.writes.abort_superseded(primary.term, now)
        self.detection, verdict = failure_detection.assess_primary(
            self.detection, self.view, self.live_peers(), now
        )
        if not isinstance(verdict, failure_detection.Undecided):
            self.promoter.step(verdict, now)
        self.promoter.step(Tick(failure_detection.count_answering(self.view, now)), now)

    def poll_if_due(self, now: float) -> None:
        """Ask every member for its status, more often while in doubt."""
        pause = failure_detection.poll_interval_seconds(
            self.detection, self.view, now, self.writes.oldest_at
        )
        if now - self.asked_at < pause:
            return
        self.asked_at = now
        for link in self.links.values():
            gevent.spawn(self.ask_status, link)

    def report_if_due(self, now: float) -> None:
        """Tell the group's other servers which members are unreachable here."""
        if now - self.reported_at < REPORT_SECONDS:
            return
        self.reported_at = now
        unreachable = failure_evidence.unreachable_seconds(self.detection, now)
        if unreachable or self.reported:
            report = UnreachableReport(self.group, unreachable)
            for peer in self.live_peers() or ():
                self.send(peer, report)
        self.reported = unreachable

    def on_report(self, sender: InstanceId, report: UnreachableReport) -> None:
        """Take in which members a peer cannot reach."""
        failure_evidence.record_peer_report(
            self.detection, sender, report.unreachable, time.monotonic()
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
                name: self.report_member(name, link)
                for name, link in self.links.items()
            },
        }

    def report_member(self, name: UpstreamId, link: MemberLink) -> dict[str, Any]:
        """Return one member's status for operators."""
        status = link.status
        return {
            "role": status["role"] if status else None,
            "term": status["term"] if status else None,
            "last": list(status["last"]) if status else None,
            "lag_entries": entries_behind(self.view, name),
            "leaving": bool(status and status["leaving"]),
            "reachable": link.reachable,
            "connections": link.data.leased + len(link.data.idle),
            "allowance": link.data.allowance,
        }


def endpoint_of(upstream: Upstream) -> Endpoint:
    """Return what a link depends on."""
    return Endpoint(upstream["id"], upstream["data"], upstream["control"])
