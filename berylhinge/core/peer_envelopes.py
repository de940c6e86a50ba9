"""Authenticate messages between instances and drop replayed ones.

Each message names its sender and recipient with their incarnations and carries a
sequence number of that pair; the recipient keeps a sliding window of the sequence
numbers received (RFC 4303, section 3.4.3). A restarted recipient has a new
incarnation and therefore accepts no message that was sent to its previous one.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from ..types import InstanceId

if TYPE_CHECKING:
    from collections.abc import Sequence

TAG_BYTES = 16
REPLAY_WINDOW_MESSAGES = 1_024
LINK_KEY_PURPOSE = b"berylhinge peer link 1"
PROBE_KEY_PURPOSE = b"berylhinge peer probe 1"
SECRETS_LIMIT = 2


class DropReason(StrEnum):
    """Identify the reason why a message from another instance was dropped."""

    UNAUTHENTICATED = "unauthenticated"
    MALFORMED = "malformed"
    WRONG_RECIPIENT = "wrong-recipient"
    STALE_RECIPIENT = "stale-recipient"
    STALE_SENDER = "stale-sender"
    REPLAYED = "replayed"
    TOO_OLD = "too-old"


class Envelope(NamedTuple):
    """Carry one message between two instances, each named with its incarnation."""

    sender: InstanceId
    sender_incarnation: int
    recipient: InstanceId
    recipient_incarnation: int
    sequence: int
    body: bytes


class ReplayWindow(NamedTuple):
    """Represent the sequence numbers received from one incarnation of a sender.

    Bit n of ``received_bits`` tells whether ``highest_sequence - n`` was received.
    """

    incarnation: int
    highest_sequence: int
    received_bits: int


class ChannelState(NamedTuple):
    """Hold the state of one instance on one channel.

    The first of ``signing_keys`` signs, all of them verify. ``sequences`` gives the
    last sequence number sent to each recipient and incarnation, ``replay_windows`` the
    window of each sender.
    """

    own_instance: InstanceId
    incarnation: int
    signing_keys: tuple[bytes, ...]
    sequences: dict[tuple[InstanceId, int], int]
    replay_windows: dict[InstanceId, ReplayWindow]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Envelope)


def new_channel(
    me: InstanceId,
    incarnation: int,
    secrets: Sequence[bytes],
    *,
    purpose: bytes = LINK_KEY_PURPOSE,
) -> ChannelState:
    """Create the state of a channel; the first secret signs, all of them verify.

    Each purpose has keys of its own, so that a message of one channel is never
    accepted on another.
    """
    keys = derive_keys(secrets, purpose)
    return ChannelState(me, incarnation, keys, {}, {})


def replace_secrets(
    state: ChannelState, secrets: Sequence[bytes], *, purpose: bytes = LINK_KEY_PURPOSE
) -> ChannelState:
    """Replace the secrets; keep the sequence numbers and replay windows."""
    return state._replace(signing_keys=derive_keys(secrets, purpose))


def derive_keys(secrets: Sequence[bytes], purpose: bytes) -> tuple[bytes, ...]:
    """Derive the signing keys for one purpose from the shared secrets."""
    if not 1 <= len(secrets) <= SECRETS_LIMIT:
        raise ValueError(f"got {len(secrets)} secrets, expected 1 or {SECRETS_LIMIT}")
    return tuple(hmac.digest(secret, purpose, hashlib.sha256) for secret in secrets)


def seal_message(
    state: ChannelState,
    body: bytes,
    *,
    recipient: InstanceId,
    recipient_incarnation: int,
) -> bytes:
    """Encode and sign one message with keyed BLAKE2b-128 (RFC 7693, section 2.9)."""
    pair = (recipient, recipient_incarnation)
    sequence = state.sequences.get(pair, 0) + 1
    state.sequences[pair] = sequence
    envelope = Envelope(
        state.own_instance,
        state.incarnation,
        recipient,
        recipient_incarnation,
        sequence,
        body,
    )
    encoded = ENCODER.encode(envelope)
    return compute_tag(state.signing_keys[0], encoded) + encoded


def compute_tag(key: bytes, encoded: bytes) -> bytes:
    """Compute the 128-bit authentication tag of a message."""
    return hashlib.blake2b(encoded, key=key, digest_size=TAG_BYTES).digest()


def open_message(state: ChannelState, data: bytes) -> Result[Envelope, DropReason]:
    """Verify a message and record its sequence number, or return the drop reason."""
    encoded = data[TAG_BYTES:]
    if not is_signed(state.signing_keys, data[:TAG_BYTES], encoded):
        return Failure(DropReason.UNAUTHENTICATED)
    try:
        envelope = DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Failure(DropReason.MALFORMED)
    if envelope.recipient != state.own_instance:
        return Failure(DropReason.WRONG_RECIPIENT)
    if envelope.recipient_incarnation != state.incarnation:
        return Failure(DropReason.STALE_RECIPIENT)
    return accept_sequence(state, envelope)


def open_former_message(state: ChannelState, data: bytes) -> Envelope | None:
    """Return an authentic message to a former incarnation of this instance.

    Its sender does not know of the restart. It may be a replayed message, so its body
    must have no effect.
    """
    encoded = data[TAG_BYTES:]
    if not is_signed(state.signing_keys, data[:TAG_BYTES], encoded):
        return None
    try:
        envelope = DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    is_former = envelope.recipient_incarnation < state.incarnation
    return envelope if is_former and envelope.recipient == state.own_instance else None


def is_signed(keys: tuple[bytes, ...], tag: bytes, encoded: bytes) -> bool:
    """Tell whether the tag is valid for any key; each comparison is constant-time."""
    return any(hmac.compare_digest(tag, compute_tag(key, encoded)) for key in keys)


def accept_sequence(
    state: ChannelState, envelope: Envelope
) -> Result[Envelope, DropReason]:
    """Accept each sequence number of a sender's incarnation at most once."""
    window = state.replay_windows.get(envelope.sender)
    incarnation = envelope.sender_incarnation
    if window is None or incarnation > window.incarnation:
        window = ReplayWindow(incarnation, 0, 0)
    if incarnation < window.incarnation:
        return Failure(DropReason.STALE_SENDER)
    moved = advance_window(window, envelope.sequence)
    if isinstance(moved, DropReason):
        return Failure(moved)
    state.replay_windows[envelope.sender] = moved
    return Success(envelope)


def advance_window(window: ReplayWindow, sequence: int) -> ReplayWindow | DropReason:
    """Add a sequence number to the window, or return why it is not accepted."""
    if sequence > window.highest_sequence:
        shift = min(sequence - window.highest_sequence, REPLAY_WINDOW_MESSAGES)
        mask = (1 << REPLAY_WINDOW_MESSAGES) - 1
        return window._replace(
            highest_sequence=sequence,
            received_bits=(window.received_bits << shift | 1) & mask,
        )
    age = window.highest_sequence - sequence
    if age >= REPLAY_WINDOW_MESSAGES or sequence < 1:
        return DropReason.TOO_OLD
    if window.received_bits >> age & 1:
        return DropReason.REPLAYED
    return window._replace(received_bits=window.received_bits | 1 << age)
