"""Define the frame around each peer message, and how a kind of message is handled."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec


class Frame(NamedTuple):
    """Wrap one message with its kind and what is needed to answer it.

    The two numbers are that of the call which expects an answer and that of the call
    which this message answers, each 0 for none. The sender gives the address of its
    inbox until the recipient has sent a message there, afterwards an empty text.
    ``sent_ms`` is the send time in milliseconds by the sender's clock.
    """

    kind: str
    call_id: int
    reply_to: int
    sender_address: str
    sent_ms: int
    body: msgspec.Raw


class RestartNotice(NamedTuple):
    """Tell a sender that its message went to the recipient's former incarnation.

    The dropped message with this call number will not be answered; what has no effect
    if it ran twice may be repeated to the new incarnation.
    """

    call_id: int


class Handler(NamedTuple):
    """Describe how messages of a kind are handled.

    The first flag makes the function run in a greenlet of its own, and its result is
    the answer; the second passes it also the message's delay (seconds) beyond that of
    the sender's quickest recent message.
    """

    function: Callable[..., Any]
    runs_in_greenlet: bool
    takes_delay: bool
