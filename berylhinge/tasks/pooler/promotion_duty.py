"""Replace failed and leaving primaries, under the fleet's promotion duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure

from ...core.pooler.catalogue import databases_of
from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.failover import (
    judge_primary,
    PROMOTION_TIMEOUT_SECONDS,
    Verdict,
)
from ...core.pooler.leadership import (
    is_promotion_due,
    may_replace_unreached,
    next_recorded_leader,
)
from ...core.pooler.promotion_orders import (
    ACCEPTED_EFFECT_SECONDS,
    choose_leader,
    is_surely_refused,
    may_order,
    NO_REFUSED_ORDER,
    pending_order,
    RefusedOrder,
    term_to_exceed,
)
from ...core.pooler.received_logs import (
    are_logs_missing,
    continue_log_wait,
    find_successors,
    is_log_wait_over,
    points_of,
)
from ...core.pooler.store_eras import era_of
from ..clock import now_seconds
from .evacuation_moves import EvacuationMoves
from .leader_notices import LeaderNotices
from .leader_records import LeaderRecords
from .returning_leaders import ReturningLeaders
from .status_requests import StatusRequests, UNREACHED, WITNESS_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.leadership import RecordedLeader
    from ...core.pooler.received_logs import LogSurvey, MissingLogWait
    from ...platform.metadata_store import MetadataStore
    from ...types import Seconds, UpstreamId
    from ..logs import Log
    from ..metrics import Metrics
    from ..peer_links import Links
    from .fleet_view import FleetView
    from .held_databases import HeldDatabases

# Number of instances in line for a service's duty that watch its primary.
STANDBY_COUNT = 3
# Pause before a promotion call without an answer is repeated.
REPEAT_PAUSE_SECONDS = 0.3
# Pauses after a check that found the primary reachable, and before another attempt.
REACHED_PAUSE_SECONDS = 0.5
RETRY_PAUSE_SECONDS = 0.3


class PromotionTask:
    """Watch the primaries for which this instance is in line; replace failed ones."""

    def __init__(
        self,
        view: FleetView,
        held_databases: HeldDatabases,
        links: Links,
        *,
        store: MetadataStore,
        promotions: MetadataStore,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Register the answer to peers; nothing is watched yet."""
        self.view = view
        self.held_databases = held_databases
        self.links = links
        self.records = LeaderRecords(view, store, log)
        self.notices = LeaderNotices(view, links, log)
        self.promotions = promotions
        self.metrics = metrics
        self.log = log
        self.services_in_progress: set[str] = set()
        self.evacuation_moves = EvacuationMoves(view, self.services_in_progress)
        self.paused_until: dict[str, Seconds] = {}
        self.missing_since: dict[str, Seconds] = {}
        self.refused_orders: dict[str, RefusedOrder] = {}
        self.returning_leaders = ReturningLeaders(view, log)
        self.statuses = StatusRequests(view, held_databases, links)
        self.log_waits: dict[str, MissingLogWait] = {}

    def watch(self) -> None:
        """Judge the primary of every service, and start the action it needs."""
        now = now_seconds()
        if self.view.stop is not None:
            return
        self.records.write_lost_records(now)
        if not self.view.are_promotions_fenced and not self.view.is_settled():
            # Instances that are not registered again may still use a former leader.
            return
        for service in self.view.declarations.services:
            is_paused = self.paused_until.get(service, 0.0) > now
            if service in self.services_in_progress or is_paused:
                continue
            verdict = self.judge_primary(service, now)
            if verdict is not Verdict.KEEP:
                self.services_in_progress.add(service)
                gevent.spawn(self.check_and_promote, service, verdict)

    def judge_primary(self, service: str, now: Seconds) -> Verdict:
        """Return whether to keep, check or replace a service's primary."""
        entries = databases_of(self.view.databases, service)
        if not entries:
            return Verdict.KEEP
        primary = self.view.primary_of(service)
        holders = self.view.holders(primary or entries[0])
        if self.view.own_instance not in holders[:STANDBY_COUNT]:
            return Verdict.KEEP
        rank = holders.index(self.view.own_instance)
        if primary is None:
            record = self.view.leadership.get(service)
            promoter = "" if record is None else record.recorded.promoter
            is_due = is_promotion_due(
                record,
                missing_since=self.missing_since.setdefault(service, now),
                rank=rank,
                is_promoter_at_work=promoter != self.view.own_instance
                and promoter in self.view.usable_instances(),
                waits_for_leases=not self.view.are_promotions_fenced,
                now=now,
            )
            if not is_due:
                return Verdict.KEEP
        else:
            self.missing_since.pop(service, None)
        if primary is not None and primary.leaving and rank > 0:
            return Verdict.KEEP
        if primary is not None:
            primary = self.evacuation_moves.claim(service, primary, rank, now)
        task = self.held_databases.tasks.get(primary.id) if primary else None
        own = task.tracker.health if task is not None else None
        health = self.view.database_health(primary.id if primary else "", own)
        return judge_primary(health, primary, place_in_line=rank, now=now)

    def check_and_promote(self, service: str, verdict: Verdict) -> None:
        """Check with other instances if required, and promote the best replica."""
        try:
            primary = self.view.primary_of(service)
            suspected = primary if verdict is Verdict.CHECK else None
            if suspected is not None and not self.may_replace(suspected):
                self.paused_until[service] = now_seconds() + REACHED_PAUSE_SECONDS
                return
            if verdict is Verdict.REPLACE:
                primary = self.evacuation_moves.as_replaced(primary)
            self.promote_replica(service, primary)
        finally:
            self.services_in_progress.discard(service)

    def may_replace(self, primary: Database) -> bool:
        """Return whether neither this instance nor a witness reaches a primary."""
        witnesses = self.statuses.choose_witnesses(primary)
        jobs = [
            gevent.spawn(self.statuses.ask_witness, name, primary) for name in witnesses
        ]
        own_job = gevent.spawn(self.statuses.probe_database, primary)
        gevent.joinall([own_job, *jobs], timeout=WITNESS_TIMEOUT_SECONDS)
        own = own_job.value or UNREACHED
        answers = {
            name: None if job.value is None else job.value.reachable
            for name, job in zip(witnesses, jobs, strict=True)
        }
        self.log.info(
            "A primary was looked at.",
            database=primary.id,
            reached=own.reachable,
            witnesses=answers,
        )
        if not own.reachable and any(answers.values()):
            self.view.relinquish_database(primary.id)
        return not own.reachable and may_replace_unreached(
            answers, has_peers=bool(witnesses)
        )

    def promote_replica(self, service: str, primary: Database | None) -> None:
        """Request the promotion of the reachable replica with the longest log."""
        started_at = now_seconds()
        replicas = [
            entry
            for entry in databases_of(self.view.databases, service)
            if primary is None or entry.id != primary.id
        ]
        survey = self.find_logs(service, replicas)
        if survey is None:
            return
        candidates = find_successors(
            survey,
            replicas,
            self.view.evacuations.successors_of(replicas),
            synchronous_replicas=self.synchronous_replicas(service),
            is_planned=primary is not None and primary.leaving,
        )
        points = points_of(survey, candidates)
        known = self.view.leadership.get(service)
        is_fenced = self.view.are_promotions_fenced
        pending = None
        if not is_fenced:
            pending = pending_order(
                known,
                primary,
                refused=self.refused_orders.get(service, NO_REFUSED_ORDER),
                now=now_seconds(),
            )
        if pending is None:
            points = self.returning_leaders.drop_diverged(service, points, known)
        chosen = choose_leader(
            candidates, points, known, pending, are_promotions_fenced=is_fenced
        )
        if chosen is None:
            self.log.info(
                "No replica can lead.",
                service=service,
                reached=len(points_of(survey, replicas)),
                pending=pending.leader if pending else None,
                pending_seconds=(
                    round(pending.until - now_seconds(), 3) if pending else None
                ),
            )
            self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
            return
        find_returned = self.returning_leaders.find_returned
        if primary is None and find_returned(service, known) is not None:
            return
        recorded = next_recorded_leader(
            known,
            promoter=self.view.own_instance,
            leader=chosen.id,
            current=primary.id if primary is not None else None,
            replaces_at_once=(primary is None or not primary.leaving or not is_fenced),
            era=era_of(self.view.revision),
            after_term=(
                0 if is_fenced else term_to_exceed(chosen, points[chosen.id], known)
            ),
        )
        recorded_at = now_seconds()
        fence = self.records.acquire_duty(service, recorded)
        if fence is None:
            self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
            return
        returned = find_returned(service, known) if primary is None else None
        if returned is not None:
            self.record_again(service, returned.id)
            return
        if not is_fenced:
            self.notices.end_other_leases(service, recorded, fence)
            # Without a fence at the platform nothing stops a promotion that is overtaken.
            if not self.records.is_stored(service, fence):
                self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
                return
        outcome = self.request_promotion(service, chosen, fence, recorded_at)
        if outcome == "refused":
            earlier_until = pending.until if pending is not None else 0.0
            self.refused_orders[service] = RefusedOrder(fence, earlier_until)
            if pending is None and primary is not None and recorded.replaces_at_once:
                self.record_again(service, primary.id)
        if outcome == "accepted" and recorded.after_term:
            self.confirm_leader(service, recorded, fence)
        self.metrics.count("promotions_total", outcome)
        self.log.info(
            "A promotion was asked for.",
            service=service,
            database=chosen.id,
            replaced=primary.id if primary else None,
            fence=fence,
            repeats_pending=pending is not None,
            after_term=recorded.after_term,
            points={name: str(point) for name, point in points.items()},
            applied={
                entry.id: str(self.view.observations.get(entry.id, UNOBSERVED).point)
                for entry in replicas
            },
            outcome=outcome,
            took_seconds=round(now_seconds() - started_at, 3),
        )

    def synchronous_replicas(self, service: str) -> int:
        """Return how many replicas receive a commit before it is acknowledged."""
        declared = self.view.declarations.services.get(service)
        return 0 if declared is None else declared.synchronous_replicas

    def find_logs(self, service: str, replicas: list[Database]) -> LogSurvey | None:
        """Return the replicas' logs; None if acknowledged commits may be missing."""
        survey = self.statuses.survey_logs(replicas, self.synchronous_replicas(service))
        if not are_logs_missing(survey, replicas, self.synchronous_replicas(service)):
            self.log_waits.pop(service, None)
            return survey
        now = now_seconds()
        wait = continue_log_wait(self.log_waits.get(service), now)
        self.log_waits[service] = wait
        self.log.info(
            "Acknowledged commits may be missing.",
            service=service,
            replicas=[entry.id for entry in replicas],
            received={name: str(point) for name, point in survey.received.items()},
            waited_seconds=round(now - wait.since, 3),
        )
        if is_log_wait_over(wait):
            return survey
        self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
        return None

    def request_promotion(
        self, service: str, chosen: Database, fence: int, recorded_at: Seconds
    ) -> str:
        """Ask the platform for a promotion, again while the answer is lost.

        A call without an answer may still take effect; repeating it changes nothing
        then, while a promotion of another database would be undone by it.
        """
        end_at = now_seconds() + PROMOTION_TIMEOUT_SECONDS
        self.paused_until[service] = end_at
        is_fenced = self.view.are_promotions_fenced
        answers: list[bool | None] = []
        # A stall may have used up the time in which other instances expect the order.
        while is_fenced or may_order(recorded_at, now_seconds()):
            result = self.promotions.promote(
                service, chosen.id, holder=self.view.own_instance, fence=fence
            )
            answers.append(None if isinstance(result, Failure) else result.unwrap())
            if answers[-1]:
                return "accepted"
            if is_surely_refused(answers) or (is_fenced and answers[-1] is False):
                return "refused"
            is_replaced = self.view.leadership[service].origin > fence
            if is_replaced or now_seconds() + REPEAT_PAUSE_SECONDS >= end_at:
                break
            gevent.sleep(REPEAT_PAUSE_SECONDS)
        return "unknown"

    def confirm_leader(
        self, service: str, recorded: RecordedLeader, fence: int
    ) -> None:
        """Record that a former leader leads once its accepted promotion took effect.

        Its term does not rise if it was not replaced, so that nothing else proves it.
        """
        gevent.sleep(ACCEPTED_EFFECT_SECONDS)
        if self.view.leadership[service].origin == fence:
            self.record_again(service, recorded.leader)

    def record_again(self, service: str, leader: UpstreamId) -> None:
        """Record a leader that leads at the platform without another promotion."""
        recorded = next_recorded_leader(
            self.view.leadership.get(service),
            promoter=self.view.own_instance,
            leader=leader,
            current=None,
            replaces_at_once=True,
            era=era_of(self.view.revision),
        )
        if self.records.acquire_duty(service, recorded) is not None:
            self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
