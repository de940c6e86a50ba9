"""Carry membership messages between instances over UDP.

Over TCP, probes of random members would leave each instance with a connection to every
other instance.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent import socket
from returns.result import Failure

from ..core.peer_envelopes import (
    new_channel,
    open_message,
    PROBE_KEY_PURPOSE,
    seal_message,
)
from ..wire.kinds import kind_of
from ..wire.membership import Ack, MembershipMessage, Ping, PingRequest
from .http_server import parse_address
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.roster import Member
    from ..types import InstanceId
    from .http_server import Address
    from .logs import Log

MAX_DATAGRAM_BYTES = 8_192
BATCH_DATAGRAMS = 64


class Datagram(NamedTuple):
    """Wrap one message with its kind."""

    kind: str
    body: msgspec.Raw


TYPES_BY_KIND = {kind_of(kind): kind for kind in (Ping, Ack, PingRequest)}
ENCODER = msgspec.msgpack.Encoder()
DATAGRAM_DECODER = msgspec.msgpack.Decoder(Datagram)


class ProbeSocket:
    """Send and receive membership messages over one UDP socket."""

    def __init__(
        self,
        own_member: Member,
        listen_address: Address,
        *,
        secrets: Sequence[bytes],
        on_count: Callable[[str, int], None],
        log: Log,
    ) -> None:
        """Bind to the address of the peers' listener; raise OSError if it is in use."""
        self.on_count = on_count
        self.log = log
        self.channel = new_channel(
            own_member.instance,
            own_member.incarnation,
            secrets,
            purpose=PROBE_KEY_PURPOSE,
        )
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((listen_address.host, listen_address.port))
        self.reader: gevent.Greenlet | None = None

    def start(
        self, on_message: Callable[[InstanceId, MembershipMessage], None]
    ) -> None:
        """Read in the background; the handler must not block."""
        self.reader = spawn_loop(
            lambda: self.receive_batch(on_message), lambda: 0.0, self.log
        )

    def stop(self) -> None:
        """Stop reading and close the socket."""
        if self.reader is not None:
            self.reader.kill()
        self.socket.close()

    def send(self, to: Member, peer: str, message: MembershipMessage) -> None:
        """Send one datagram; the membership protocol handles lost ones."""
        body = msgspec.Raw(ENCODER.encode(message))
        data = seal_message(
            self.channel,
            ENCODER.encode(Datagram(kind_of(type(message)), body)),
            recipient=to.instance,
            recipient_incarnation=to.incarnation,
        )
        address = parse_address(peer)
        try:
            self.socket.sendto(data, (address.host, address.port))
        except OSError:
            self.on_count("probe-unsent", len(data))
            return
        self.on_count("probe-sent", len(data))

    def receive_batch(
        self, on_message: Callable[[InstanceId, MembershipMessage], None]
    ) -> None:
        """Read one batch of datagrams, after which other greenlets may run."""
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, _ = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except ConnectionError:
                # The kernel reports here that an earlier datagram found no listener.
                continue
            self.receive_datagram(data, on_message)

    def receive_datagram(
        self, data: bytes, on_message: Callable[[InstanceId, MembershipMessage], None]
    ) -> None:
        """Authenticate, decode and handle one datagram; count a rejected one."""
        opened = open_message(self.channel, data)
        if isinstance(opened, Failure):
            self.on_count(opened.failure().value, len(data))
            return
        envelope = opened.unwrap()
        message = decode_message(envelope.body)
        if message is None:
            self.on_count("malformed", len(data))
            return
        self.on_count("probe-received", len(data))
        on_message(envelope.sender, message)


def decode_message(body: bytes) -> MembershipMessage | None:
    """Decode one message; return none for malformed data."""
    try:
        datagram = DATAGRAM_DECODER.decode(body)
        message_type = TYPES_BY_KIND[datagram.kind]
        decoded: Any = msgspec.msgpack.decode(datagram.body, type=message_type)
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError, RecursionError):
        return None
    message: MembershipMessage = decoded
    return message
