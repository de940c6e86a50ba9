"""Spread the configuration to every instance, and never revert to an older version.

A few instances, chosen by rendezvous hashing, watch the store; the others are notified
of new versions by rumour mongering (Demers et al., 1987) and pull them from a peer.
"""

from __future__ import annotations

from functools import singledispatch
from random import Random
from typing import NamedTuple, TypeAlias

from ..types import InstanceId, KeyId, Seconds
from .configuration import Configuration
from .rendezvous import top_nodes

WATCHER_COUNT = 3
WATCHER_RANKING_KEY = "configuration"
STORE_WATCH_SECONDS = 30.0
ANNOUNCE_FANOUT = 4
PULL_RETRY_SECONDS = 0.5
STARTUP_PULL_PEERS = 3
STORE_POLL_SECONDS = 120.0
STORE_RETRY_MIN_SECONDS = 0.5
STORE_RETRY_MAX_SECONDS = 10.0
STORE_RETRIES_PER_SECOND = 200.0
STARTUP_READS_PER_SECOND = 500.0
MAX_REREAD_DELAY_SECONDS = 0.2
REANNOUNCE_SECONDS = 1.0
REANNOUNCE_LIMIT_SECONDS = 600.0


class Tick(NamedTuple):
    """Let time pass; send one every 50 to 250 ms."""


class PeersChanged(NamedTuple):
    """Deliver the other live instances."""

    peers: tuple[InstanceId, ...]


class VersionReceived(NamedTuple):
    """Deliver the version that a peer has, and keys withdrawn ahead of the store."""

    peer: InstanceId
    version: int
    withdrawals: tuple[KeyId, ...] = ()


class PullSucceeded(NamedTuple):
    """Deliver a peer's configuration, and keys withdrawn ahead of the store."""

    peer: InstanceId
    configuration: Configuration
    withdrawals: tuple[KeyId, ...] = ()


class PullFailed(NamedTuple):
    """Report that a pull from a peer failed."""

    peer: InstanceId


class ConfigurationRead(NamedTuple):
    """Deliver the store's configuration, read by a request sent at ``sent_at``."""

    configuration: Configuration
    sent_at: Seconds


class ConfigurationReadFailed(NamedTuple):
    """Report that a read of the store failed."""


class KeysWithdrawn(NamedTuple):
    """Request that keys be withdrawn at once, ahead of the store."""

    keys: tuple[KeyId, ...]


class PullConfiguration(NamedTuple):
    """Request a configuration newer than ``version`` from a peer."""

    peer: InstanceId
    version: int


class AnnounceVersion(NamedTuple):
    """Notify peers of the version, and of keys withdrawn ahead of the store."""

    peers: tuple[InstanceId, ...]
    version: int
    withdrawals: tuple[KeyId, ...]


class ReadConfiguration(NamedTuple):
    """Read the store; wait up to ``wait_seconds``, perhaps 0, for a newer version."""

    version: int
    wait_seconds: Seconds


class AdoptConfiguration(NamedTuple):
    """Put a configuration in force, with keys withdrawn ahead of the store."""

    configuration: Configuration
    withdrawals: frozenset[KeyId]


class AdoptionState(NamedTuple):
    """Represent the configuration of one instance and its pending reads and pulls.

    ``early_withdrawals`` are the keys withdrawn ahead of the store,
    ``stored_withdrawals`` those that the configuration in force lists as withdrawn.
    """

    me: InstanceId
    peers: tuple[InstanceId, ...] = ()
    is_watcher: bool = True
    configuration: Configuration | None = None
    early_withdrawals: frozenset[KeyId] = frozenset()
    stored_withdrawals: frozenset[KeyId] = frozenset()
    next_announcement_at: Seconds = 0.0
    announce_until: Seconds = 0.0
    newest_peer_version: int = 0
    newest_version_peer: InstanceId | None = None
    pull_timeout_at: Seconds = 0.0
    store_read_pending: bool = False
    next_store_read_at: Seconds = 0.0
    store_failures: int = 0
    store_confirmed_at: Seconds | None = None

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is in force."""
        return self.configuration is not None


AdoptionEvent: TypeAlias = (
    Tick
    | PeersChanged
    | VersionReceived
    | PullSucceeded
    | PullFailed
    | ConfigurationRead
    | ConfigurationReadFailed
    | KeysWithdrawn
)
AdoptionEffect: TypeAlias = (
    PullConfiguration | AnnounceVersion | ReadConfiguration | AdoptConfiguration
)
AdoptionStep: TypeAlias = tuple[AdoptionState, list[AdoptionEffect]]


@singledispatch
def step(
    event: AdoptionEvent, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Refuse an event of an unknown type."""
    raise TypeError(f"got {type(event).__name__}, expected an adoption event")


@step.register(Tick)
def on_tick(
    event: Tick, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Read the store when due, repeat announcements, and pull from a newer peer."""
    effects: list[AdoptionEffect] = []
    if not state.store_read_pending and now >= state.next_store_read_at:
        wait = STORE_WATCH_SECONDS if state.is_watcher and state.is_ready else 0.0
        effects.append(ReadConfiguration(state.version, wait))
        state = state._replace(store_read_pending=True)
    if (
        state.early_withdrawals
        and state.next_announcement_at <= now < state.announce_until
    ):
        effects.append(build_announcement(state, rng))
        state = state._replace(next_announcement_at=now + REANNOUNCE_SECONDS)
    state, pulls = pull_if_behind(state, now, rng)
    return state, [*effects, *pulls]


@step.register(PeersChanged)
def on_peers_changed(
    event: PeersChanged, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Record the live peers; a new watcher reads the store soon."""
    was_watching = state.is_watcher
    is_first = not state.peers and not state.is_ready
    watching = state.me in choose_watchers((*event.peers, state.me))
    state = state._replace(peers=event.peers, is_watcher=watching)
    if is_first:
        spread_seconds = len(event.peers) / STARTUP_READS_PER_SECOND
        state = state._replace(
            next_store_read_at=now + rng.uniform(0.0, spread_seconds)
        )
    elif state.is_watcher and not was_watching:
        read_at = now + rng.uniform(0.0, STORE_RETRY_MIN_SECONDS)
        state = state._replace(
            next_store_read_at=min(state.next_store_read_at, read_at)
        )
    return state, []


@step.register(VersionReceived)
def on_version_received(
    event: VersionReceived, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Record a peer with a newer version, and apply withdrawals at once."""
    if event.version > state.newest_peer_version:
        state = state._replace(
            newest_peer_version=event.version, newest_version_peer=event.peer
        )
    state, effects = add_withdrawals(state, frozenset(event.withdrawals), now, rng)
    state, pulls = pull_if_behind(state, now, rng)
    return state, [*effects, *pulls]


@step.register(PullSucceeded)
def on_pull_succeeded(
    event: PullSucceeded, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Adopt a peer's configuration if it is newer."""
    state = state._replace(pull_timeout_at=now)
    state, effects = adopt_configuration(state, event.configuration, rng)
    state, withdrawal_effects = add_withdrawals(
        state, frozenset(event.withdrawals), now, rng
    )
    return state, [*effects, *withdrawal_effects]


@step.register(PullFailed)
def on_pull_failed(
    event: PullFailed, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Turn to another peer for the next pull."""
    peer = (
        None if state.newest_version_peer == event.peer else state.newest_version_peer
    )
    return state._replace(newest_version_peer=peer, pull_timeout_at=now), []


@step.register(ConfigurationRead)
def on_configuration_read(
    event: ConfigurationRead, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Adopt the store's configuration if it is newer, and schedule the next read."""
    pause = rng.uniform(0.0, MAX_REREAD_DELAY_SECONDS)
    if not state.is_watcher:
        pause = STORE_POLL_SECONDS * rng.uniform(0.5, 1.5)
    state = state._replace(
        store_read_pending=False,
        next_store_read_at=now + pause,
        store_failures=0,
        store_confirmed_at=event.sent_at,
    )
    return adopt_configuration(state, event.configuration, rng)


@step.register(ConfigurationReadFailed)
def on_store_failed(
    event: ConfigurationReadFailed, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Schedule a retry after a random pause that grows with failures and fleet size."""
    max_pause = min(
        STORE_RETRY_MAX_SECONDS, STORE_RETRY_MIN_SECONDS * 2**state.store_failures
    )
    if not state.is_watcher:
        max_pause = max(max_pause, len(state.peers) / STORE_RETRIES_PER_SECOND)
    if state.is_ready and not state.is_watcher:
        max_pause = STORE_POLL_SECONDS
    state = state._replace(
        store_read_pending=False,
        next_store_read_at=now + rng.uniform(max_pause / 2, max_pause),
        store_failures=min(state.store_failures + 1, 16),
    )
    return state, []


@step.register(KeysWithdrawn)
def on_keys_withdrawn(
    event: KeysWithdrawn, state: AdoptionState, now: Seconds, rng: Random
) -> AdoptionStep:
    """Withdraw keys and notify peers."""
    return add_withdrawals(state, frozenset(event.keys), now, rng)


def choose_watchers(instances: tuple[InstanceId, ...]) -> list[InstanceId]:
    """Return the instances that watch the store."""
    return top_nodes(instances, WATCHER_RANKING_KEY, WATCHER_COUNT)


def is_newer(state: AdoptionState, configuration: Configuration) -> bool:
    """Tell whether a configuration may replace the one in force."""
    return configuration.version > state.version


def pull_if_behind(state: AdoptionState, now: Seconds, rng: Random) -> AdoptionStep:
    """Pull from a peer with a newer version; without any version, from any peers."""
    if now < state.pull_timeout_at or not state.peers:
        return state, []
    if state.newest_peer_version > state.version:
        is_live = (
            state.newest_version_peer in state.peers
            and state.newest_version_peer is not None
        )
        peer = state.newest_version_peer if is_live else None
        chosen = [peer] if peer else [rng.choice(state.peers)]
    elif not state.is_ready:
        count = min(STARTUP_PULL_PEERS, len(state.peers))
        chosen = rng.sample(state.peers, count)
    else:
        return state, []
    # After a pull without an answer in time, the next pull goes to another peer.
    state = state._replace(
        newest_version_peer=None, pull_timeout_at=now + PULL_RETRY_SECONDS
    )
    return state, [PullConfiguration(peer, state.version) for peer in chosen]


def adopt_configuration(
    state: AdoptionState, configuration: Configuration, rng: Random
) -> AdoptionStep:
    """Put a newer configuration in force and notify some peers."""
    if not is_newer(state, configuration):
        return state, []
    stored = frozenset(
        key["id"]
        for key in configuration.declaration.get("keys", ())
        if key["state"] == "withdrawn"
    )
    withdrawals = state.early_withdrawals - stored
    state = state._replace(
        configuration=configuration,
        stored_withdrawals=stored,
        early_withdrawals=withdrawals,
        newest_peer_version=max(state.newest_peer_version, configuration.version),
    )
    return state, [
        AdoptConfiguration(configuration, withdrawals),
        build_announcement(state, rng),
    ]


def add_withdrawals(
    state: AdoptionState, keys: frozenset[KeyId], now: Seconds, rng: Random
) -> AdoptionStep:
    """Withdraw keys ahead of the store, and notify peers if any key is new."""
    withdrawals = state.early_withdrawals | (keys - state.stored_withdrawals)
    if withdrawals == state.early_withdrawals:
        return state, []
    until = now + REANNOUNCE_LIMIT_SECONDS
    state = state._replace(early_withdrawals=withdrawals, announce_until=until)
    if state.configuration is None:
        return state, []
    return state, [
        AdoptConfiguration(state.configuration, withdrawals),
        build_announcement(state, rng),
    ]


def build_announcement(state: AdoptionState, rng: Random) -> AnnounceVersion:
    """Return an announcement of the version and withdrawals to a few random peers."""
    count = min(ANNOUNCE_FANOUT, len(state.peers))
    peers = tuple(rng.sample(state.peers, count))
    return AnnounceVersion(peers, state.version, tuple(sorted(state.early_withdrawals)))
