"""Run the platform stand-in: key-value service, leases, watches, instances."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import Any, NamedTuple, TYPE_CHECKING, TypedDict

from gevent.event import Event

from ..tasks.http_server import Address
from ..wire.platform import (
    GetRequest,
    InstanceList,
    InstanceRecord,
    LeaseAnswer,
    LeaseRequest,
    SwapRequest,
    VALUE_LIMIT_BYTES,
    WatchKeyRequest,
)
from .budget import CallBudget
from .faults import FaultsRequest, FaultState
from .instances import InstanceDirectory
from .serving import Endpoint, json_app, Listener, problem, Reply
from .store import Store

if TYPE_CHECKING:
    from collections.abc import Callable

    from .serving import Environ

LOOPBACK = Address("127.0.0.1", 0)
MAX_WATCH_SECONDS = 60.0
DEFAULT_LEASE_SECONDS = 10.0


class Empty(TypedDict):
    """Ask without parameters."""


class PlatformSettings(NamedTuple):
    """Set the platform; port 0 picks a free port."""

    address: Address = LOOPBACK
    faults: Address = LOOPBACK
    reads_per_second: float = 2_000.0
    writes_per_second: float = 400.0
    list_lag_seconds: float = 2.0
    announcement_seconds: float = 5.0


class PlatformAddresses(TypedDict):
    """Name the platform's listeners."""

    address: str
    faults: str


class Platform:
    """Own the listeners, the store and the list of instances."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Listen at once, empty."""
        self.settings = settings
        self.faults = FaultState(lag_seconds=settings.list_lag_seconds)
        self.store = Store()
        self.budget = CallBudget(
            reads_per_second=settings.reads_per_second,
            writes_per_second=settings.writes_per_second,
        )
        self.directory = InstanceDirectory(
            ttl_seconds=settings.announcement_seconds,
            lag_seconds=settings.list_lag_seconds,
        )
        self.changed = Event()
        self.listener = Listener(
            settings.address, json_app(self.endpoints(), self.faults)
        )
        self.fault_listener = Listener(
            settings.faults, json_app(self.fault_endpoints(), None)
        )

    @property
    def address(self) -> Address:
        """Return the service's address."""
        return self.listener.address

    @property
    def fault_address(self) -> Address:
        """Return the fault listener's address."""
        return self.fault_listener.address

    def addresses(self) -> PlatformAddresses:
        """Return the listeners."""
        return PlatformAddresses(
            address=str(self.address), faults=str(self.fault_address)
        )

    def endpoints(self) -> dict[str, Endpoint]:
        """Return the service's paths."""
        return {
            "/v1/get": Endpoint(GetRequest, self.get),
            "/v1/swap": Endpoint(SwapRequest, self.swap),
            "/v1/watch": Endpoint(WatchKeyRequest, self.watch),
            "/v1/lease/grant": Endpoint(LeaseRequest, self.grant),
            "/v1/lease/renew": Endpoint(LeaseRequest, self.renew),
            "/v1/lease/revoke": Endpoint(LeaseRequest, self.revoke),
            "/v1/instances/announce": Endpoint(InstanceRecord, self.announce),
            "/v1/instances/list": Endpoint(Empty, self.list_instances),
            "/v1/calls": Endpoint(Empty, self.calls),
        }

    def fault_endpoints(self) -> dict[str, Endpoint]:
        """Return the fault listener's paths."""
        return {
            "/v1/faults": Endpoint(FaultsRequest, self.change_faults),
            "/v1/calls": Endpoint(Empty, self.calls),
        }

    def get(self, request: GetRequest, environ: Environ) -> Reply:
        """Read one key."""
        if not self.budget.admit_read(time.monotonic()):
            return over_budget()
        self.expire()
        return self.answer_read(self.store.get(request["key"]))

    def swap(self, request: SwapRequest, environ: Environ) -> Reply:
        """Compare and swap one key."""
        now = time.monotonic()
        if not self.budget.admit_write(now):
            return over_budget()
        if len((request["value"] or "").encode()) > VALUE_LIMIT_BYTES:
            return problem(
                "value-too-large",
                f"send at most {VALUE_LIMIT_BYTES} bytes",
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        self.expire()
        answer = self.store.swap(request, now)
        if answer["swapped"]:
            self.wake()
        return self.answer_write(answer)

    def watch(self, request: WatchKeyRequest, environ: Environ) -> Reply:
        """Wait until the key has a newer revision, or the timeout."""
        if not self.budget.admit_read(time.monotonic(), watch=True):
            return over_budget()
        wait = min(request["timeout_seconds"], MAX_WATCH_SECONDS)
        end = time.monotonic() + wait
        self.budget.counts["waiting"] += 1
        try:
            while True:
                changed = self.changed
                self.expire()
                found = self.store.get(request["key"])
                left = end - time.monotonic()
                if found["revision"] > request["after_revision"] or left <= 0:
                    return self.answer_read(found)
                changed.wait(self.until_expiry(left))
        finally:
            self.budget.counts["waiting"] -= 1

    def grant(self, request: LeaseRequest, environ: Environ) -> Reply:
        """Grant a lease."""
        now = time.monotonic()
        if not self.budget.admit_write(now):
            return over_budget()
        ttl = request.get("ttl_seconds", DEFAULT_LEASE_SECONDS)
        lease = self.store.grant(ttl, now)
        return self.answer_write(LeaseAnswer(lease=lease, held=True))

    def renew(self, request: LeaseRequest, environ: Environ) -> Reply:
        """Extend a lease."""
        return self.change_lease(request, self.store.renew, held_after=True)

    def revoke(self, request: LeaseRequest, environ: Environ) -> Reply:
        """End a lease."""
        return self.change_lease(request, self.store.revoke, held_after=False)

    def change_lease(
        self,
        request: LeaseRequest,
        change: Callable[[str, float], bool],
        *,
        held_after: bool,
    ) -> Reply:
        """Renew or revoke a lease and wake the watchers of its keys."""
        now = time.monotonic()
        if not self.budget.admit_write(now):
            return over_budget()
        self.expire()
        lease = request.get("lease", "")
        done = change(lease, now)
        self.wake()
        return self.answer_write(LeaseAnswer(lease=lease, held=done and held_after))

    def announce(self, request: InstanceRecord, environ: Environ) -> Reply:
        """Take an instance's record."""
        now = time.monotonic()
        if not self.budget.admit_write(now):
            return over_budget()
        self.directory.announce(request, now)
        return self.answer_write(Empty())

    def list_instances(self, request: Empty, environ: Environ) -> Reply:
        """List the instances as they were some seconds ago."""
        now = time.monotonic()
        if not self.budget.admit_read(now):
            return over_budget()
        return self.answer_read(InstanceList(instances=self.directory.list(now)))

    def calls(self, request: Empty, environ: Environ) -> Reply:
        """Report the counters."""
        return Reply(self.budget.counts)

    def change_faults(self, request: FaultsRequest, environ: Environ) -> Reply:
        """Change the faults that the body names and report all."""
        if environ["REQUEST_METHOD"] == "POST":
            self.update_faults(request)
        return Reply(self.faults.report())

    def update_faults(self, request: FaultsRequest) -> None:
        """Change faults, going down or coming up where asked."""
        self.faults.update(request)
        self.directory.lag_seconds = self.faults.lag_seconds
        if self.faults.down:
            self.listener.close()
        else:
            self.listener.open()

    def answer_read(self, body: object) -> Reply:
        """Answer a read, unless its answer is to be lost."""
        return Reply(body, drop=self.faults.take("drop_read_answers"))

    def answer_write(self, body: object) -> Reply:
        """Answer a write, unless its answer is to be lost."""
        return Reply(body, drop=self.faults.take("drop_answers"))

    def expire(self) -> None:
        """End lapsed leases and wake the watchers of their keys."""
        if self.store.expire(time.monotonic()):
            self.wake()

    def until_expiry(self, limit: float) -> float:
        """Return how long a watch may wait before a lease may lapse."""
        expiry = self.store.next_expiry()
        if expiry is None:
            return limit
        return max(0.0, min(limit, expiry - time.monotonic()))

    def wake(self) -> None:
        """Wake every watcher."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def stop(self) -> None:
        """End for good, dropping every connection."""
        self.listener.close()
        self.fault_listener.close()

    kill = stop


def over_budget() -> Reply:
    """Refuse a call over the budget."""
    return problem("over-budget", "call less often", HTTPStatus.TOO_MANY_REQUESTS)


def start_platform(**options: Any) -> Platform:
    """Start a platform; the options are those of PlatformSettings."""
    return Platform(PlatformSettings(**options))
