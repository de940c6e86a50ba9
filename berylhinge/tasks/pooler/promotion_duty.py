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
    NO_LEADER,
)
from ...core.pooler.promotion_orders import (
    ACCEPTED_EFFECT_SECONDS,
    is_surely_refused,
    may_order,
    term_to_exceed,
)
from ...core.pooler.store_eras import era_of
from ..clock import now_seconds
from .evacuation_moves import EvacuationMoves
from .leader_notices import LeaderNotices
from .leader_records import LeaderRecords
from .returning_leaders import ReturningLeaders
from .status_requests import StatusRequests, UNREACHED, WITNESS_TIMEOUT_SECONDS
from .successor_choice import SuccessorChoice

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.leadership import LeadershipRecord, RecordedLeader
    from ...platform.metadata_store import MetadataStore
    from ...types import Seconds, UpstreamId
    from ..logs import Log
    from ..metrics import Metrics
    from ..peer_links import Links
    from .fleet_view import FleetView
    from .held_databases import HeldDatabases
    from .successor_choice import Succession

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
        self.returning_leaders = ReturningLeaders(view, log)
        self.statuses = StatusRequests(view, held_databases, links)
        self.successors = SuccessorChoice(
            view, self.statuses, self.returning_leaders, log
        )

    def watch(self) -> None:
        """Judge the primary of every service, and start the action it needs."""
        now = now_seconds()
        if self.view.stop is not None:
            return
        self.records.write_lost_records(now)
        for service in self.view.declarations.services:
            if self.view.uses_leases(service) and not self.view.is_settled():
                # Instances that are not registered again may still use a former leader.
                continue
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
                waits_for_leases=self.view.uses_leases(service),
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
            basis = self.records.newest_revision(service)
            suspected = primary if verdict is Verdict.CHECK else None
            if suspected is not None and not self.may_replace(suspected):
                self.paused_until[service] = now_seconds() + REACHED_PAUSE_SECONDS
                return
            if verdict is Verdict.REPLACE:
                primary = self.evacuation_moves.as_replaced(primary)
            self.promote_replica(service, primary, basis)
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

    def promote_replica(
        self, service: str, primary: Database | None, basis: int
    ) -> None:
        """Request the promotion of the reachable replica with the longest log.

        The decision rests on the service's record at the revision ``basis``.
        """
        started_at = now_seconds()
        succession = self.successors.choose(service, primary)
        known = self.view.leadership.get(service)
        if succession is None:
            self.pause(service)
            return
        if primary is None and self.find_returned(service, known) is not None:
            return
        are_commits_stopped = False
        if (
            self.view.declarations.synchronous_replicas(service)
            and succession.pending is None
        ):
            stopped_at = self.stop_commits(service, primary, basis)
            if stopped_at is None:
                return
            basis, are_commits_stopped = stopped_at, True
            # The logs show every acknowledged commit only now.
            succession = self.successors.choose(service, primary)
            known = self.view.leadership.get(service)
            if succession is None:
                self.pause(service)
                if primary is not None:
                    self.record_again(service, primary.id, basis)
                return
        recorded = self.next_record(service, primary, succession)
        recorded_at = now_seconds()
        fence = self.records.acquire_duty(service, recorded, basis=basis)
        if fence is None:
            self.pause(service)
            return
        returned = self.find_returned(service, known) if primary is None else None
        if returned is not None:
            self.record_again(service, returned.id, fence)
            return
        if self.view.uses_leases(service) and not are_commits_stopped:
            self.notices.end_other_leases(service, recorded, fence)
        # Without a fence at the platform nothing stops a promotion that is overtaken.
        is_fenced = self.view.are_promotions_fenced
        if not is_fenced and not self.records.is_stored(service, fence):
            self.pause(service)
            return
        outcome = self.request_promotion(service, succession.chosen, fence, recorded_at)
        if outcome == "refused":
            self.successors.record_refusal(service, fence, succession)
            is_repeated = succession.pending is not None
            if primary is not None and recorded.replaces_at_once and not is_repeated:
                self.record_again(service, primary.id, fence)
        if outcome == "accepted" and recorded.after_term:
            self.confirm_leader(service, recorded, fence)
        self.metrics.count("promotions_total", outcome)
        self.log.info(
            "A promotion was asked for.",
            service=service,
            database=succession.chosen.id,
            replaced=primary.id if primary else None,
            fence=fence,
            repeats_pending=succession.pending is not None,
            after_term=recorded.after_term,
            points={name: str(point) for name, point in succession.points.items()},
            applied={
                entry.id: str(self.view.observations.get(entry.id, UNOBSERVED).point)
                for entry in succession.replicas
            },
            outcome=outcome,
            took_seconds=round(now_seconds() - started_at, 3),
        )

    def pause(self, service: str) -> None:
        """Leave a service alone for a while."""
        self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS

    def find_returned(
        self, service: str, record: LeadershipRecord | None
    ) -> Database | None:
        """Return the primary of a service if it has become known meanwhile."""
        return self.returning_leaders.find_returned(service, record)

    def stop_commits(
        self, service: str, primary: Database | None, basis: int
    ) -> int | None:
        """Record that no database leads, and wait until no instance commits any more.

        Return the revision of that record, None if it was not written. Only the next
        record of the service ends the stop, whoever writes it.
        """
        known = self.view.leadership.get(service)
        stopped = next_recorded_leader(
            known,
            promoter=self.view.own_instance,
            leader=NO_LEADER,
            current=primary.id if primary is not None else None,
            replaces_at_once=True,
            era=era_of(self.view.revision),
            is_exclusive=True,
        )
        stopped_at = self.records.acquire_duty(service, stopped, basis=basis)
        if stopped_at is None:
            self.pause(service)
            return None
        returned = self.find_returned(service, known) if primary is None else None
        if returned is not None:
            self.record_again(service, returned.id, stopped_at)
            return None
        self.notices.end_other_leases(service, stopped, stopped_at)
        return stopped_at

    def next_record(
        self, service: str, primary: Database | None, succession: Succession
    ) -> RecordedLeader:
        """Return the record of a promotion."""
        known = self.view.leadership.get(service)
        chosen = succession.chosen
        uses_leases = self.view.uses_leases(service)
        after_term = 0
        if uses_leases:
            after_term = term_to_exceed(chosen, succession.points[chosen.id], known)
        return next_recorded_leader(
            known,
            promoter=self.view.own_instance,
            leader=chosen.id,
            current=primary.id if primary is not None else None,
            replaces_at_once=primary is None or not primary.leaving or uses_leases,
            era=era_of(self.view.revision),
            after_term=after_term,
            is_exclusive=self.view.declarations.synchronous_replicas(service) > 0,
        )

    def request_promotion(
        self, service: str, chosen: Database, fence: int, recorded_at: Seconds
    ) -> str:
        """Ask the platform for a promotion, again while the answer is lost.

        A call without an answer may still take effect; repeating it changes nothing
        then, while a promotion of another database would be undone by it.
        """
        end_at = now_seconds() + PROMOTION_TIMEOUT_SECONDS
        self.paused_until[service] = end_at
        uses_leases = self.view.uses_leases(service)
        answers: list[bool | None] = []
        # A stall may have used up the time in which other instances expect the order.
        while not uses_leases or may_order(recorded_at, now_seconds()):
            result = self.promotions.promote(
                service, chosen.id, holder=self.view.own_instance, fence=fence
            )
            answers.append(None if isinstance(result, Failure) else result.unwrap())
            if answers[-1]:
                return "accepted"
            is_last_refused = answers[-1] is False
            if is_surely_refused(answers) or (is_last_refused and not uses_leases):
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
            self.record_again(service, recorded.leader, fence)

    def record_again(self, service: str, leader: UpstreamId, basis: int) -> None:
        """Record a leader that leads at the platform without another promotion."""
        recorded = next_recorded_leader(
            self.view.leadership.get(service),
            promoter=self.view.own_instance,
            leader=leader,
            current=None,
            replaces_at_once=True,
            era=era_of(self.view.revision),
            is_exclusive=self.view.declarations.synchronous_replicas(service) > 0,
        )
        if self.records.acquire_duty(service, recorded, basis=basis) is not None:
            self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
