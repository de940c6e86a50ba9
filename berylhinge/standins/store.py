"""Decide swaps, leases and revisions of the platform's key-value service."""

from __future__ import annotations

from typing import NamedTuple

from ..wire.platform import StoredValue, SwapAnswer, SwapRequest

ABSENT = StoredValue(value=None, revision=0)


class Item(NamedTuple):
    """Hold one key's value, revision and the lease it goes with."""

    value: str | None
    revision: int
    lease: str | None = None


class Store:
    """Hold keys and leases; ``now`` is monotonic seconds.

    A revision grows by one with each change of its key and never restarts, so
    that a deleted key keeps its revision with no value.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, Item] = {}
        self.leases: dict[str, float] = {}
        self.lease_ttls: dict[str, float] = {}
        self.lease_count = 0

    def get(self, key: str) -> StoredValue:
        """Read one key."""
        item = self.items.get(key)
        if item is None:
            return ABSENT
        return StoredValue(value=item.value, revision=item.revision)

    def swap(self, request: SwapRequest, now: float) -> SwapAnswer:
        """Replace a value where the revision and the lease allow it."""
        self.expire(now)
        key = request["key"]
        revision = self.get(key)["revision"]
        lease = request.get("lease")
        lost = lease is not None and lease not in self.leases
        if lost or revision != request["expected_revision"]:
            return SwapAnswer(swapped=False, revision=revision)
        self.items[key] = Item(request["value"], revision + 1, lease)
        return SwapAnswer(swapped=True, revision=revision + 1)

    def grant(self, ttl_seconds: float, now: float) -> str:
        """Grant a lease."""
        self.lease_count += 1
        lease = f"lease-{self.lease_count}"
        self.leases[lease] = now + ttl_seconds
        self.lease_ttls[lease] = ttl_seconds
        return lease

    def renew(self, lease: str, now: float) -> bool:
        """Extend a lease by its own duration; return False once it lapsed."""
        self.expire(now)
        if lease not in self.leases:
            return False
        self.leases[lease] = now + self.lease_ttls[lease]
        return True

    def revoke(self, lease: str, now: float) -> bool:
        """End a lease and delete its keys; return False once it lapsed."""
        self.expire(now)
        if lease not in self.leases:
            return False
        self.end(lease)
        return True

    def next_expiry(self) -> float | None:
        """Return when the next lease lapses."""
        return min(self.leases.values(), default=None)

    def expire(self, now: float) -> list[str]:
        """End the leases that lapsed and return the keys deleted."""
        lapsed = [lease for lease, end in self.leases.items() if end <= now]
        return [key for lease in lapsed for key in self.end(lease)]

    def end(self, lease: str) -> list[str]:
        """Forget a lease and delete its keys."""
        del self.leases[lease]
        del self.lease_ttls[lease]
        held = [key for key, item in self.items.items() if item.lease == lease]
        for key in held:
            self.items[key] = Item(None, self.items[key].revision + 1)
        return held
