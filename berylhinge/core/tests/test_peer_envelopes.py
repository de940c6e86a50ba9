from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ..peer_envelopes import (
    ChannelState,
    compute_tag,
    DropReason,
    new_channel,
    open_message,
    PROBE_KEY_PURPOSE,
    replace_secrets,
    REPLAY_WINDOW_MESSAGES,
    seal_message,
    TAG_BYTES,
)

OLD = b"o" * 32
NEW = b"n" * 32


def instance(name: str, incarnation: int = 1, *secrets: bytes) -> ChannelState:
    return new_channel(name, incarnation, secrets or (OLD,))


def sealed(sender: ChannelState, recipient: str = "b", incarnation: int = 1) -> bytes:
    return seal_message(
        sender, b"hello", recipient=recipient, recipient_incarnation=incarnation
    )


def test_message_is_accepted_once() -> None:
    receiver = instance("b")
    data = sealed(instance("a"))
    envelope = open_message(receiver, data).unwrap()
    assert (envelope.sender, envelope.body) == ("a", b"hello")
    assert open_message(receiver, data).failure() is DropReason.REPLAYED


@pytest.mark.parametrize(
    "sender, verifier, accepted",
    [
        ((OLD,), (OLD,), True),
        ((OLD,), (OLD, NEW), True),
        ((OLD,), (NEW, OLD), True),
        ((NEW, OLD), (OLD, NEW), True),
        ((NEW, OLD), (NEW,), True),
        ((NEW,), (OLD,), False),
        ((NEW, OLD), (OLD,), False),
    ],
)
def test_secret_rotation(sender: Any, verifier: Any, accepted: bool) -> None:
    result = open_message(
        instance("b", 1, *verifier), sealed(instance("a", 1, *sender))
    )
    if accepted:
        assert result.unwrap().body == b"hello"
    else:
        assert result.failure() is DropReason.UNAUTHENTICATED


def test_message_of_other_channel_is_dropped() -> None:
    receiver = new_channel("b", 1, (OLD,), purpose=PROBE_KEY_PURPOSE)
    dropped = open_message(receiver, sealed(instance("a"))).failure()
    assert dropped is DropReason.UNAUTHENTICATED


def test_secret_rotation_keeps_replay_windows() -> None:
    receiver = instance("b")
    data = sealed(instance("a"))
    open_message(receiver, data).unwrap()
    receiver = replace_secrets(receiver, (NEW, OLD))
    assert open_message(receiver, data).failure() is DropReason.REPLAYED


@pytest.mark.parametrize("count", [0, 3])
def test_wrong_number_of_secrets_is_rejected(count: int) -> None:
    with pytest.raises(ValueError, match="secrets"):
        new_channel("a", 1, [OLD] * count)


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"", DropReason.UNAUTHENTICATED),
        (b"x" * TAG_BYTES, DropReason.UNAUTHENTICATED),
        (sealed(instance("a"))[:-1], DropReason.UNAUTHENTICATED),
        (sealed(instance("a")) + b"x", DropReason.UNAUTHENTICATED),
        (sealed(instance("a"), "c"), DropReason.WRONG_RECIPIENT),
        (sealed(instance("a"), "b", 2), DropReason.STALE_RECIPIENT),
        (sealed(instance("a"), "b", 0), DropReason.STALE_RECIPIENT),
    ],
)
def test_invalid_messages_are_dropped(data: bytes, reason: DropReason) -> None:
    assert open_message(instance("b"), data).failure() is reason


def test_signed_message_of_other_format_is_malformed() -> None:
    sender = instance("a")
    encoded = msgspec.msgpack.encode(["a", 1])
    data = compute_tag(sender.signing_keys[0], encoded) + encoded
    assert open_message(instance("b"), data).failure() is DropReason.MALFORMED


def test_newer_incarnation_replaces_older() -> None:
    receiver = instance("b")
    first = sealed(instance("a", 1))
    open_message(receiver, sealed(instance("a", 2))).unwrap()
    assert open_message(receiver, first).failure() is DropReason.STALE_SENDER
    open_message(receiver, sealed(instance("a", 3))).unwrap()


def test_reordering_within_replay_window() -> None:
    sender, receiver = instance("a"), instance("b")
    messages = [sealed(sender) for _ in range(REPLAY_WINDOW_MESSAGES + 1)]
    for data in reversed(messages[1:]):
        open_message(receiver, data).unwrap()
    assert open_message(receiver, messages[0]).failure() is DropReason.TOO_OLD
    for data in messages[1:]:
        assert open_message(receiver, data).failure() is DropReason.REPLAYED


def test_sequences_are_separate_by_recipient() -> None:
    sender = instance("a")
    for _ in range(REPLAY_WINDOW_MESSAGES * 2):
        sealed(sender, "c")
    assert open_message(instance("b"), sealed(sender)).unwrap().sequence == 1
