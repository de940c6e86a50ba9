"""Follow the store: declarations, databases and instances; register this one."""

from __future__ import annotations

from random import Random
from typing import Any, TYPE_CHECKING

import gevent
from returns.result import Failure

from ...core.pooler.store_eras import era_of
from ...core.pooler.store_feed import (
    ChangeHistory,
    own_call_interval,
    record_changes,
    restart_history,
)
from ...platform.metadata_store import HistoryLost, Snapshot
from ..clock import now_seconds
from .instance_registration import InstanceRegistration
from .store_state import INSTANCES_PREFIX, SETTLED_ERA_KEY, StoreStateApplier

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from ...platform.metadata_store import MetadataStore
    from ...platform.store_replies import StoredItem
    from ...types import InstanceId, Seconds
    from ..logs import Log
    from .fleet_view import FleetView
    from .settings import PoolerSettings
    from .store_relay import StoreRelay

# A key that is never written; reading it returns the store's revision at little cost.
REVISION_PROBE_KEY = "berylhinge/mark"
# How long one watch call waits for changes; the store accepts 30 s at most.
WATCH_WAIT_SECONDS = 25.0
# One instance confirms the declarations by a small read at the first interval, and the
# others ask it. An instance without a confirmation for the second, longer time reads by
# itself; the limit for withdrawn keys, ``revocation_ms``, allows several attempts.
CONFIRM_INTERVAL_SECONDS = 0.6
CONFIRM_FALLBACK_SECONDS = 2.0
CONFIRM_CHECK_SECONDS = 0.2
# A watch that has not delivered a change known to exist for this long has lost its
# connection.
WATCH_STUCK_SECONDS = 0.4
# Changes within this time are read by one watch call.
MIN_BATCH_SECONDS = 0.05
# Many registrations may arrive at once, and each wakes every watch on the store. They
# are batched long enough to keep the whole fleet under this many calls per second.
FLEET_WATCHES_PER_SECOND = 100.0
MAX_BATCH_SECONDS = 1.0
# An instance whose changes others relay stands for this part of a watch.
RELAYED_WATCH_FRACTION = 0.1
# While the store does not answer, the pause between attempts grows from the minimum to
# the maximum by this factor.
RETRY_MIN_PAUSE_SECONDS = 0.1
RETRY_MAX_PAUSE_SECONDS = 0.8
RETRY_GROWTH = 1.6
# At the first start of the whole fleet all instances read the store at moments spread
# over the first time, and first ask for changes when most have registered.
FIRST_READ_SPREAD_SECONDS = 1.0
FIRST_WATCH_DELAY_SECONDS = 1.5
# After a restart an instance watches the store itself for this long: relays may have
# restarted too, and cannot be asked until their new registrations are known.
RESTART_WATCH_SECONDS = 2.5
# Entries that expired during an outage are written again within 2 s of its end, so an
# entry is dropped only after a longer absence.
MISSING_ENTRY_SECONDS = 2.5
SWEEP_INTERVAL_SECONDS = 0.5
CALL_LOG_INTERVAL_SECONDS = 10.0


def batch_seconds(items: Sequence[StoredItem], watches: float) -> Seconds:
    """Return how long to wait for more changes after some arrived."""
    if any(not item.key.startswith(INSTANCES_PREFIX) for item in items):
        return MIN_BATCH_SECONDS
    fleet_batch = min(watches / FLEET_WATCHES_PER_SECOND, MAX_BATCH_SECONDS)
    return max(MIN_BATCH_SECONDS, fleet_batch)


class Registry:
    """Own the watch on the store, and what it delivers."""

    def __init__(
        self,
        settings: PoolerSettings,
        store: MetadataStore,
        view: FleetView,
        *,
        log: Log,
        on_change: Callable[[], None],
        call_counts: Callable[[], Mapping[tuple[str, ...], int]],
        rng: Random,
    ) -> None:
        """Prepare without a call to the store."""
        self.settings = settings
        self.store = store
        self.view = view
        self.log = log
        self.on_change = on_change
        self.call_counts = call_counts
        self.rng = rng
        self.applier = StoreStateApplier(view, log)
        self.registration = InstanceRegistration(
            settings,
            store,
            self.applier,
            log=log,
            record_call=self.record_store_call,
            on_change=on_change,
            rng=rng,
        )
        self.history = ChangeHistory()
        self.relay: StoreRelay | None = None
        self.relayed_from: Seconds = 0.0
        self.watcher: gevent.Greenlet | None = None
        self.loops: list[gevent.Greenlet] = []
        self.reachable = True
        self.batch_ends_at: Seconds = 0.0
        self.retry_seconds = RETRY_MIN_PAUSE_SECONDS

    def start(self) -> None:
        """Read the store and register; ``follow`` then confirms what was read."""
        if self.settings.first_start:
            gevent.sleep(self.rng.uniform(0.0, FIRST_READ_SPREAD_SECONDS))
        self.read_snapshot(allow_stale=True)
        while not self.registration.register():
            self.pause_before_retry()

    def follow(self) -> None:
        """Start to follow the store and to renew the registration."""
        if self.settings.first_start:
            self.batch_ends_at = now_seconds() + FIRST_WATCH_DELAY_SECONDS
        else:
            self.relayed_from = now_seconds() + RESTART_WATCH_SECONDS
        self.watcher = gevent.spawn(self.keep_running, self.follow_forever)
        loops = (
            self.confirm_forever,
            self.registration.renew_forever,
            self.drop_missing_forever,
            self.log_calls_forever,
        )
        self.loops = [gevent.spawn(self.keep_running, loop) for loop in loops]

    def keep_running(self, loop: Callable[[], None]) -> None:
        """Run a loop until it ends, and again after an unexpected error."""
        while True:
            try:
                return loop()
            except Exception as error:
                self.log.fault(loop.__name__, error)
                self.pause_before_retry()

    @property
    def running_loops(self) -> list[gevent.Greenlet]:
        """Return the running loops."""
        return [*self.loops, *([self.watcher] if self.watcher else [])]

    def pause_before_retry(self) -> None:
        """Wait before the next attempt, longer each time."""
        gevent.sleep(self.rng.uniform(0.5, 1.0) * self.retry_seconds)
        self.retry_seconds = min(
            RETRY_MAX_PAUSE_SECONDS, self.retry_seconds * RETRY_GROWTH
        )

    def record_store_call(self, result: Any) -> None:
        """Record the result of a store call; log when the store is lost or back."""
        failed = isinstance(result, Failure)
        if not failed:
            self.retry_seconds = RETRY_MIN_PAUSE_SECONDS
        if failed == self.reachable:
            self.reachable = not failed
            if failed:
                self.log.info("The store is lost.", error=result.failure().detail)
            else:
                self.log.info("The store is back.", revision=self.view.revision)

    def read_snapshot(self, *, allow_stale: bool = False) -> None:
        """Replace the known state by a full read, retried until it succeeds.

        A stale read confirms nothing; changes are followed from its newest item on.
        """
        while True:
            asked_at = now_seconds()
            result = self.store.read_all("", allow_stale=allow_stale)
            self.record_store_call(result)
            if not isinstance(result, Failure):
                confirmed_at = None if allow_stale else asked_at
                self.apply_snapshot(result.unwrap(), confirmed_at)
                return
            self.pause_before_retry()

    def apply_snapshot(
        self,
        snapshot: Snapshot,
        confirmed_at: Seconds | None,
        *,
        relay: InstanceId | None = None,
    ) -> None:
        """Replace the known state, which was the store's at a moment, None if unknown."""
        if era_of(snapshot.revision) > era_of(self.view.revision):
            self.enter_era(snapshot.revision)
        restart_history(self.history, snapshot.revision, snapshot.items)
        known_keys = self.applier.apply_snapshot(snapshot)
        self.log.info(
            "The store was read.",
            revision=snapshot.revision,
            relay=relay,
            stale=confirmed_at is None,
            items=len(snapshot.items),
            known_items=len(known_keys),
            known_revision=self.view.revision,
        )
        self.registration.check_own_entry()
        self.on_change()
        self.view.advance_revision(snapshot.revision)
        if confirmed_at is not None:
            self.view.confirm_revision(snapshot.revision, confirmed_at)

    def enter_era(self, revision: int) -> None:
        """Go on after a restore of the store, or at the first sight of it."""
        if era_of(self.view.revision):
            self.log.info(
                "The store was restored from a copy.",
                revision=revision,
                known_revision=self.view.revision,
            )
            self.registration.renew_soon()
        self.view.begin_era()
        if self.settings.first_start and not era_of(self.view.revision):
            # Nothing can have been lost.
            self.view.end_settling()

    def follow_forever(self) -> None:
        """Apply the store's changes until killed, from the store or from a relay."""
        gevent.sleep(max(0.0, self.batch_ends_at - now_seconds()))
        while True:
            # Who relays is known once the registrations are.
            may_ask = self.view.is_confirmed() and now_seconds() >= self.relayed_from
            relay = None
            if self.relay is not None and may_ask:
                relay = self.relay.choose_relay()
            if relay is None:
                self.watch_store()
            else:
                self.ask_relay(relay)

    def ask_relay(self, relay: InstanceId) -> None:
        """Ask a relay for changes once."""
        assert self.relay is not None
        found = self.relay.ask(relay)
        if found is None:
            gevent.sleep(MIN_BATCH_SECONDS)
            return
        if found.is_whole:
            snapshot = Snapshot(found.items, found.revision)
            self.apply_snapshot(snapshot, found.confirmed_at, relay=relay)
        else:
            self.apply_changes(found.items, found.revision, found.confirmed_at)

    def watch_store(self) -> None:
        """Wait for changes at the store once."""
        revision = self.view.revision
        asked_at = now_seconds()
        wait_seconds = WATCH_WAIT_SECONDS
        if asked_at < self.relayed_from:
            wait_seconds = max(MIN_BATCH_SECONDS, self.relayed_from - asked_at)
        result = self.store.watch("", after=revision, wait_seconds=wait_seconds)
        self.record_store_call(result)
        if isinstance(result, Failure):
            self.pause_before_retry()
            return
        changes = result.unwrap()
        if isinstance(changes, HistoryLost):
            self.log.info("The store's history is lost.", revision=revision)
            self.read_snapshot()
            return
        self.apply_changes(changes.items, changes.revision, asked_at)
        if changes.items:
            self.wait_for_batch(batch_seconds(changes.items, self.count_watches()))

    def count_watches(self) -> float:
        """Return how many instances probably watch the store now."""
        members = len(self.view.members)
        if now_seconds() < self.relayed_from:
            return members
        return max(len(self.view.relays()), members * RELAYED_WATCH_FRACTION)

    def apply_changes(
        self, items: tuple[StoredItem, ...], revision: int, confirmed_at: Seconds
    ) -> None:
        """Apply all changes up to a revision, which was the newest at a moment."""
        record_changes(self.history, items)
        known_items = [
            item for item in items if not self.applier.apply_if_possible(item)
        ]
        if known_items:
            self.log.info(
                "Changes were known already.",
                changes={item.key: item.revision for item in known_items},
                known_revision=self.view.revision,
            )
        self.view.advance_revision(revision)
        self.view.confirm_revision(revision, confirmed_at)
        if items:
            self.registration.check_own_entry()
            self.on_change()

    def wait_for_batch(self, seconds: Seconds) -> None:
        """Wait for more changes before the next watch."""
        self.batch_ends_at = now_seconds() + seconds
        gevent.sleep(seconds)

    def confirm_forever(self) -> None:
        """Confirm regularly that the known state is current; restart a stuck watch."""
        asked_at = now_seconds()
        while True:
            gevent.sleep(self.rng.uniform(0.5, 1.0) * CONFIRM_CHECK_SECONDS)
            now = now_seconds()
            missed = self.view.missed_revision()
            due_at = max(self.view.missed_since(), self.batch_ends_at)
            if missed is not None and now - due_at >= WATCH_STUCK_SECONDS:
                self.log.info(
                    "The watch is stuck; starting it anew.",
                    revision=self.view.revision,
                    newest=missed,
                )
                self.view.pending_confirmation = None
                if self.watcher is not None:
                    self.watcher.kill()
                if self.relay is not None:
                    self.relay.pass_over(self.relay.current)
                self.watcher = gevent.spawn(self.keep_running, self.follow_forever)
            self.record_settled_era()
            interval = CONFIRM_INTERVAL_SECONDS
            if self.view.confirming_instance() != self.settings.instance:
                interval = max(
                    CONFIRM_FALLBACK_SECONDS, own_call_interval(len(self.view.members))
                )
            # The watch after a batch confirms too.
            expected_at = max(self.view.confirmed_at, asked_at, self.batch_ends_at)
            if now - expected_at >= interval:
                asked_at = now
                self.read_newest_revision(now)

    def record_settled_era(self) -> None:
        """Record for instances that start later that an era of the store is settled."""
        era = era_of(self.view.revision)
        is_due = self.applier.settled_era < era and self.view.is_settled()
        if not is_due or self.view.confirming_instance() != self.settings.instance:
            return
        puts = {SETTLED_ERA_KEY: str(era).encode()}
        result = self.store.put_if_unchanged(conditions={}, puts=puts)
        self.record_store_call(result)
        outcome = None if isinstance(result, Failure) else result.unwrap()
        if isinstance(outcome, int) and era_of(outcome) == era:
            self.applier.settled_era = era
        else:
            self.pause_before_retry()

    def read_newest_revision(self, asked_at: Seconds) -> None:
        """Ask the store for its newest revision."""
        result = self.store.newest_revision(REVISION_PROBE_KEY)
        self.record_store_call(result)
        if not isinstance(result, Failure):
            self.view.confirm_revision(result.unwrap(), asked_at)

    def drop_missing_forever(self) -> None:
        """Remove databases and instances whose entries have been missing too long."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            horizon = now_seconds() - MISSING_ENTRY_SECONDS
            # An absence counts only while the store is being followed.
            if now_seconds() - self.view.confirmed_at > MISSING_ENTRY_SECONDS:
                continue
            due = [
                key
                for key, since in self.applier.missing_since.items()
                if since <= horizon
            ]
            for key in due:
                self.applier.remove_missing(key)
            if due:
                self.on_change()

    def log_calls_forever(self) -> None:
        """Log regularly how many calls were made to the platform."""
        while True:
            gevent.sleep(CALL_LOG_INTERVAL_SECONDS)
            counts = self.call_counts()
            calls = {" ".join(labels): count for labels, count in counts.items()}
            self.log.info("Calls to the platform so far.", calls=calls)
