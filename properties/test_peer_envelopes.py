"""Random bytes, altered messages and replays are never accepted."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from berylhinge.core import peer_envelopes
from berylhinge.core.peer_envelopes import (
    new_channel,
    open_message,
    ReplayWindow,
    seal_message,
)

SECRET = b"s" * 32


def batch(seed: int, count: int) -> list[bytes]:
    sender = new_channel("a", 1, (SECRET,))
    rng = Random(seed)
    return [
        seal_message(sender, rng.randbytes(8), recipient="b", recipient_incarnation=1)
        for _ in range(count)
    ]


def accepted_twice(seed: int, count: int) -> int:
    """Deliver each message several times in any order; count second acceptances."""
    receiver = new_channel("b", 1, (SECRET,))
    rng = Random(seed)
    messages = [message for message in batch(seed, count) for _ in range(3)]
    rng.shuffle(messages)
    accepted = [one for one in messages if open_message(receiver, one).value_or(None)]
    return len(accepted) - len(set(accepted))


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_are_never_accepted(data: bytes) -> None:
    assert open_message(new_channel("b", 1, (SECRET,)), data).value_or(None) is None


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 500), st.integers(1, 255))
def test_altered_messages_are_never_accepted(place: int, bits: int) -> None:
    (message,) = batch(1, 1)
    altered = bytearray(message)
    altered[place % len(message)] ^= bits
    receiver = new_channel("b", 1, (SECRET,))
    assert open_message(receiver, bytes(altered)).value_or(None) is None


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.integers(0, 2**32), st.integers(1, 60))
def test_replays_are_never_accepted(seed: int, count: int) -> None:
    assert accepted_twice(seed, count) == 0


def test_the_property_catches_a_window_without_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def forgetful(window: ReplayWindow, sequence: int) -> ReplayWindow:
        return window._replace(highest_sequence=max(window.highest_sequence, sequence))

    monkeypatch.setattr(peer_envelopes, "advance_window", forgetful)
    assert accepted_twice(1, 10) > 0
