"""Hold what is known of every database's load, and choose where reads run."""

from __future__ import annotations

from collections import deque
from random import Random, SystemRandom
from typing import TYPE_CHECKING

from ...core.pooler.catalogue import databases_of, NO_DECLARATIONS
from ...core.pooler.database_load import BelievedLoad
from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.load_balancing import Candidate, order_databases
from ...core.pooler.outliers import review_databases
from ...core.pooler.read_affinity import arrange_organisations
from ...types import DatabaseRole
from ..clock import now_seconds, rounded_age

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...core.pooler.catalogue import Database
    from ...core.pooler.database_load import DatabaseLoad
    from ...core.pooler.outliers import SetAside
    from ...core.pooler.read_affinity import Arc
    from ...types import OrganisationId, Seconds, UpstreamId
    from ..logs import Log
    from ..metrics import Metrics
    from .fleet_view import FleetView

# Shortest time between two reviews of the outcomes at a service's databases.
REVIEW_SECONDS = 0.1
# Statements sent since the last report are counted up to this number; by then the
# database is taken for busy anyway.
MAX_SENT = 256


class ReadBalancer:
    """Own the load reports, the statements sent since, and the databases set aside."""

    def __init__(
        self, view: FleetView, *, metrics: Metrics, log: Log, rng: Random | None = None
    ) -> None:
        """Start with nothing known."""
        self.view = view
        self.metrics = metrics
        self.log = log
        self.rng = rng or Random(SystemRandom().getrandbits(64))
        self.sent_at: dict[UpstreamId, deque[Seconds]] = {}
        self.set_aside: dict[str, dict[UpstreamId, SetAside]] = {}
        self.reviewed_at: dict[str, Seconds] = {}
        self.arranged_version = NO_DECLARATIONS.version
        self.arcs: dict[OrganisationId, Arc] = {}

    def order_reads(
        self,
        service: str,
        organisation: OrganisationId,
        usable: Sequence[Database],
        now: Seconds,
    ) -> list[Database]:
        """Return the databases that can serve a read in the order to try them."""
        self.review(service, now)
        aside = self.set_aside.get(service, {})
        candidates = []
        for database in usable:
            known = self.view.observations.get(database.id, UNOBSERVED)
            entry = aside.get(database.id)
            candidates.append(
                Candidate(
                    database,
                    self.believed_load(database.id),
                    is_primary=database.role is DatabaseRole.PRIMARY,
                    is_near=database.failure_domain == self.view.failure_domain,
                    is_avoided=known.avoided_until > now,
                    is_set_aside=entry is not None and bool(entry.reason),
                )
            )
        return order_databases(
            candidates, now, self.rng, self.find_arc(service, organisation)
        )

    def find_arc(self, service: str, organisation: OrganisationId) -> Arc | None:
        """Return the arc of an organisation; None where connections are not scarce."""
        declarations = self.view.declarations
        if not self.view.slot_sharing.has_scarce_connections(service, declarations):
            return None
        if declarations.version != self.arranged_version:
            self.arranged_version = declarations.version
            self.arcs = arrange_organisations(declarations.quotas)
        return self.arcs.get(organisation)

    def record_sent(self, database: Database) -> None:
        """Record that this instance sends a statement to a database."""
        if self.view.features.balances_reads:
            sent = self.sent_at.setdefault(database.id, deque(maxlen=MAX_SENT))
            sent.append(now_seconds())

    def believed_load(self, database: UpstreamId) -> BelievedLoad | None:
        """Return the last reported load, with what was sent since; None if unknown."""
        reported = self.view.loads.get(database)
        if reported is None:
            return None
        sent = self.sent_at.get(database) or deque()
        while sent and sent[0] <= reported.observed_at:
            sent.popleft()
        return reported._replace(sent_since=len(sent))

    def review(self, service: str, now: Seconds) -> None:
        """Set databases of a service aside or let them return, by their outcomes."""
        if now - self.reviewed_at.get(service, float("-inf")) < REVIEW_SECONDS:
            return
        self.reviewed_at[service] = now
        loads = {
            database.id: self.view.loads.get(database.id)
            for database in databases_of(self.view.databases, service)
        }
        before = self.set_aside.get(service, {})
        after = self.set_aside[service] = review_databases(loads, before, now)
        for name, entry in after.items():
            known = before.get(name)
            was_aside = known is not None and bool(known.reason)
            if bool(entry.reason) != was_aside:
                self.log_change(service, name, entry, loads[name])

    def log_change(
        self,
        service: str,
        database: UpstreamId,
        entry: SetAside,
        believed: BelievedLoad | None,
    ) -> None:
        """Log and count that a database is set aside or returned."""
        load: DatabaseLoad | None = believed.load if believed else None
        self.metrics.count("databases_set_aside_total", entry.reason or "returned")
        self.log.info(
            "A database was set aside for reads, or returned.",
            database=database,
            service=service,
            reason=entry.reason,
            times=entry.times,
            failed_percent=load.failed_percent if load else None,
            slow_percent=load.slow_percent if load else None,
            organisations=load.affected_organisations if load else None,
            report_age=rounded_age(believed.observed_at) if believed else None,
        )

    def set_gauges(self) -> None:
        """Set the gauges of the believed loads, their ages and their spread."""
        if not self.view.features.balances_reads:
            return
        now = now_seconds()
        shares: dict[str, list[float]] = {}
        for database in self.view.databases.values():
            believed = self.view.loads.get(database.id)
            if believed is None:
                continue
            name = {"database": database.id}
            load = believed.load
            self.metrics.gauge("database_busy_share", load.busy_share, **name)
            self.metrics.gauge(
                "database_statements", load.waiting + load.running, **name
            )
            self.metrics.gauge(
                "database_load_age_seconds", now - believed.observed_at, **name
            )
            entry = self.set_aside.get(database.service, {}).get(database.id)
            for reason in ("failed", "slow"):
                is_aside = entry is not None and entry.reason == reason
                self.metrics.gauge(
                    "database_set_aside", float(is_aside), reason=reason, **name
                )
            shares.setdefault(database.service, []).append(load.busy_share)
        for service, found in shares.items():
            mean = sum(found) / len(found)
            spread = max(found) / mean if mean else 1.0
            self.metrics.gauge("service_load_spread", spread, service=service)
