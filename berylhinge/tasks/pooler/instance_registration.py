"""Keep this instance registered in the store."""

from __future__ import annotations

import secrets
from math import isfinite
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from returns.result import Failure

from ...platform.metadata_store import Conflict, LeaseGone
from ..clock import now_seconds
from .store_state import INSTANCES_PREFIX, Registration, SECRET_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...platform.metadata_store import Lease, MetadataStore
    from ..logs import Log
    from .settings import PoolerSettings
    from .store_state import StoreStateApplier

SECRET_BYTES = 32
# The lease outlives short outages of the store; peers detect a dead instance by
# themselves.
LEASE_SECONDS = 10.0
LEASE_RENEWAL_SECONDS = 3.0


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
    ) -> None:
        """Prepare without a call to the store."""
        self.settings = settings
        self.store = store
        self.applier = applier
        self.view = applier.view
        self.log = log
        self.record_call = record_call
        self.on_change = on_change
        self.own_key = INSTANCES_PREFIX + settings.instance
        self.lease: Lease | None = None

    def register(self, *, leaving: bool = False) -> bool:
        """Write the registration; return whether it is certainly stored."""
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
            )
        )
        # The first instance of all creates the secret together with its registration.
        new_secret = secrets.token_bytes(SECRET_BYTES)
        creates_secret = self.applier.secret is None
        result = self.store.put_if_unchanged(
            conditions={SECRET_KEY: 0} if creates_secret else {},
            # The revision of the change is that of its last key.
            puts={
                **({SECRET_KEY: new_secret} if creates_secret else {}),
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
        if creates_secret:
            self.applier.secret = new_secret
        # Links identify a process by the revision of its first registration; a later
        # registration must not make peers restart their message sequences.
        self.applier.incarnation = self.applier.incarnation or outcome
        if not isfinite(self.view.registered_at):
            self.view.registered_at = now_seconds()
        self.on_change()
        return True

    def renew_forever(self) -> None:
        """Renew the lease until the stop; register again when it was lost."""
        while not self.view.stopping:
            gevent.sleep(LEASE_RENEWAL_SECONDS)
            if self.lease is not None:
                renewed = self.store.renew_lease(self.lease)
                self.record_call(renewed)
                if isinstance(renewed, Failure):
                    continue
                if renewed.unwrap() and self.own_key not in self.applier.missing_since:
                    continue
                self.lease = None
            if not self.view.stopping and self.register():
                self.log.info("Registered again.", incarnation=self.applier.incarnation)

    def announce_leaving(self) -> None:
        """Register as leaving, so that this instance gets no new databases."""
        self.register(leaving=True)
