"""Replace failed and leaving primaries, under the fleet's promotion duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure

from ...core.pooler.catalogue import databases_of, primary_of
from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.failover import (
    choose_successor,
    judge_primary,
    PROMOTION_TIMEOUT_SECONDS,
    Verdict,
)
from ...platform import line_protocol
from ...wire.pooling import ReachabilityRequest, ReachabilityResponse
from ..clock import now_seconds
from ..http_connection import ConnectionFailed
from ..peer_links import PeerLost
from .database_connection import ConnectRefused, DatabaseConnection
from .store_state import DUTIES_PREFIX

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...platform.metadata_store import MetadataStore
    from ...types import InstanceId, LogPoint, Seconds, UpstreamId
    from ..logs import Log
    from ..metrics import Metrics
    from ..peer_links import Links
    from .fleet_view import FleetView
    from .held_databases import HeldDatabases

PROMOTION_DUTY_PREFIX = f"{DUTIES_PREFIX}promotion/"
# Time to connect and to answer a status request; a database that takes longer counts as
# unreachable.
REACH_TIMEOUT_SECONDS = 0.3
WITNESS_TIMEOUT_SECONDS = 0.4
# Number of instances asked whether they reach a database that this one cannot.
WITNESS_COUNT = 3
# Number of instances in line for a service's duty that watch its primary.
STANDBY_COUNT = 3
# Time left for a promotion under way before a service without a primary gets another
# one, and the additional time for each rank in line.
MISSING_PRIMARY_SECONDS = 0.5
MISSING_PRIMARY_RANK_SECONDS = 1.0
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
        """Register the answer to reachability requests; nothing is watched yet."""
        self.view = view
        self.held_databases = held_databases
        self.links = links
        self.store = store
        self.promotions = promotions
        self.metrics = metrics
        self.log = log
        self.services_in_progress: set[str] = set()
        self.paused_until: dict[str, Seconds] = {}
        self.missing_since: dict[str, Seconds] = {}
        links.register_call(ReachabilityRequest, self.answer_reachability)

    def watch(self) -> None:
        """Judge the primary of every service, and start the action it needs."""
        now = now_seconds()
        if self.view.stopping:
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
        primary = primary_of(self.view.databases, service)
        holders = self.view.holders(primary or entries[0])
        if self.view.own_instance not in holders[:STANDBY_COUNT]:
            return Verdict.KEEP
        rank = holders.index(self.view.own_instance)
        if primary is None:
            since = self.missing_since.setdefault(service, now)
            if (
                now - since
                < MISSING_PRIMARY_SECONDS + MISSING_PRIMARY_RANK_SECONDS * rank
            ):
                return Verdict.KEEP
        else:
            self.missing_since.pop(service, None)
        if primary is not None and primary.leaving and rank > 0:
            return Verdict.KEEP
        task = self.held_databases.tasks.get(primary.id) if primary else None
        own = task.tracker.health if task is not None else None
        health = self.view.database_health(primary.id if primary else "", own)
        return judge_primary(health, primary, place_in_line=rank, now=now)

    def check_and_promote(self, service: str, verdict: Verdict) -> None:
        """Check with other instances if required, and promote the best replica."""
        try:
            primary = primary_of(self.view.databases, service)
            suspected = primary if verdict is Verdict.CHECK else None
            if suspected is not None and self.is_reachable_by_any(suspected):
                self.paused_until[service] = now_seconds() + REACHED_PAUSE_SECONDS
                return
            self.promote_replica(service, primary)
        finally:
            self.services_in_progress.discard(service)

    def is_reachable_by_any(self, primary: Database) -> bool:
        """Return whether this instance or a witness can connect to a database."""
        others = [
            name
            for name in self.view.usable_instances()
            if name != self.view.own_instance
        ]
        witnesses = others[:WITNESS_COUNT]
        jobs = [gevent.spawn(self.ask_witness, name, primary) for name in witnesses]
        own_job = gevent.spawn(self.probe_database, primary)
        gevent.joinall([own_job, *jobs], timeout=WITNESS_TIMEOUT_SECONDS)
        own = own_job.value or ReachabilityResponse(False, None)
        answers = {
            name: bool(job.value) for name, job in zip(witnesses, jobs, strict=True)
        }
        self.log.info(
            "A primary was looked at.",
            database=primary.id,
            reached=own.reachable,
            witnesses=answers,
        )
        if not own.reachable and any(answers.values()):
            self.view.relinquish_database(primary.id)
        return own.reachable or any(answers.values())

    def ask_witness(self, name: InstanceId, primary: Database) -> bool:
        """Ask one witness; no answer counts as not reaching the database."""
        try:
            answer = self.links.call(
                name, ReachabilityRequest(primary.id), WITNESS_TIMEOUT_SECONDS
            )
        except PeerLost:
            return False
        return bool(answer.reachable)

    def answer_reachability(
        self, sender: InstanceId, message: ReachabilityRequest
    ) -> ReachabilityResponse:
        """Answer a peer whether this instance reaches a database."""
        database = self.view.databases.get(message.database)
        if database is None:
            return ReachabilityResponse(False, None)
        return self.probe_database(database)

    def probe_database(self, database: Database) -> ReachabilityResponse:
        """Request a database's status on a new connection."""
        organisation = next(iter(self.view.declarations.quotas), "")
        known = self.view.observations.get(database.id, UNOBSERVED).point
        connection = DatabaseConnection(0, organisation)
        try:
            point = connection.open(database, REACH_TIMEOUT_SECONDS)
            answer = connection.run_internal(
                line_protocol.STATUS_TEXT, REACH_TIMEOUT_SECONDS
            )
            return ReachabilityResponse(True, answer.point or point or known)
        except ConnectRefused as error:
            # A database that refuses a connection with an error code is running.
            return ReachabilityResponse(error.code is not None, known)
        except ConnectionFailed:
            return ReachabilityResponse(False, None)
        finally:
            connection.close()

    def promote_replica(self, service: str, primary: Database | None) -> None:
        """Request the promotion of the reachable replica with the longest log."""
        candidates = [
            entry
            for entry in databases_of(self.view.databases, service)
            if primary is None or entry.id != primary.id
        ]
        jobs = {
            entry.id: gevent.spawn(self.probe_database, entry) for entry in candidates
        }
        gevent.joinall(list(jobs.values()), timeout=WITNESS_TIMEOUT_SECONDS)
        points: dict[UpstreamId, LogPoint] = {
            name: job.value.point
            for name, job in jobs.items()
            if job.value is not None and job.value.reachable and job.value.point
        }
        chosen = choose_successor(candidates, points)
        if chosen is None:
            self.log.info("No replica can lead.", service=service, reached=len(points))
            self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
            return
        fence = self.acquire_duty(service, chosen)
        if fence is None:
            self.paused_until[service] = now_seconds() + RETRY_PAUSE_SECONDS
            return
        self.paused_until[service] = now_seconds() + PROMOTION_TIMEOUT_SECONDS
        result = self.promotions.promote(
            service, chosen.id, holder=self.view.own_instance, fence=fence
        )
        outcome = "unknown"
        if not isinstance(result, Failure):
            outcome = "accepted" if result.unwrap() else "refused"
        self.metrics.count("promotions_total", outcome)
        self.log.info(
            "A promotion was asked for.",
            service=service,
            database=chosen.id,
            replaced=primary.id if primary else None,
            fence=fence,
            points={name: str(point) for name, point in points.items()},
            outcome=outcome,
        )

    def acquire_duty(self, service: str, chosen: Database) -> int | None:
        """Acquire the duty for a promotion; its key's revision fences older holders."""
        key = PROMOTION_DUTY_PREFIX + service
        known_revision = self.view.duty_revisions.get(key, 0)
        value = f"{self.view.own_instance} {chosen.id}".encode()
        result = self.store.put_if_unchanged(
            conditions={key: known_revision}, puts={key: value}
        )
        if isinstance(result, Failure):
            detail = result.failure().detail
            self.log.info("The duty was not taken.", service=service, error=detail)
            return None
        outcome = result.unwrap()
        if not isinstance(outcome, int):
            self.log.info("Another instance has the duty.", service=service)
            return None
        self.view.duty_revisions[key] = outcome
        return outcome
