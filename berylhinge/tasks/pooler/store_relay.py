"""Relay the store's changes between instances."""

from __future__ import annotations

import zlib
from functools import partial
from typing import NamedTuple, TYPE_CHECKING

import msgspec

from ...core.pooler.store_feed import (
    ChangeHistory,
    changes_after,
    choose_relay,
    MAX_RELAY_AGE_SECONDS,
    own_call_interval,
    PASSED_OVER_SECONDS,
    RelayCandidate,
    whole_state,
)
from ...platform.store_replies import StoredItem
from ...wire.pooling import RelayedChange, StoreChangesRequest, StoreChangesResponse
from ..clock import now_seconds
from ..peer_frames import PeerLost

if TYPE_CHECKING:
    from random import Random

    from ...types import InstanceId, Seconds
    from ..logs import Log
    from ..peer_links import Links
    from .fleet_view import FleetView

# A request without changes is answered after this time, which renews the confirmation.
HOLD_SECONDS = 0.6
# How much longer than that an answer may take before the relay counts as lost.
ANSWER_MARGIN_SECONDS = 0.5
# Larger answers are compressed: one relay sends a configuration to many instances.
COMPRESSED_FROM_BYTES = 1_000
COMPRESSION_LEVEL = 3


class RelayedSnapshot(NamedTuple):
    """Hold changes from a relay, and since when they have been complete.

    ``items`` are the whole state if ``is_whole``.
    """

    items: tuple[StoredItem, ...]
    revision: int
    confirmed_at: Seconds
    is_whole: bool


class StoreRelay:
    """Answer peers with the store's changes, and ask a relay for them."""

    def __init__(
        self,
        view: FleetView,
        links: Links,
        history: ChangeHistory,
        *,
        log: Log,
        rng: Random,
    ) -> None:
        """Register the answer to requests for changes."""
        self.view = view
        self.links = links
        self.history = history
        self.log = log
        self.rng = rng
        self.passed_over_until: dict[InstanceId, Seconds] = {}
        self.next_own_call_at: Seconds = 0.0
        self.current: InstanceId | None = None
        self.encoded: tuple[tuple[int, int, int], bytes, bool] | None = None
        self.decoder = msgspec.msgpack.Decoder(list[RelayedChange])
        links.register_call(StoreChangesRequest, self.answer_changes)
        links.register(StoreChangesResponse)

    def choose_relay(self) -> InstanceId | None:
        """Return whom to ask for changes, or None to call the store."""
        now = now_seconds()
        relays = self.view.relays()
        candidates = [
            RelayCandidate(name, self.passed_over_until.get(name, 0.0))
            for name in relays
        ]
        found = choose_relay(
            self.view.own_instance,
            candidates,
            now=now,
            next_own_call_at=self.next_own_call_at,
        )
        if found is None and candidates[0].instance != self.view.own_instance:
            interval = own_call_interval(len(self.view.members))
            self.next_own_call_at = now + interval * self.rng.uniform(0.5, 1.5)
        if found != self.current:
            self.log.info("The store is followed.", relay=found, relays=len(relays))
        self.current = found
        return found

    def pass_over(self, relay: InstanceId | None) -> None:
        """Prefer other relays for a while."""
        if relay is not None:
            self.passed_over_until[relay] = now_seconds() + PASSED_OVER_SECONDS

    def ask(self, relay: InstanceId) -> RelayedSnapshot | None:
        """Return a relay's changes, or None if it has none that can be used."""
        asked_at = now_seconds()
        try:
            answer = self.links.call(
                relay,
                StoreChangesRequest(self.view.revision),
                StoreChangesResponse,
                HOLD_SECONDS + ANSWER_MARGIN_SECONDS,
                partial(self.view.is_suspect, relay),
                may_repeat=True,
            )
        except PeerLost:
            self.pass_over(relay)
            return None
        confirmed_at = asked_at - answer.confirmed_age
        if now_seconds() - confirmed_at > MAX_RELAY_AGE_SECONDS:
            self.pass_over(relay)
        if answer.changes is None:
            self.pass_over(relay)
            return None
        items = self.decode_changes(answer)
        if items is None:
            self.pass_over(relay)
            return None
        return RelayedSnapshot(items, answer.revision, confirmed_at, answer.is_whole)

    def decode_changes(
        self, answer: StoreChangesResponse
    ) -> tuple[StoredItem, ...] | None:
        """Return the changes of an answer; None if they are malformed."""
        data = answer.changes or b""
        if not data:
            return ()
        try:
            if answer.is_compressed:
                data = zlib.decompress(data)
            return tuple(
                StoredItem(change.key, change.value, change.revision)
                for change in self.decoder.decode(data)
            )
        except (zlib.error, msgspec.MsgspecError) as error:
            self.log.info("Relayed changes were malformed.", error=str(error))
            return None

    def answer_changes(
        self, sender: InstanceId, message: StoreChangesRequest
    ) -> StoreChangesResponse:
        """Answer a peer once there are changes or a newer confirmation."""
        arrived_at = now_seconds()
        hold_until = arrived_at + HOLD_SECONDS
        while self.view.revision <= message.after:
            remaining = hold_until - now_seconds()
            if remaining <= 0.0:
                break
            self.view.changed.wait(remaining)
        confirmed_age = arrived_at - self.view.confirmed_at
        revision = self.view.revision
        items = changes_after(self.history, message.after)
        is_whole = items is None and self.view.is_confirmed()
        if is_whole:
            items = whole_state(self.history)
        if items is None:
            return StoreChangesResponse(None, False, revision, confirmed_age)
        if not items:
            return StoreChangesResponse(b"", False, revision, confirmed_age)
        data, is_compressed = self.encode_changes(items)
        return StoreChangesResponse(
            data, is_compressed, revision, confirmed_age, is_whole
        )

    def encode_changes(self, items: tuple[StoredItem, ...]) -> tuple[bytes, bool]:
        """Encode changes, once for all peers that ask for the same ones."""
        span = (items[0].revision, items[-1].revision, len(items))
        if self.encoded is None or self.encoded[0] != span:
            data = msgspec.msgpack.encode(items)
            is_compressed = len(data) >= COMPRESSED_FROM_BYTES
            if is_compressed:
                data = zlib.compress(data, COMPRESSION_LEVEL)
            self.encoded = (span, data, is_compressed)
        return self.encoded[1], self.encoded[2]
