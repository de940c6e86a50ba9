"""Report how evacuations proceed, in logs and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.evacuation import Stage

if TYPE_CHECKING:
    from ...types import FailureDomainId
    from ..logs import Log
    from ..metrics import Metrics
    from .fleet_view import FleetView
    from .held_databases import HeldDatabases


class EvacuationMonitor:
    """Log each step of an evacuation once, and set the gauges."""

    def __init__(
        self,
        view: FleetView,
        held_databases: HeldDatabases,
        *,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Start with nothing reported."""
        self.view = view
        self.held_databases = held_databases
        self.metrics = metrics
        self.log = log
        self.reported: dict[FailureDomainId, Stage] = {}
        self.unknown: set[FailureDomainId] = set()

    def watch(self) -> None:
        """Report what has changed; forget the evacuations that are over."""
        evacuations = self.view.evacuations
        if not evacuations.is_enabled:
            return
        known = {entry.failure_domain for entry in self.view.databases.values()}
        self.report_unknown(set(evacuations.active_domains()) - known)
        for domain in (*evacuations.forget_ended(), *evacuations.orders):
            if domain in known or domain in self.reported:
                self.report_stage(domain, evacuations.stage_of_domain(domain))
        active = [name for name in evacuations.active_domains() if name in known]
        in_use = [name for domain in active for name in self.databases_in_use(domain)]
        self.metrics.gauge("evacuated_domains", len(active))
        self.metrics.gauge("evacuated_databases_in_use", len(in_use))

    def report_stage(self, domain: FailureDomainId, stage: Stage) -> None:
        """Log a stage that an evacuation has reached."""
        if self.reported.get(domain) is stage:
            return
        self.reported[domain] = stage
        if stage is Stage.SERVING:
            del self.reported[domain]
        self.log.info(
            "An evacuation reached a stage.",
            failure_domain=domain,
            stage=stage.name.lower(),
            in_use=self.databases_in_use(domain),
        )

    def report_unknown(self, domains: set[FailureDomainId]) -> None:
        """Log once that an evacuation names a failure domain without any database."""
        for domain in sorted(domains - self.unknown):
            self.log.info(
                "An evacuation names an unknown failure domain.", failure_domain=domain
            )
        self.unknown = domains

    def databases_in_use(self, domain: FailureDomainId) -> list[str]:
        """Return the held databases of a failure domain with work under way."""
        return sorted(
            name
            for name, task in self.held_databases.tasks.items()
            if task.database.failure_domain == domain
            and (task.pinned_connections or task.slots.unanswered)
        )
