"""Hold the evacuations of failure domains that this instance knows of."""

from __future__ import annotations

from random import random
from typing import TYPE_CHECKING

from ...core.pooler import evacuation
from ...core.pooler.catalogue import databases_of
from ...core.pooler.evacuation import Evacuation, Stage
from ..clock import now_seconds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...core.pooler.catalogue import Database
    from ...types import FailureDomainId, Seconds, UpstreamId


class Evacuations:
    """Own the orders to evacuate failure domains; the registry writes, others read."""

    def __init__(self, limit_seconds: Seconds, *, is_enabled: bool) -> None:
        """Start without orders; where it is not enabled, none is accepted."""
        self.limit_seconds = limit_seconds
        self.is_enabled = is_enabled and limit_seconds > 0.0
        self.orders: dict[FailureDomainId, Evacuation] = {}

    def begin(self, domain: FailureDomainId, ordered_at: Seconds) -> None:
        """Record an order given after a moment, unless it is known."""
        if domain not in self.active_domains():
            self.orders[domain] = Evacuation(ordered_at, now_seconds())

    def take_back(self, domain: FailureDomainId) -> None:
        """Record that an order was taken back."""
        if domain in self.active_domains():
            known = self.orders[domain]
            self.orders[domain] = known._replace(taken_back_at=now_seconds())

    def active_domains(self) -> list[FailureDomainId]:
        """Return the failure domains under evacuation."""
        return evacuation.evacuated_domains(self.orders, now_seconds())

    def stage_of_domain(self, domain: FailureDomainId) -> Stage:
        """Return the stage of a failure domain's evacuation."""
        return evacuation.find_stage(
            self.orders.get(domain), self.limit_seconds, now_seconds()
        )

    def may_start_work(self, database: Database) -> bool:
        """Return whether new work may be sent to a database."""
        return self.stage_of_domain(database.failure_domain) < Stage.NO_NEW_WORK

    def may_continue_work(self, database: Database) -> bool:
        """Return whether open transactions may go on at a database."""
        return self.stage_of_domain(database.failure_domain) < Stage.EMPTY

    def readable_databases(self, databases: Iterable[Database]) -> list[Database]:
        """Return the databases that a read may use now."""
        if not self.orders:
            return list(databases)
        return evacuation.readable_databases(
            databases,
            self.orders,
            limit=self.limit_seconds,
            draw=random(),
            now=now_seconds(),
        )

    def successors_of(self, databases: Iterable[Database]) -> list[Database]:
        """Return the databases that are not in a failure domain under evacuation."""
        domains = self.active_domains()
        return [entry for entry in databases if entry.failure_domain not in domains]

    def is_service_stopped(
        self,
        databases: dict[UpstreamId, Database],
        service: str,
        primary: Database | None,
    ) -> bool:
        """Return whether an evacuation leaves a service without a possible primary."""
        if not self.orders:
            return False
        return evacuation.is_service_stopped(
            databases_of(databases, service),
            None if primary is None else primary.id,
            self.orders,
            limit=self.limit_seconds,
            now=now_seconds(),
        )

    def forget_ended(self) -> list[FailureDomainId]:
        """Drop the evacuations after which all traffic has returned."""
        ended = [
            name for name in self.orders if self.stage_of_domain(name) is Stage.SERVING
        ]
        for name in ended:
            del self.orders[name]
        return ended
