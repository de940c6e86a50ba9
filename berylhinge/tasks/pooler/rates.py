"""Admit operations within each organisation's rate over the whole fleet."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ...core.pooler.token_buckets import (
    grant_tokens,
    isolated_quota,
    new_bucket,
    RateTolerance,
    reached_quota,
    return_tokens,
    SPARE_LIFETIME_SECONDS,
    spare_tokens,
    take_spare_tokens,
    TokenBucket,
)
from ...wire.pooling import TokenGrant, TokenRequest
from ..clock import now_seconds
from ..peer_frames import PeerLost
from .fleet_view import PEER_FAILOVER_SECONDS
from .rate_handover import RateHandover

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.catalogue import Quota
    from ...types import InstanceId, OrganisationId, Seconds
    from ..logs import Log
    from ..peer_links import Links
    from .fleet_view import FleetView

# For this long after the fleet's first start new buckets are full; later a new rate
# owner's buckets hold only what the tolerance allows.
FULL_BUCKETS_SECONDS = 20.0

# A rate owner that does not answer is passed over, and the next one is asked, so that an
# operation is not refused for the loss of one instance.
MAX_OWNERS_ASKED = 2
STARTING_OWNER_PAUSE_SECONDS = 0.02
# Part of an operation's latency goal that it may spend waiting for a token of a new
# bucket; the rest is left for the statement.
MAX_WAIT_GOAL_FRACTION = 0.6
# Operations that wait for a token ask again after this time at least, in one request.
MIN_TOKEN_PAUSE_SECONDS = 0.02


class PrefetchedTokens(NamedTuple):
    """Describe tokens granted ahead for later operations, and when they expire."""

    tokens: int
    expires_at: Seconds


class ReturnedTokens(NamedTuple):
    """Describe a rate owner's tokens that were not used, and since when the oldest."""

    owner: InstanceId
    tokens: int
    taken_at: Seconds


class Demand(NamedTuple):
    """Count an organisation's operations on this instance since a moment."""

    since: Seconds
    operations: int
    operations_per_second: float


NO_PREFETCHED_TOKENS = PrefetchedTokens(0, 0.0)


class Admission(NamedTuple):
    """State whether an operation may run, and if not, after how long to retry.

    ``may_wait`` tells that the bucket is new, so that the operation need not be refused.
    The token is that of the rate ``owner``, if there is one, who counted it at
    ``taken_at`` or later.
    """

    admitted: bool
    retry_after_seconds: Seconds
    may_wait: bool = False
    owner: InstanceId | None = None
    taken_at: Seconds = 0.0


class RateLimiter:
    """Own this instance's buckets as a rate owner, and ask other rate owners."""

    def __init__(
        self,
        view: FleetView,
        links: Links,
        *,
        first_start: bool,
        tolerance: RateTolerance,
        is_starting: Callable[[InstanceId], bool],
        reached_fraction: Callable[[], float],
        log: Log,
    ) -> None:
        """Start without buckets; on a first start new ones are full for a while."""
        self.log = log
        self.view = view
        self.links = links
        self.tolerance = tolerance
        self.is_starting = is_starting
        self.reached_fraction = reached_fraction
        self.full_buckets_until = now_seconds() + (
            FULL_BUCKETS_SECONDS if first_start else 0.0
        )
        self.owned_buckets: dict[OrganisationId, TokenBucket] = {}
        self.handover = RateHandover(
            view, links, self.owned_buckets, first_start=first_start, log=log
        )
        self.fallback_buckets: dict[OrganisationId, TokenBucket] = {}
        self.prefetched: dict[OrganisationId, PrefetchedTokens] = {}
        self.demands: dict[OrganisationId, Demand] = {}
        self.waiting: dict[OrganisationId, list[AsyncResult]] = {}
        self.returned: dict[OrganisationId, ReturnedTokens] = {}

    def admit(
        self, organisation: OrganisationId, latency_goal_seconds: Seconds = 0.0
    ) -> Admission:
        """Count one operation; wait for its token if one comes soon.

        After a change of rate owner it waits for longer, within its latency goal.
        """
        self.record_demand(organisation)
        wait_until = now_seconds() + latency_goal_seconds * MAX_WAIT_GOAL_FRACTION
        while True:
            admission = self.admit_once(organisation)
            if admission.admitted or not admission.may_wait:
                return admission
            pause = max(MIN_TOKEN_PAUSE_SECONDS, admission.retry_after_seconds)
            if now_seconds() + pause > wait_until:
                return admission
            gevent.sleep(pause)

    def admit_once(self, organisation: OrganisationId) -> Admission:
        """Count one operation, and refuse it if its token does not come soon."""
        quota = self.view.declarations.quotas.get(organisation)
        if quota is None:
            return Admission(True, 0.0)
        rate_owner = self.handover.rate_owner(organisation)
        if rate_owner == self.view.own_instance:
            return self.admit_as_owner(organisation, quota)
        granted_at = self.use_prefetched_token(organisation)
        if granted_at is not None:
            return Admission(True, 0.0, owner=rate_owner, taken_at=granted_at)
        decision = AsyncResult()
        queue = self.waiting.get(organisation)
        if queue is not None:
            queue.append(decision)
        else:
            self.waiting[organisation] = [decision]
            gevent.spawn(self.admit_waiting, organisation)
        admission: Admission = decision.get()
        return admission

    def record_demand(self, organisation: OrganisationId) -> None:
        """Count an operation, by which tokens are asked for ahead."""
        now = now_seconds()
        demand = self.demands.get(organisation, Demand(now, 0, 0.0))
        demand = demand._replace(operations=demand.operations + 1)
        passed_seconds = now - demand.since
        if passed_seconds >= SPARE_LIFETIME_SECONDS:
            demand = Demand(now, 0, demand.operations / passed_seconds)
        self.demands[organisation] = demand

    def use_prefetched_token(self, organisation: OrganisationId) -> Seconds | None:
        """Use a token granted ahead if one is left; return when it was asked for."""
        prefetched = self.prefetched.get(organisation, NO_PREFETCHED_TOKENS)
        if prefetched.tokens < 1 or prefetched.expires_at <= now_seconds():
            return None
        self.prefetched[organisation] = prefetched._replace(
            tokens=prefetched.tokens - 1
        )
        return prefetched.expires_at - SPARE_LIFETIME_SECONDS

    def admit_as_owner(self, organisation: OrganisationId, quota: Quota) -> Admission:
        """Take a token from a bucket that this instance owns."""
        self.handover.take_over(organisation)
        tokens = self.take_tokens(organisation, quota, 1)
        taken_at = now_seconds()
        if tokens.wait_seconds > 0.0:
            gevent.sleep(tokens.wait_seconds)
        return Admission(
            bool(tokens.granted),
            tokens.retry_after_seconds,
            tokens.may_wait,
            self.view.own_instance,
            taken_at,
        )

    def return_token(self, organisation: OrganisationId, admission: Admission) -> None:
        """Give back the token of an admitted operation that certainly did not run."""
        quota = self.view.declarations.quotas.get(organisation)
        owner, taken_at = admission.owner, admission.taken_at
        if quota is None or owner is None:
            return
        if owner == self.view.own_instance:
            self.take_back(organisation, quota, 1, taken_at)
            return
        known = self.returned.get(organisation)
        if known is None or known.owner != owner:
            known = ReturnedTokens(owner, 0, taken_at)
        self.returned[organisation] = ReturnedTokens(
            owner, known.tokens + 1, min(known.taken_at, taken_at)
        )

    def take_back(
        self, organisation: OrganisationId, quota: Quota, count: int, taken_at: Seconds
    ) -> None:
        """Put tokens back into a bucket that this instance owns."""
        bucket = self.owned_buckets.get(organisation)
        if bucket is not None:
            granted = reached_quota(quota, self.reached_fraction())
            self.owned_buckets[organisation] = return_tokens(
                bucket, granted, count, taken_at, now_seconds()
            )

    def admit_waiting(self, organisation: OrganisationId) -> None:
        """Admit the waiting operations in one request; repeat for newer ones."""
        decisions: list[AsyncResult] = []
        try:
            while decisions := self.waiting.get(organisation, []):
                self.waiting[organisation] = []
                admissions = self.request_admissions(organisation, len(decisions))
                for decision, admission in zip(decisions, admissions, strict=True):
                    decision.set(admission)
        finally:
            for decision in decisions:
                if not decision.ready():
                    decision.set(Admission(False, PEER_FAILOVER_SECONDS))
            # Operations that arrived meanwhile wait for this task, also after an error.
            if self.waiting.get(organisation):
                gevent.spawn(self.admit_waiting, organisation)
            else:
                self.waiting.pop(organisation, None)

    def request_admissions(
        self, organisation: OrganisationId, count: int
    ) -> list[Admission]:
        """Return the rate owner's grants, or those of the fallback without an owner."""
        demand = self.demands.get(organisation)
        expected_operations = (
            int(demand.operations_per_second * SPARE_LIFETIME_SECONDS) if demand else 0
        )
        asked_at = now_seconds()
        owner, tokens = self.ask_rate_owner(
            TokenRequest(organisation, count, expected_operations)
        )
        if tokens.spare:
            until = asked_at + SPARE_LIFETIME_SECONDS
            self.prefetched[organisation] = PrefetchedTokens(tokens.spare, until)
        if tokens.wait_seconds > 0.0:
            gevent.sleep(tokens.wait_seconds)
        quota = self.view.declarations.quotas.get(organisation)
        # Tokens for the refused operations are expected one after the other.
        interval = 1.0 / quota.rate if quota is not None and quota.rate > 0.0 else 0.0
        admitted = min(max(tokens.granted, 0), count)
        refused = [
            Admission(
                False, tokens.retry_after_seconds + number * interval, tokens.may_wait
            )
            for number in range(count - admitted)
        ]
        granted = Admission(True, 0.0, owner=owner, taken_at=asked_at)
        return [granted] * admitted + refused

    def ask_rate_owner(
        self, request: TokenRequest
    ) -> tuple[InstanceId | None, TokenGrant]:
        """Ask the rate owner; ask once more if it was lost or may still be starting.

        The owner is None if none was reached and the tokens are a share of its excess.
        """
        attempts = 0
        while attempts < MAX_OWNERS_ASKED:
            rate_owner = self.handover.rate_owner(request.organisation)
            if rate_owner == self.view.own_instance:
                return rate_owner, self.answer_token_request(rate_owner, request)
            asked_at = now_seconds()
            returning = self.add_returned(request, rate_owner, asked_at)
            try:
                tokens = self.links.call(
                    rate_owner,
                    returning,
                    TokenGrant,
                    PEER_FAILOVER_SECONDS,
                    may_repeat=True,
                )
            except PeerLost:
                if self.is_starting(rate_owner):
                    gevent.sleep(STARTING_OWNER_PAUSE_SECONDS)
                    continue
                if self.view.may_have_stalled_since(asked_at):
                    break
                self.view.mark_suspect(rate_owner)
                self.links.close_outbox(rate_owner)
                attempts += 1
            else:
                return rate_owner, tokens
        return None, self.take_fallback(request.organisation, request.requested)

    def add_returned(
        self, request: TokenRequest, owner: InstanceId, now: Seconds
    ) -> TokenRequest:
        """Add the tokens to return to a request; those of another owner are dropped."""
        found = self.returned.pop(request.organisation, None)
        if found is None or found.owner != owner:
            return request
        # The request may be this long on its way.
        age = now - found.taken_at + PEER_FAILOVER_SECONDS
        return request._replace(returned=found.tokens, returned_age_seconds=age)

    def take_fallback(self, organisation: OrganisationId, count: int) -> TokenGrant:
        """Take tokens from the share that an instance may spend without the owner."""
        quota = self.view.declarations.quotas.get(organisation)
        if quota is None:
            return TokenGrant(count, 0, 0.0, 0.0)
        fallback_quota = isolated_quota(quota, len(self.view.members), self.tolerance)
        if fallback_quota.burst < 1.0:
            return TokenGrant(0, 0, 0.0, PEER_FAILOVER_SECONDS)
        now = now_seconds()
        bucket = self.fallback_buckets.get(organisation) or new_bucket(
            fallback_quota, now, None
        )
        outcome = grant_tokens(bucket, fallback_quota, count, now)
        self.fallback_buckets[organisation] = outcome.bucket
        return TokenGrant(
            outcome.granted, 0, outcome.wait_seconds, outcome.retry_after_seconds
        )

    def take_tokens(
        self, organisation: OrganisationId, quota: Quota, count: int
    ) -> TokenGrant:
        """Take tokens from a bucket that this instance owns."""
        now = now_seconds()
        reached = self.reached_fraction()
        bucket = self.owned_buckets.get(organisation)
        if bucket is None:
            tolerance = None if now < self.full_buckets_until else self.tolerance
            bucket = new_bucket(quota, now, tolerance, reached_fraction=reached)
            self.log.info(
                "A rate owner's bucket starts anew.",
                organisation=organisation,
                tokens=round(bucket.tokens, 1),
                owner=self.view.rate_owner(organisation),
            )
        outcome = grant_tokens(bucket, reached_quota(quota, reached), count, now)
        self.owned_buckets[organisation] = outcome.bucket
        return TokenGrant(
            outcome.granted,
            0,
            outcome.wait_seconds,
            outcome.retry_after_seconds,
            outcome.is_new,
        )

    def answer_token_request(
        self, sender: InstanceId, message: TokenRequest
    ) -> TokenGrant:
        """Grant tokens that another instance requests."""
        quota = self.view.declarations.quotas.get(message.organisation)
        if quota is None:
            return TokenGrant(message.requested, 0, 0.0, 0.0)
        forwarded = self.handover.forward_request(message)
        if forwarded is not None:
            return forwarded
        self.handover.take_over(message.organisation)
        if message.returned:
            taken_at = now_seconds() - message.returned_age_seconds
            self.take_back(message.organisation, quota, message.returned, taken_at)
        tokens = self.take_tokens(message.organisation, quota, message.requested)
        bucket = self.owned_buckets[message.organisation]
        extra = spare_tokens(bucket, quota, message.spare, len(self.view.members))
        if extra:
            remaining = take_spare_tokens(bucket, extra)
            self.owned_buckets[message.organisation] = remaining
        return tokens._replace(spare=extra)
