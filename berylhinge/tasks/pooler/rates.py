"""Admit operations within each organisation's rate over the whole fleet."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ...core.pooler.rates import (
    alone,
    Bucket,
    grant,
    new_bucket,
    spare,
    SPARE_SECONDS,
    Tolerance,
)
from ...wire.pooling import TakeTokens, Tokens
from ..clock import now_seconds
from ..links import PeerLost
from .view import PASSED_OVER_SECONDS

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Quota
    from ...types import InstanceId, OrganisationId, Seconds
    from ..links import Links
    from .view import View

# At the fleet's first start buckets are full; later a new keeper's are empty.
FULL_BUCKETS_SECONDS = 20.0


class Spare(NamedTuple):
    """Hold tokens for operations to come, until they lapse."""

    tokens: int
    until: Seconds


class Demand(NamedTuple):
    """Count an organisation's operations here since a moment."""

    since: Seconds
    operations: int
    operations_per_second: float


NO_PREFETCHED_TOKENS = Spare(0, 0.0)


class Admission(NamedTuple):
    """Tell whether an operation may run, or when to come back."""

    admitted: bool
    retry_after_seconds: Seconds


class RatesTask:
    """Own the buckets that this instance keeps, and ask other keepers."""

    def __init__(
        self, view: View, links: Links, *, first_start: bool, tolerance: Tolerance
    ) -> None:
        """Start without buckets."""
        self.view = view
        self.links = links
        self.tolerance = tolerance
        self.full_buckets_until = now_seconds() + (
            FULL_BUCKETS_SECONDS if first_start else 0.0
        )
        self.kept: dict[OrganisationId, Bucket] = {}
        self.own: dict[OrganisationId, Bucket] = {}
        self.spares: dict[OrganisationId, Spare] = {}
        self.demands: dict[OrganisationId, Demand] = {}
        self.waiting: dict[OrganisationId, list[AsyncResult]] = {}

    def admit(self, organisation: OrganisationId) -> Admission:
        """Count one operation."""
        quota = self.view.declarations.quotas.get(organisation)
        if quota is None:
            return Admission(True, 0.0)
        keeper = self.view.keeper(organisation)
        if keeper == self.view.me:
            return self.admit_as_owner(organisation, quota)
        if self.use_prefetched_token(organisation):
            return Admission(True, 0.0)
        turn = AsyncResult()
        queue = self.waiting.get(organisation)
        if queue is not None:
            queue.append(turn)
        else:
            self.waiting[organisation] = [turn]
            gevent.spawn(self.ask, organisation, keeper)
        admission: Admission = turn.get()
        return admission

    def use_prefetched_token(self, organisation: OrganisationId) -> bool:
        """Note the demand, and take a token granted earlier if one is left."""
        now = now_seconds()
        known = self.demands.get(organisation, Demand(now, 0, 0.0))
        known = known._replace(operations=known.operations + 1)
        passed = now - known.since
        if passed >= SPARE_SECONDS:
            known = Demand(now, 0, known.operations / passed)
        self.demands[organisation] = known
        kept = self.spares.get(organisation, NO_PREFETCHED_TOKENS)
        if kept.tokens < 1 or kept.until <= now:
            return False
        self.spares[organisation] = kept._replace(tokens=kept.tokens - 1)
        return True

    def admit_as_owner(self, organisation: OrganisationId, quota: Quota) -> Admission:
        """Take a token here."""
        tokens = self.take(organisation, quota, 1)
        if tokens.wait_seconds > 0.0:
            gevent.sleep(tokens.wait_seconds)
        return Admission(bool(tokens.granted), tokens.retry_after_seconds)

    def ask(self, organisation: OrganisationId, keeper: InstanceId) -> None:
        """Ask for all that wait, and once more for those that came meanwhile."""
        while turns := self.waiting.get(organisation):
            self.waiting[organisation] = []
            try:
                admissions = self.asked(organisation, keeper, len(turns))
            except Exception:
                for turn in turns:
                    turn.set(Admission(False, PASSED_OVER_SECONDS))
                raise
            for turn, admission in zip(turns, admissions, strict=True):
                turn.set(admission)
        del self.waiting[organisation]

    def asked(
        self, organisation: OrganisationId, keeper: InstanceId, count: int
    ) -> list[Admission]:
        """Return what the keeper granted, or what may be spent without one."""
        asked_at = now_seconds()
        demand = self.demands.get(organisation)
        to_come = int(demand.operations_per_second * SPARE_SECONDS) if demand else 0
        try:
            tokens: Tokens = self.links.call(
                keeper, TakeTokens(organisation, count, to_come), PASSED_OVER_SECONDS
            )
        except PeerLost:
            if not self.view.has_slept_since(asked_at):
                self.view.suspect(keeper)
                self.links.forget(keeper)
            tokens = self.take_fallback(organisation, count)
        if tokens.spare:
            until = asked_at + SPARE_SECONDS
            self.spares[organisation] = Spare(tokens.spare, until)
        if tokens.wait_seconds > 0.0:
            gevent.sleep(tokens.wait_seconds)
        refused = Admission(False, tokens.retry_after_seconds)
        granted = [Admission(True, 0.0)] * tokens.granted
        return granted + [refused] * (count - tokens.granted)

    def take_fallback(self, organisation: OrganisationId, count: int) -> Tokens:
        """Spend from a small share of this instance's own."""
        quota = self.view.declarations.quotas.get(organisation)
        if quota is None:
            return Tokens(count, 0, 0.0, 0.0)
        quota = alone(quota, len(self.view.members))
        now = now_seconds()
        bucket = self.own.get(organisation) or new_bucket(quota, now, None)
        found = grant(bucket, quota, count, now)
        self.own[organisation] = found.bucket
        return Tokens(found.granted, 0, found.wait_seconds, found.retry_after_seconds)

    def take(self, organisation: OrganisationId, quota: Quota, count: int) -> Tokens:
        """Take tokens from a bucket kept here."""
        now = now_seconds()
        bucket = self.kept.get(organisation)
        if bucket is None:
            tolerance = None if now < self.full_buckets_until else self.tolerance
            bucket = new_bucket(quota, now, tolerance)
        found = grant(bucket, quota, count, now)
        self.kept[organisation] = found.bucket
        return Tokens(found.granted, 0, found.wait_seconds, found.retry_after_seconds)

    def on_take(self, sender: InstanceId, message: TakeTokens) -> Tokens:
        """Grant what another instance asks for."""
        quota = self.view.declarations.quotas.get(message.organisation)
        if quota is None:
            return Tokens(message.wanted, 0, 0.0, 0.0)
        tokens = self.take(message.organisation, quota, message.wanted)
        bucket = self.kept[message.organisation]
        extra = spare(bucket, quota, message.spare, len(self.view.members))
        if extra:
            left = bucket._replace(tokens=bucket.tokens - extra)
            self.kept[message.organisation] = left
        return tokens._replace(spare=extra)
