"""Model the other ways to divide a rate, in virtual time, for comparison."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from berylhinge.core.rendezvous import rank_nodes
from properties.fleet_world import STORE_SECONDS, World

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylhinge.core.buckets import RateLimit

LINK_SECONDS = 0.0015
LEASE_SECONDS = 3.0
RENEW_SECONDS = 1.0
DETECT_SECONDS = 1.5


class TokenBucket:
    """Admit by rate and burst from one place, full at first."""

    def __init__(self, rate: float, burst: float, *, tokens: float | None = None):
        self.rate = rate
        self.burst = burst
        self.tokens = burst if tokens is None else tokens
        self.updated_at = 0.0

    def admit(self, now: float) -> bool:
        """Spend one token."""
        gained = (now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class OfferedMeter:
    """Tell whether all that was offered so far keeps within rate and burst."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self.updated_at = 0.0

    def is_inside(self, now: float) -> bool:
        """Count one offered request, admitted or not."""
        drained = (now - self.updated_at) * self.rate
        self.level = max(0.0, self.level - drained) + 1.0
        self.updated_at = now
        return self.level <= self.burst


class Arrival(NamedTuple):
    """Describe one request as the balancer hands it to an instance."""

    moment: float
    instance: str
    organisation: str


class Scene:
    """Hold what all designs see: time, who is alive, and the store."""

    def __init__(self, rng: Random, terms: dict[str, RateLimit], size: int) -> None:
        self.rng = rng
        self.terms = terms
        self.names = [f"i{index}" for index in range(size)]
        self.killed_at: dict[str, float] = {}
        self.store_down = (float("inf"), float("inf"))

    def is_alive(self, name: str, now: float) -> bool:
        """Tell whether the instance runs."""
        return now < self.killed_at.get(name, float("inf"))

    def is_listed(self, name: str, now: float) -> bool:
        """Tell whether the lagging list still shows the instance."""
        return now < self.killed_at.get(name, float("inf")) + DETECT_SECONDS

    def is_store_up(self, now: float) -> bool:
        """Tell whether the store answers."""
        return not self.store_down[0] <= now < self.store_down[1]


class StaticShares:
    """Give each of the fleet's instances an equal share for good."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        count = len(scene.names)
        self.buckets = {
            (name, organisation): TokenBucket(terms.rate / count, terms.burst / count)
            for name in scene.names
            for organisation, terms in scene.terms.items()
        }

    def admit(self, arrival: Arrival) -> tuple[bool, float]:
        """Decide at the instance itself."""
        bucket = self.buckets[arrival.instance, arrival.organisation]
        return bucket.admit(arrival.moment), arrival.moment


class ListedShares(StaticShares):
    """Divide equally over the instances that the lagging list shows."""

    def admit(self, arrival: Arrival) -> tuple[bool, float]:
        """Take the share of the list as it looks now."""
        now = arrival.moment
        listed = sum(self.scene.is_listed(name, now) for name in self.scene.names)
        terms = self.scene.terms[arrival.organisation]
        bucket = self.buckets[arrival.instance, arrival.organisation]
        bucket.rate = terms.rate / listed
        bucket.burst = terms.burst / listed
        return bucket.admit(now), now


class LeasedGranter:
    """Ask one granting instance an organisation, which holds a lease in the store."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.granter: dict[str, str | None] = {}
        self.lease_until: dict[str, float] = {}
        self.renewed_at: dict[str, float] = {}
        self.buckets: dict[str, TokenBucket] = {}

    def admit(self, arrival: Arrival) -> tuple[bool, float]:
        """Decide at the granter, one link away, while its lease lasts."""
        organisation = arrival.organisation
        now = arrival.moment + LINK_SECONDS
        self.renew(organisation, now)
        granter = self.granter.get(organisation)
        if granter is None or not self.scene.is_alive(granter, now):
            return False, now
        if now >= self.lease_until[organisation]:
            return False, now
        return self.buckets[organisation].admit(now), now

    def renew(self, organisation: str, now: float) -> None:
        """Renew the lease, or pass it on once it lapsed; the next starts empty."""
        granter = self.granter.get(organisation)
        until = self.lease_until.get(organisation, 0.0)
        if granter is not None and now < until:
            started = self.renewed_at[organisation] + RENEW_SECONDS
            while started <= now:
                if self.can_renew(granter, started):
                    self.lease_until[organisation] = started + LEASE_SECONDS
                self.renewed_at[organisation] = started
                started += RENEW_SECONDS
            return
        # What the old granter spent is unknown, so the new one starts empty.
        if not self.scene.is_store_up(now):
            return
        names = [name for name in self.scene.names if self.scene.is_alive(name, now)]
        terms = self.scene.terms[organisation]
        first = granter is None
        self.granter[organisation] = rank_nodes(names, organisation)[0]
        self.lease_until[organisation] = now + LEASE_SECONDS
        self.renewed_at[organisation] = now
        tokens = terms.burst if first else 0.0
        bucket = TokenBucket(terms.rate, terms.burst, tokens=tokens)
        bucket.updated_at = now + STORE_SECONDS
        self.buckets[organisation] = bucket

    def can_renew(self, granter: str, now: float) -> bool:
        """Tell whether a renewal sent now succeeds."""
        return self.scene.is_alive(granter, now) and self.scene.is_store_up(now)


class Escrow:
    """Run the capacity cores of every instance."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.world = World(scene.rng, scene.terms, size=len(scene.names))

    def warm_up(self, seconds: float) -> None:
        """Let the fleet form and its buckets fill before the first arrival."""
        self.world.run(seconds)

    def offer(self, arrival: Arrival, done: Callable[[bool, float], None]) -> None:
        """Run the world up to the arrival, then ask the instance itself."""
        self.world.run(arrival.moment)
        for name, moment in self.scene.killed_at.items():
            if moment <= arrival.moment:
                self.world.kill(name)
        self.world.store_up = self.scene.is_store_up(arrival.moment)
        self.world.request(
            arrival.instance,
            arrival.organisation,
            done=lambda admitted: done(admitted, self.world.now),
        )
