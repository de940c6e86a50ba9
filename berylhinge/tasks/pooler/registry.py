"""Follow the store: declarations, databases and instances; register this one."""

from __future__ import annotations

import secrets
from random import Random
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from returns.result import Failure

from ...platform.store import Conflict, HistoryLost, LeaseGone
from ..clock import now_seconds
from .intake import INSTANCES_PREFIX, Intake, Registration, SECRET_KEY

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ...platform.store import Item, Store
    from ...types import Seconds
    from ..logs import Log
    from .settings import PoolerSettings
    from .view import View

# A key that nobody writes; reading it tells the store's revision at little cost.
REVISION_PROBE_KEY = "berylhinge/mark"
SECRET_BYTES = 32
# A watch waits this long for changes; the store takes 30 s at most.
WATCH_WAIT_SECONDS = 25.0
# One instance confirms the declarations by a small read this often, and the others ask
# it. One that hears nothing reads by itself after the longer time; the bound for
# withdrawn keys leaves room for several tries.
CONFIRM_INTERVAL_SECONDS = 0.6
CONFIRM_FALLBACK_SECONDS = 1.5
CONFIRM_CHECK_SECONDS = 0.2
# A watch that does not deliver a change known to exist has lost its connection.
WATCH_STUCK_SECONDS = 0.4
# Changes that come together are read together.
BATCH_SECONDS = 0.05
# Registrations come in crowds and each wakes the watch of every instance. They are
# gathered for as long as keeps the whole fleet under this many calls a second.
FLEET_WATCHES_PER_SECOND = 100.0
CROWD_MAX_SECONDS = 1.0
# Pauses between tries grow to the second figure while the store does not answer.
RETRY_MIN_PAUSE_SECONDS = 0.1
RETRY_MAX_PAUSE_SECONDS = 0.8
RETRY_GROWTH = 1.6
# The lease outlives short outages of the store; peers notice a death by themselves.
LEASE_SECONDS = 5.0
LEASE_RENEWAL_SECONDS = 1.5
# Entries that lapsed during an outage return within two seconds of its end.
MISSING_ENTRY_SECONDS = 2.5
SWEEP_INTERVAL_SECONDS = 0.5


def batch_seconds(items: Sequence[Item], members: int) -> Seconds:
    """Return how long to let changes gather after some."""
    if any(not item.key.startswith(INSTANCES_PREFIX) for item in items):
        return BATCH_SECONDS
    crowd = min(members / FLEET_WATCHES_PER_SECOND, CROWD_MAX_SECONDS)
    return max(BATCH_SECONDS, crowd)


class Registry:
    """Own the watch and the registration."""

    def __init__(
        self,
        settings: PoolerSettings,
        store: Store,
        view: View,
        *,
        log: Log,
        on_change: Callable[[], None],
        rng: Random,
    ) -> None:
        """Prepare without calling."""
        self.settings = settings
        self.store = store
        self.view = view
        self.log = log
        self.on_change = on_change
        self.rng = rng
        self.lease = 0
        self.own_key = INSTANCES_PREFIX + settings.instance
        self.intake = Intake(view, log)
        self.watcher: gevent.Greenlet | None = None
        self.loops: list[gevent.Greenlet] = []
        self.reachable = True
        self.batch_ends_at: Seconds = 0.0
        self.retry_seconds = RETRY_MIN_PAUSE_SECONDS

    def start(self) -> None:
        """Read everything, register, and go on watching."""
        self.read_snapshot()
        while self.intake.secret is None:
            self.create_secret()
        while not self.register():
            self.pause()
        self.watcher = gevent.spawn(self.watch_forever)
        loops = (
            self.confirm_forever,
            self.renew_lease_forever,
            self.drop_missing_forever,
        )
        self.loops = [gevent.spawn(loop) for loop in loops]

    @property
    def jobs(self) -> list[gevent.Greenlet]:
        """Return the running loops."""
        return [*self.loops, *([self.watcher] if self.watcher else [])]

    def pause(self) -> None:
        """Wait before the next try."""
        gevent.sleep(self.rng.uniform(0.5, 1.0) * self.retry_seconds)
        self.retry_seconds = min(
            RETRY_MAX_PAUSE_SECONDS, self.retry_seconds * RETRY_GROWTH
        )

    def record_store_call(self, result: Any) -> None:
        """Log when the store is lost or regained."""
        failed = isinstance(result, Failure)
        if not failed:
            self.retry_seconds = RETRY_MIN_PAUSE_SECONDS
        if failed == self.reachable:
            self.reachable = not failed
            if failed:
                self.log.info("The store is lost.", error=result.failure().detail)
            else:
                self.log.info("The store is back.", revision=self.view.revision)

    def read_snapshot(self) -> None:
        """Replace all beliefs by a full read, however long that takes."""
        while True:
            asked_at = now_seconds()
            result = self.store.read_all("")
            self.record_store_call(result)
            if not isinstance(result, Failure):
                snapshot = result.unwrap()
                self.intake.take_snapshot(snapshot)
                self.on_change()
                self.view.advance(snapshot.revision)
                self.view.confirm(snapshot.revision, asked_at)
                return
            self.pause()

    def create_secret(self) -> None:
        """Create the secret that instances share, unless another was quicker."""
        value = secrets.token_bytes(SECRET_BYTES)
        result = self.store.change(conditions={SECRET_KEY: 0}, puts={SECRET_KEY: value})
        self.record_store_call(result)
        if not isinstance(result, Failure) and isinstance(result.unwrap(), int):
            self.intake.secret = value
            return
        # The answer may have been lost, or another instance won: read it back.
        self.pause()
        self.read_snapshot()

    def register(self, *, leaving: bool = False) -> bool:
        """Write this instance's registration; return whether that is certain."""
        if not self.lease:
            opened = self.store.open_lease(LEASE_SECONDS)
            self.record_store_call(opened)
            if isinstance(opened, Failure):
                return False
            self.lease = opened.unwrap()
        address = str(self.settings.peers)
        value = msgspec.json.encode(
            Registration(address, self.settings.place, leaving, self.intake.incarnation)
        )
        result = self.store.change(
            conditions={}, puts={self.own_key: value}, lease=self.lease
        )
        self.record_store_call(result)
        if isinstance(result, Failure):
            return False
        outcome = result.unwrap()
        if isinstance(outcome, LeaseGone | Conflict):
            self.lease = 0
            return False
        # Links know a process by its first registration; a later one must not make
        # peers start their sequences anew.
        self.intake.incarnation = self.intake.incarnation or outcome
        self.on_change()
        return True

    def watch_forever(self) -> None:
        """Follow changes until killed."""
        while True:
            revision = self.view.revision
            asked_at = now_seconds()
            result = self.store.watch(
                "", after=revision, wait_seconds=WATCH_WAIT_SECONDS
            )
            self.record_store_call(result)
            if isinstance(result, Failure):
                self.pause()
                continue
            found = result.unwrap()
            if isinstance(found, HistoryLost):
                self.log.info("The store's history is lost.", revision=revision)
                self.read_snapshot()
                continue
            for item in found.items:
                self.intake.take_item(item)
            self.view.advance(found.revision)
            self.view.confirm(found.revision, asked_at)
            if found.items:
                self.on_change()
                self.gather(batch_seconds(found.items, len(self.view.members)))

    def gather(self, seconds: Seconds) -> None:
        """Let changes come together before the next watch."""
        self.batch_ends_at = now_seconds() + seconds
        gevent.sleep(seconds)

    def confirm_forever(self) -> None:
        """Prove from time to time that what is known is current."""
        asked_at = float("-inf")
        while True:
            gevent.sleep(self.rng.uniform(0.5, 1.0) * CONFIRM_CHECK_SECONDS)
            now = now_seconds()
            ahead = self.view.ahead
            due = 0.0 if ahead is None else max(ahead.learned_at, self.batch_ends_at)
            if ahead is not None and now - due >= WATCH_STUCK_SECONDS:
                self.log.info(
                    "The watch is stuck; starting it anew.",
                    revision=self.view.revision,
                    newest=ahead.revision,
                )
                self.view.ahead = None
                if self.watcher is not None:
                    self.watcher.kill()
                self.watcher = gevent.spawn(self.watch_forever)
            confirms = self.view.confirmer() == self.settings.instance
            limit = CONFIRM_INTERVAL_SECONDS if confirms else CONFIRM_FALLBACK_SECONDS
            if now - max(self.view.confirmed_at, asked_at) >= limit:
                asked_at = now
                self.read_newest_revision(now)

    def read_newest_revision(self, asked_at: Seconds) -> None:
        """Ask the store for its newest revision."""
        result = self.store.newest_revision(REVISION_PROBE_KEY)
        self.record_store_call(result)
        if not isinstance(result, Failure):
            self.view.confirm(result.unwrap(), asked_at)

    def renew_lease_forever(self) -> None:
        """Renew the lease, and register anew when it was lost."""
        while not self.view.stopping:
            gevent.sleep(LEASE_RENEWAL_SECONDS)
            if self.lease:
                kept = self.store.keep_lease(self.lease)
                self.record_store_call(kept)
                if isinstance(kept, Failure):
                    continue
                if kept.unwrap() and self.own_key not in self.intake.gone:
                    continue
                self.lease = 0
            if not self.view.stopping and self.register():
                self.log.info("Registered again.", incarnation=self.intake.incarnation)

    def drop_missing_forever(self) -> None:
        """Drop what has been missing for too long."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            horizon = now_seconds() - MISSING_ENTRY_SECONDS
            # Absence counts only while this instance hears the store.
            if now_seconds() - self.view.confirmed_at > MISSING_ENTRY_SECONDS:
                continue
            due = [key for key, since in self.intake.gone.items() if since <= horizon]
            for key in due:
                self.intake.drop(key)
            if due:
                self.on_change()

    def leave(self) -> None:
        """Tell the others that this instance takes no new databases."""
        self.register(leaving=True)
