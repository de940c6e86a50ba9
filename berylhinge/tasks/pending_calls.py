"""Match answers with the calls that await them."""

from __future__ import annotations

from contextlib import contextmanager
from itertools import count
from typing import Any, NamedTuple, TYPE_CHECKING

from gevent.event import AsyncResult

from .peer_frames import RestartNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..core.peer_envelopes import Envelope
    from ..types import InstanceId


class PendingCall(NamedTuple):
    """Describe a call whose answer is awaited from one process of a peer.

    Call numbers begin anew in each process, so the number alone identifies no call.
    """

    number: int
    peer: InstanceId
    incarnation: int
    answer_type: type
    answer: AsyncResult


class PendingCalls:
    """Own the calls of this process that have no answer yet."""

    def __init__(self, on_count: Callable[[str, int], None]) -> None:
        """Start without calls."""
        self.on_count = on_count
        self.numbers = count(1)
        self.by_number: dict[int, PendingCall] = {}

    @contextmanager
    def open(
        self, peer: InstanceId, incarnation: int, answer_type: type
    ) -> Iterator[PendingCall]:
        """Await the answer of one process of a peer."""
        number = next(self.numbers)
        call = PendingCall(number, peer, incarnation, answer_type, AsyncResult())
        self.by_number[number] = call
        try:
            yield call
        finally:
            del self.by_number[number]

    def end(self, number: int, envelope: Envelope, message: Any) -> None:
        """Give an answer to the call that awaits it from the process that sent it.

        A restart notice comes from a newer process of the peer than the one asked. The
        caller takes an answer of another type than it expects for a lost one.
        """
        call = self.by_number.get(number)
        if call is None:
            return
        is_notice = isinstance(message, RestartNotice)
        is_from_asked = (
            envelope.sender_incarnation > call.incarnation
            if is_notice
            else envelope.sender_incarnation == call.incarnation
        )
        if envelope.sender != call.peer or not is_from_asked:
            self.on_count("misdirected-answer", 0)
            return
        if not is_notice and not isinstance(message, call.answer_type):
            self.on_count("unexpected-answer", 0)
        call.answer.set(message)
