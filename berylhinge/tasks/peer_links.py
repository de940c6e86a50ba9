"""Carry authenticated messages between instances over pynng."""

from __future__ import annotations

import socket
import time
from typing import Any, TYPE_CHECKING, TypeVar

import gevent
import msgspec
import pynng
from gevent import get_hub
from returns.result import Failure

from ..core.message_delays import measure_excess_delay
from ..core.peer_contacts import PeerAddress, PeerContacts
from ..core.peer_envelopes import (
    ChannelState,
    DropReason,
    Envelope,
    open_former_message,
    open_message,
    seal_message,
)
from ..types import InstanceId
from ..wire.kinds import kind_of, omit_defaults
from .clock import now_seconds
from .http_server import Address
from .peer_activity import PeerActivity
from .peer_frames import Frame, Handler, PeerLost, RestartNotice
from .peer_outboxes import Outboxes
from .pending_calls import PendingCalls

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.message_delays import ClockOffset
    from .pending_calls import PendingCall

RECEIVE_BUFFER_MESSAGES = 4_096
MAX_MESSAGE_BYTES = 8_000_000
BATCH_MESSAGES = 64
CONNECT_TIMEOUT_SECONDS = 0.25
CONNECT_POLL_SECONDS = 0.002
LOSS_CHECK_SECONDS = 0.1

AnswerT = TypeVar("AnswerT")


def ignore_fault(kind: str, error: Exception) -> None:
    """Discard an error."""


class Links(PeerActivity):
    """Send and receive messages through an inbox and one outbox for each peer."""

    def __init__(
        self,
        listen_address: Address,
        *,
        channel: ChannelState,
        on_count: Callable[[str, int], None],
        on_fault: Callable[[str, Exception], None] = ignore_fault,
    ) -> None:
        """Listen at once; messages are read after ``start``.

        ``on_fault`` gets the kind of a message whose handling raised, and the error.
        """
        super().__init__()
        self.listen_address = listen_address
        self.inbox = pynng.Pull0(
            listen=f"tcp://{listen_address.host}:{listen_address.port}",
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self.channel = channel
        self.on_count = on_count
        self.on_fault = on_fault
        self.advertised_address = str(self.address)
        self.outboxes = Outboxes()
        self.contacts = PeerContacts()
        self.handlers: dict[str, Handler] = {}
        self.clock_offsets: dict[InstanceId, ClockOffset] = {}
        self.types_by_kind: dict[str, type] = {kind_of(RestartNotice): RestartNotice}
        self.pending_calls = PendingCalls(on_count)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Frame)
        self.reader: gevent.Greenlet | None = None

    @property
    def address(self) -> Address:
        """Return the address on which the inbox listens."""
        bound = self.inbox.listeners[0].local_address
        return Address(self.listen_address.host, socket.ntohs(bound.port))

    def register(
        self, message_type: type, handler: Callable[..., Any] | None = None
    ) -> None:
        """Register a message type; its handler runs in the reader without blocking."""
        kind = kind_of(message_type)
        self.types_by_kind[kind] = message_type
        if handler is not None:
            self.handlers[kind] = Handler(handler, False, False)

    def register_call(
        self,
        message_type: type,
        handler: Callable[..., Any],
        *,
        takes_delay: bool = False,
    ) -> None:
        """Register a type of call; each is answered in a greenlet of its own."""
        kind = kind_of(message_type)
        self.types_by_kind[kind] = message_type
        self.handlers[kind] = Handler(handler, True, takes_delay)

    def start(self) -> None:
        """Start reading."""
        self.reader = gevent.spawn(self.read_messages)

    def stop(self) -> None:
        """Stop reading and close every socket."""
        if self.reader is not None:
            self.reader.kill()
        self.outboxes.close_all()
        self.inbox.close()

    def set_peers(self, peers: dict[InstanceId, PeerAddress]) -> None:
        """Replace the known peers and close outboxes to outdated addresses."""
        self.contacts.replace_registered(peers)
        for instance in list(self.outboxes.open):
            self.outboxes.close_outdated(instance, self.contacts.find(instance))

    def close_outbox(self, instance: InstanceId) -> None:
        """Close the connection to a peer, so that the next message dials anew."""
        self.outboxes.close(instance)

    def send(
        self,
        instance: InstanceId,
        message: Any,
        *,
        call: int = 0,
        reply: int = 0,
        incarnation: int | None = None,
    ) -> bool:
        """Send without waiting; return false if the message certainly was not sent.

        A message for one ``incarnation`` of the peer is not sent to another one.
        """
        peer = self.contacts.find(instance)
        if peer is None:
            self.on_count("unknown-peer", 0)
            return False
        if incarnation is not None and peer.incarnation != incarnation:
            self.on_count("other-incarnation", 0)
            return False
        outbox = self.outboxes.ensure(instance, peer)
        if outbox is None:
            self.on_count("address-invalid", 0)
            return False
        body = msgspec.Raw(self.encoder.encode(omit_defaults(message)))
        # A peer that has sent a message here knows the address of this inbox.
        origin = "" if self.contacts.has_heard(instance) else self.advertised_address
        sent_ms = int(now_seconds() * 1000)
        frame = Frame(kind_of(type(message)), call, reply, origin, sent_ms, body)
        data = seal_message(
            self.channel,
            self.encoder.encode(frame),
            recipient=instance,
            recipient_incarnation=peer.incarnation,
        )
        try:
            outbox.send(data, block=False)
        except pynng.TryAgain:
            self.on_count("outbox-full", 0)
            return False
        except pynng.Closed:
            self.on_count("outbox-closed", 0)
            return False
        self.on_count("sent", len(data))
        return True

    def connect(self, instance: InstanceId) -> bool:
        """Dial a peer and wait briefly until connected."""
        peer = self.contacts.find(instance)
        if peer is None:
            self.on_count("unknown-peer", 0)
            return False
        deadline = time.monotonic() + CONNECT_TIMEOUT_SECONDS
        while not self.outboxes.is_connected(instance):
            if time.monotonic() >= deadline:
                return False
            self.outboxes.ensure(instance, self.contacts.find(instance) or peer)
            gevent.sleep(CONNECT_POLL_SECONDS)
        return True

    def call(
        self,
        instance: InstanceId,
        message: Any,
        answer_type: type[AnswerT],
        timeout_seconds: float,
        is_lost: Callable[[], bool] | None = None,
        *,
        may_repeat: bool = False,
    ) -> AnswerT:
        """Send and return the answer; raise PeerLost on timeout or ``is_lost``.

        A restarted peer drops it; it is sent once more if it ``may_repeat`` safely.
        An answer of another type than expected counts as a lost one.
        """
        deadline = time.monotonic() + timeout_seconds
        answer = self.call_once(instance, message, answer_type, deadline, is_lost)
        if may_repeat and isinstance(answer, RestartNotice):
            answer = self.call_once(instance, message, answer_type, deadline, is_lost)
        if isinstance(answer, RestartNotice):
            raise PeerLost(instance, sent=True, restarted=True)
        if not isinstance(answer, answer_type):
            raise PeerLost(instance, sent=True)
        return answer

    def call_once(
        self,
        instance: InstanceId,
        message: Any,
        answer_type: type,
        deadline: float,
        is_lost: Callable[[], bool] | None,
    ) -> Any:
        """Send and return the answer, or why there is none."""
        if not self.connect(instance):
            raise PeerLost(instance, sent=False)
        peer = self.contacts.find(instance)
        if peer is None:
            raise PeerLost(instance, sent=False)
        incarnation = peer.incarnation
        with self.pending_calls.open(instance, incarnation, answer_type) as call:
            if not self.send(
                instance, message, call=call.number, incarnation=incarnation
            ):
                raise PeerLost(instance, sent=False)
            return self.await_answer(call, deadline, is_lost)

    def await_answer(
        self,
        call: PendingCall,
        deadline: float,
        is_lost: Callable[[], bool] | None,
    ) -> Any:
        """Wait for an answer while the peer stays connected; raise PeerLost."""
        while (remaining := deadline - time.monotonic()) > 0:
            call.answer.wait(min(remaining, LOSS_CHECK_SECONDS))
            if call.answer.ready():
                return call.answer.get()
            if not self.outboxes.is_connected(call.peer) or (is_lost and is_lost()):
                break
        raise PeerLost(call.peer, sent=True)

    def read_messages(self) -> None:
        """Read until killed, yielding to the hub after each batch."""
        watcher = get_hub().loop.io(self.inbox.recv_fd, 1)
        while True:
            for _ in range(BATCH_MESSAGES):
                try:
                    data = self.inbox.recv(block=False)
                except pynng.TryAgain:
                    get_hub().wait(watcher)
                    continue
                try:
                    self.receive_message(data)
                except Exception as error:
                    self.on_fault("receive_message", error)
            gevent.sleep(0)

    def receive_message(self, data: bytes) -> None:
        """Authenticate, decode and dispatch one message."""
        opened = open_message(self.channel, data)
        if isinstance(opened, Failure):
            self.on_count(opened.failure().value, len(data))
            if opened.failure() is DropReason.STALE_RECIPIENT:
                self.send_restart_notice(data)
            return
        envelope = opened.unwrap()
        sender = envelope.sender
        try:
            frame = self.decoder.decode(envelope.body)
            message_type = self.types_by_kind[frame.kind]
            message: Any = msgspec.msgpack.decode(frame.body, type=message_type)
        except (msgspec.MsgspecError, KeyError, RecursionError):
            self.on_count("malformed", len(data))
            return
        self.on_count("received", len(data))
        delay = self.measure_delay(envelope, frame)
        self.contacts.received_incarnations[sender] = envelope.sender_incarnation
        self.last_received_at[sender] = time.monotonic()
        self.learn_address(envelope, frame)
        if isinstance(message, RestartNotice):
            self.pending_calls.end(message.call_id, envelope, message)
        elif frame.reply_to:
            self.pending_calls.end(frame.reply_to, envelope, message)
        else:
            self.dispatch_message(envelope, frame, message, delay)

    def learn_address(self, envelope: Envelope, frame: Frame) -> None:
        """Learn where the sender of a message receives answers, and that it runs."""
        self.contacts.learn(
            envelope.sender, frame.sender_address, envelope.sender_incarnation
        )
        peer = self.contacts.find(envelope.sender)
        self.outboxes.close_outdated(envelope.sender, peer)
        self.outboxes.close_unreached(envelope.sender)

    def send_restart_notice(self, data: bytes) -> None:
        """Tell the sender of a message to a former incarnation that this is another."""
        envelope = open_former_message(self.channel, data)
        if envelope is None:
            return
        try:
            frame = self.decoder.decode(envelope.body)
        except (msgspec.MsgspecError, RecursionError):
            return
        self.learn_address(envelope, frame)
        sender = self.contacts.find(envelope.sender)
        is_current = sender and sender.incarnation == envelope.sender_incarnation
        if is_current and frame.kind != kind_of(RestartNotice):
            self.send(envelope.sender, RestartNotice(frame.call_id))

    def measure_delay(self, envelope: Envelope, frame: Frame) -> float:
        """Return a message's delay beyond that of the sender's quickest recent one."""
        sender = envelope.sender
        if envelope.sender_incarnation != self.contacts.received_incarnations.get(
            sender
        ):
            # The sender's machine may have restarted, which resets its clock.
            self.clock_offsets.pop(sender, None)
        offset = self.clock_offsets.get(sender)
        sent_at = frame.sent_ms / 1000
        self.clock_offsets[sender], delay = measure_excess_delay(
            offset, sent_at, now_seconds()
        )
        return delay

    def dispatch_message(
        self, envelope: Envelope, frame: Frame, message: Any, delay: float
    ) -> None:
        """Run a message's handler."""
        sender = envelope.sender
        handler = self.handlers.get(frame.kind)
        if handler is None:
            self.on_count("unhandled", 0)
            return
        arguments = (
            (sender, message, delay) if handler.takes_delay else (sender, message)
        )
        if handler.runs_in_greenlet:
            gevent.spawn(self.answer, envelope, frame, handler.function, arguments)
            return
        try:
            handler.function(*arguments)
        except Exception as error:
            self.on_fault(frame.kind, error)

    def answer(
        self,
        envelope: Envelope,
        frame: Frame,
        function: Callable[..., Any],
        arguments: tuple[Any, ...],
    ) -> None:
        """Run a call's handler and send its result to the process that asked."""
        try:
            answer = function(*arguments)
        except Exception as error:
            self.on_fault(frame.kind, error)
            return
        if answer is not None and frame.call_id:
            self.send(
                envelope.sender,
                answer,
                reply=frame.call_id,
                incarnation=envelope.sender_incarnation,
            )
