"""Define the frame around each peer message, its handling, and a call's failure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ..types import InstanceId


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


class PeerLost(Exception):
    """Report that a peer did not answer in time, restarted or is not known."""

    def __init__(
        self, instance: InstanceId, *, sent: bool, restarted: bool = False
    ) -> None:
        """Store the peer and whether the message may have been sent."""
        super().__init__(f"no answer from {instance}")
        self.instance = instance
        self.sent = sent
        self.restarted = restarted
