"""Synchronise the configuration with store and peers, and prove it current."""

from __future__ import annotations

import random
import time
from typing import Any, TYPE_CHECKING

import gevent
from returns.result import Failure, Success

from ..core import configuration_sync
from ..core.configuration import CONFIGURATION_STORE_KEY, empty_configuration
from ..core.configuration_parts import (
    assemble_configuration,
    decode_head,
    encode_for_peer,
    find_missing_parts,
    part_store_key,
    split_configuration,
)
from ..core.configuration_sync import (
    AdoptConfiguration,
    AdoptionState,
    AnnounceVersion,
    PullConfiguration,
    ReadConfiguration,
)
from ..core.declaration_index import build_index
from ..core.key_freshness import (
    check_keys_proven,
    last_proof_time,
    new_key_proofs,
    record_attestation,
    record_store_read,
)
from ..wire.fleet import (
    ConfigurationPullRequest,
    ConfigurationPullResponse,
    VersionAnnouncement,
    VersionProofRequest,
    VersionProofResponse,
)
from .broadcast import Broadcast
from .loops import spawn_loop
from .peer_frames import PeerLost

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..core.configuration import Configuration
    from ..core.configuration_parts import SplitConfiguration
    from ..core.declaration_index import DeclarationIndex
    from ..types import InstanceId, KeyId
    from .logs import Log
    from .peer_links import Links
    from .platform_client import PlatformClient

TICK_SECONDS = 0.1
PROOF_INTERVAL_SECONDS = 0.8
PROOF_WAIT_SECONDS = 0.5
MAX_PROOF_AGE_SECONDS = 1.2
PROOF_EXPIRY_MARGIN_SECONDS = 1.2
PULL_TIMEOUT_SECONDS = 0.5
SOLE_INSTANCE_WATCH_SECONDS = 1.0


class ConfigurationTask:
    """Adopt configurations and keep the one in force proven to be current."""

    def __init__(
        self,
        own_instance: InstanceId,
        *,
        links: Links,
        platform: PlatformClient,
        list_attesters: Callable[[], Collection[InstanceId]],
        on_adopt: Callable[[Configuration, DeclarationIndex], None],
        log: Log,
    ) -> None:
        """Start without a configuration."""
        self.links = links
        self.platform = platform
        self.list_attesters = list_attesters
        self.on_adopt = on_adopt
        self.log = log
        self.state = AdoptionState(own_instance)
        self.freshness = new_key_proofs()
        self.adopted_split: SplitConfiguration | None = None
        self.last_decoded: SplitConfiguration | None = None
        self.index: DeclarationIndex | None = None
        self.store_revision = 0
        self.rng = random.Random(f"configuration/{own_instance}/{time.monotonic_ns()}")
        self.proof_received = Broadcast()
        self.store_proof_pending = False
        self.greenlets: list[gevent.Greenlet] = []
        links.register(VersionAnnouncement, self.on_version_announcement)
        links.register(VersionProofRequest, self.on_proof_request)
        links.register(VersionProofResponse, self.on_proof_response)
        links.register(ConfigurationPullResponse)
        links.register_call(ConfigurationPullRequest, self.on_pull_request)

    def start(self) -> None:
        """Tick and request proofs in the background."""
        self.greenlets = [
            spawn_loop(self.tick, lambda: TICK_SECONDS, self.log),
            spawn_loop(self.ask_if_running_out, self.proof_pause, self.log),
        ]

    def stop(self) -> None:
        """Stop the background greenlets."""
        gevent.killall(self.greenlets)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.state.version

    def is_fresh(self) -> bool:
        """Return whether the keys in force are proven to be current."""
        proof = check_keys_proven(
            self.freshness, self.version, self.list_attesters(), time.monotonic()
        )
        return isinstance(proof, Success)

    def await_freshness(self) -> bool:
        """Request proofs and wait briefly; return whether the keys are proven.

        Proofs may have expired during a pause of the process.
        """
        if self.is_fresh():
            return True
        self.request_proofs()
        self.start_store_proof()
        deadline = time.monotonic() + PROOF_WAIT_SECONDS
        while not self.is_fresh():
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.proof_received.wait(remaining):
                return self.is_fresh()
        return True

    def set_peers(self, peers: tuple[InstanceId, ...]) -> None:
        """Replace the live peers."""
        if peers != self.state.peers:
            self.step(configuration_sync.PeersChanged(peers))

    def record_peer_version(self, peer: InstanceId, version: int) -> None:
        """Record the version that a peer reports."""
        self.step(configuration_sync.VersionReceived(peer, version))

    def withdraw_keys(self, keys: tuple[KeyId, ...]) -> None:
        """Withdraw keys at once, ahead of the store."""
        self.step(configuration_sync.KeysWithdrawn(keys))

    def tick(self) -> None:
        """Process a tick."""
        self.step(configuration_sync.Tick())

    def proof_pause(self) -> float:
        """Return the time between two checks for proofs that expire soon."""
        return PROOF_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.0)

    def ask_if_running_out(self) -> None:
        """Request proofs if those from attestations are missing or expire soon."""
        proof = check_keys_proven(
            self.freshness, self.version, self.list_attesters(), time.monotonic()
        )
        if not isinstance(proof, Success) or (
            proof.unwrap() - time.monotonic() < PROOF_EXPIRY_MARGIN_SECONDS
        ):
            self.request_proofs()

    def version_state(self) -> tuple[int, tuple[KeyId, ...]]:
        """Return the version in force and the keys withdrawn ahead of the store."""
        return self.version, tuple(sorted(self.state.early_withdrawals))

    def request_proofs(self) -> None:
        """Ask the attesters for newer versions; read the store if proof is old."""
        request = VersionProofRequest(self.version, time.monotonic())
        for attester in self.list_attesters():
            self.links.send(attester, request)
        if self.unproven_seconds() > MAX_PROOF_AGE_SECONDS:
            self.start_store_proof()

    def unproven_seconds(self) -> float:
        """Return how long ago the version in force was last proven current."""
        newest = last_proof_time(self.freshness, self.version, self.list_attesters())
        return time.monotonic() - newest

    def start_store_proof(self) -> None:
        """Read the store, beside any watch, in case the attesters do not answer."""
        if not self.store_proof_pending:
            self.store_proof_pending = True
            gevent.spawn(self.run_store_proof)

    def run_store_proof(self) -> None:
        """Prove the version by the store, as of the time the read was sent."""
        sent_at = time.monotonic()
        try:
            configuration = self.fetch_configuration(0.0)
        finally:
            self.store_proof_pending = False
        if configuration is None:
            return
        self.freshness = record_store_read(
            self.freshness, configuration.version, sent_at
        )
        self.step(configuration_sync.PullSucceeded(self.state.me, configuration))
        self.proof_received.notify()

    def step(self, event: configuration_sync.AdoptionEvent) -> None:
        """Process an event in the core and run the effects that it returns."""
        self.state, effects = configuration_sync.step(
            event, self.state, time.monotonic(), self.rng
        )
        for effect in effects:
            self.run_effect(effect)

    def run_effect(self, effect: configuration_sync.AdoptionEffect) -> None:
        """Run one effect of the core."""
        match effect:
            case PullConfiguration(peer, version):
                gevent.spawn(self.pull_configuration, peer, version)
            case AnnounceVersion(peers, version, withdrawals):
                for peer in peers:
                    self.links.send(peer, VersionAnnouncement(version, withdrawals))
            case ReadConfiguration(_, wait_seconds):
                gevent.spawn(self.synchronise_with_store, wait_seconds)
            case AdoptConfiguration(configuration, withdrawals):
                self.adopt_configuration(configuration, withdrawals)

    def adopt_configuration(
        self, configuration: Configuration, withdrawals: frozenset[KeyId]
    ) -> None:
        """Put a configuration in force, with keys withdrawn ahead of the store."""
        index = build_index(configuration.declaration, previous=self.index)
        self.index = index
        for key in withdrawals & index.keys.keys():
            index.keys[key] = index.keys[key]._replace(withdrawn=True)
        if (
            self.adopted_split is None
            or self.adopted_split.configuration is not configuration
        ):
            decoded = self.last_decoded
            if decoded is None or decoded.configuration is not configuration:
                decoded = split_configuration(configuration)
            self.adopted_split = decoded
        self.log.info("A configuration is in force.", version=configuration.version)
        self.on_adopt(configuration, index)

    def known_parts(self) -> dict[str, bytes]:
        """Return the parts of the configuration in force."""
        return self.adopted_split.encoded_parts if self.adopted_split else {}

    def synchronise_with_store(self, wait_seconds: float) -> None:
        """Read or watch the store, fetching missing parts, and report to the core."""
        if wait_seconds and not self.list_attesters():
            wait_seconds = min(wait_seconds, SOLE_INSTANCE_WATCH_SECONDS)
        sent_at = time.monotonic()
        configuration = self.fetch_configuration(wait_seconds)
        if configuration is None:
            self.step(configuration_sync.ConfigurationReadFailed())
            return
        self.freshness = record_store_read(
            self.freshness, configuration.version, sent_at
        )
        self.proof_received.notify()
        self.step(configuration_sync.ConfigurationRead(configuration, sent_at))

    def fetch_configuration(self, wait_seconds: float) -> Configuration | None:
        """Return the stored configuration, none if it could not be read completely."""
        result = self.platform.watch(
            CONFIGURATION_STORE_KEY,
            after_revision=self.store_revision if wait_seconds else 0,
            timeout_seconds=wait_seconds,
        )
        if isinstance(result, Failure):
            return None
        stored = result.unwrap()
        if stored["value"] is None:
            return empty_configuration()
        configuration = self.decode_configuration(stored["value"], self.fetch_part)
        if configuration is not None:
            self.store_revision = stored["revision"]
        return configuration

    def decode_configuration(
        self, encoded_head: Any, fetch: Callable[[str], bytes | None]
    ) -> Configuration | None:
        """Assemble the configuration of an encoded head, fetching missing parts."""
        decoded = decode_head(encoded_head)
        if isinstance(decoded, Failure):
            self.log.info("A configuration was unreadable.")
            return None
        head = decoded.unwrap()
        parts = dict(self.known_parts())
        for digest in find_missing_parts(head, parts):
            part = fetch(digest)
            if part is None:
                return None
            parts[digest] = part
        assembled = assemble_configuration(head, parts, previous=self.adopted_split)
        if isinstance(assembled, Failure):
            self.log.info(
                "A configuration was refused.", errors=str(assembled.failure())
            )
            return None
        self.last_decoded = assembled.unwrap()
        return self.last_decoded.configuration

    def fetch_part(self, digest: str) -> bytes | None:
        """Read one part from the store."""
        result = self.platform.get(part_store_key(digest))
        if isinstance(result, Failure):
            return None
        value = result.unwrap()["value"]
        return None if value is None else value.encode()

    def pull_configuration(self, peer: InstanceId, version: int) -> None:
        """Pull a newer configuration from a peer."""
        request = ConfigurationPullRequest(version, tuple(self.known_parts()))
        try:
            answer = self.links.call(
                peer, request, ConfigurationPullResponse, PULL_TIMEOUT_SECONDS
            )
        except PeerLost:
            self.step(configuration_sync.PullFailed(peer))
            return
        configuration = (
            self.decode_configuration(answer.head, answer.parts.get)
            if answer.head
            else None
        )
        if configuration is None:
            self.step(configuration_sync.PullFailed(peer))
            return
        self.step(
            configuration_sync.PullSucceeded(peer, configuration, answer.withdrawals)
        )

    def on_pull_request(
        self, sender: InstanceId, message: ConfigurationPullRequest
    ) -> ConfigurationPullResponse:
        """Return the configuration in force if it is newer than the requester's."""
        withdrawals = tuple(sorted(self.state.early_withdrawals))
        if self.adopted_split is None or self.version <= message.version:
            return ConfigurationPullResponse(b"", {}, withdrawals)
        known = set(message.known_digests)
        parts = {
            digest: part
            for digest, part in self.adopted_split.encoded_parts.items()
            if digest not in known
        }
        return ConfigurationPullResponse(
            encode_for_peer(self.adopted_split), parts, withdrawals
        )

    def on_version_announcement(
        self, sender: InstanceId, message: VersionAnnouncement
    ) -> None:
        """Record a peer's version and withdrawals."""
        self.step(
            configuration_sync.VersionReceived(
                sender, message.version, message.withdrawals
            )
        )

    def on_proof_request(
        self, sender: InstanceId, message: VersionProofRequest
    ) -> None:
        """Answer with the version in force here; record the requester's if newer."""
        version, withdrawals = self.version_state()
        answer = VersionProofResponse(version, message.sent_at, withdrawals)
        self.links.send(sender, answer)
        if message.version > self.version:
            self.step(configuration_sync.VersionReceived(sender, message.version))

    def on_proof_response(
        self, sender: InstanceId, message: VersionProofResponse
    ) -> None:
        """Record an attester's answer."""
        self.record_proof(sender, message.version, message.withdrawals, message.sent_at)

    def record_proof(
        self,
        attester: InstanceId,
        version: int,
        withdrawals: tuple[KeyId, ...],
        sent_at: float,
    ) -> None:
        """Record an attester's answer, as of the time its request was sent."""
        self.freshness = record_attestation(self.freshness, attester, version, sent_at)
        self.proof_received.notify()
        if version > self.version or withdrawals:
            self.step(
                configuration_sync.VersionReceived(attester, version, withdrawals)
            )
