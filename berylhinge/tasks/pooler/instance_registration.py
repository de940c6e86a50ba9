"""Keep this instance registered in the store."""

from __future__ import annotations

import secrets
from math import isfinite
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event
from returns.result import Failure

from ...platform.metadata_store import Conflict, LeaseGone
from ..clock import now_seconds
from .members import Member
from .registrations import Registration
from .store_state import INSTANCES_PREFIX, SECRET_KEY

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ...platform.metadata_store import Lease, MetadataStore
    from ..logs import Log
    from .settings import PoolerSettings
    from .store_state import StoreStateApplier

SECRET_BYTES = 32
# The lease outlives short outages of the store; peers detect a dead instance by
# themselves.
LEASE_SECONDS = 10.0
LEASE_RENEWAL_SECONDS = 3.0
# After a restore of the store the instances register again at this rate. Peers drop an
# instance whose entry is missing for longer than the maximum.
REGISTRATIONS_PER_SECOND = 200.0
MAX_SPREAD_SECONDS = 1.5


class InstanceRegistration:
    """Own this instance's registration and its lease."""

    def __init__(
        self,
        settings: PoolerSettings,
        store: MetadataStore,
        applier: StoreStateApplier,
        *,
        log: Log,
        record_call: Callable[[Any], None],
        on_change: Callable[[], None],
        rng: Random,
    ) -> None:
        """Prepare without a call to the store."""
        self.settings = settings
        self.store = store
        self.applier = applier
        self.view = applier.view
        self.log = log
        self.record_call = record_call
        self.on_change = on_change
        self.rng = rng
        self.renewal_requested = Event()
        self.own_key = INSTANCES_PREFIX + settings.instance
        self.lease: Lease | None = None
        self.is_leaving = False
        self.written_at = 0

    def register(self, *, leaving: bool = False) -> bool:
        """Write the registration; return whether it is certainly stored."""
        self.is_leaving = leaving
        if self.lease is None:
            opened = self.store.open_lease(LEASE_SECONDS)
            self.record_call(opened)
            if isinstance(opened, Failure):
                return False
            self.lease = opened.unwrap()
        value = msgspec.json.encode(
            Registration(
                str(self.settings.peers),
                self.settings.place,
                leaving,
                self.applier.incarnation,
                self.lease.era,
                self.view.weight,
            )
        )
        # The first instance of all creates the secret together with its registration, and
        # the first one after a restore that lost it writes it again.
        writes_secret = not self.applier.is_secret_stored
        secret = next(iter(self.applier.secrets), secrets.token_bytes(SECRET_BYTES))
        result = self.store.put_if_unchanged(
            conditions={SECRET_KEY: 0} if writes_secret else {},
            # The revision of the change is that of its last key.
            puts={
                **({SECRET_KEY: secret} if writes_secret else {}),
                self.own_key: value,
            },
            lease=self.lease,
            unleased={SECRET_KEY},
        )
        self.record_call(result)
        if isinstance(result, Failure):
            return False
        outcome = result.unwrap()
        if isinstance(outcome, Conflict):
            for item in outcome.items:
                self.applier.apply_item(item)
            return False
        if isinstance(outcome, LeaseGone):
            self.lease = None
            return False
        if writes_secret:
            self.applier.record_secret(secret)
        # Links identify a process by the revision of its first registration; a later
        # registration must not make peers restart their message sequences.
        self.applier.incarnation = self.applier.incarnation or outcome
        self.written_at = max(self.written_at, outcome)
        if not isfinite(self.view.registered_at):
            self.view.registered_at = now_seconds()
        self.check_own_entry()
        self.on_change()
        return True

    def is_replaced(self) -> bool:
        """Return whether another write has replaced the registration in the store.

        A write without an answer may be carried out seconds later. Of a process's first
        registration it names another incarnation, to which peers would send.
        """
        entry = self.applier.own_entry
        if entry is None or entry.written_at <= self.written_at:
            return False
        return entry.member != Member(
            self.settings.instance,
            self.settings.place,
            str(self.settings.peers),
            self.applier.incarnation,
            self.is_leaving,
            self.view.weight,
        )

    def check_own_entry(self) -> None:
        """Register again soon if the registration was replaced."""
        if self.applier.incarnation and self.is_replaced():
            self.renewal_requested.set()

    def renew_forever(self) -> None:
        """Renew the lease until the stop; register again what was lost or replaced."""
        while self.view.stop is None:
            if self.renewal_requested.wait(LEASE_RENEWAL_SECONDS):
                self.renewal_requested.clear()
                members = len(self.view.members)
                spread = min(members / REGISTRATIONS_PER_SECOND, MAX_SPREAD_SECONDS)
                gevent.sleep(self.rng.uniform(0.0, spread))
            if self.lease is not None:
                renewed = self.store.renew_lease(self.lease)
                self.record_call(renewed)
                if isinstance(renewed, Failure):
                    continue
                is_open = renewed.unwrap()
                if is_open and self.own_key not in self.applier.missing_since:
                    if not self.is_replaced():
                        continue
                else:
                    self.lease = None
            found = self.applier.own_entry
            if self.view.stop is None and self.register():
                self.log.info(
                    "Registered again.",
                    incarnation=self.applier.incarnation,
                    found_incarnation=found.member.incarnation if found else None,
                )

    def renew_soon(self) -> None:
        """Register again, with the other instances, after a restore lost it."""
        # A promoter may not know of this instance until it is registered.
        self.view.registered_at = float("inf")
        self.renewal_requested.set()

    def announce_leaving(self) -> None:
        """Register as leaving, so that this instance gets no new databases."""
        self.register(leaving=True)
