"""Probe the other instances over UDP and tell who is gone."""

from __future__ import annotations

import random
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent import socket
from returns.result import Failure

from ..core import membership
from ..core.envelopes import new_envelopes, PROBE_PURPOSE, seal, unseal
from ..core.membership import Leave, Listed, Received, Tick
from ..core.roster import Member
from ..core.standings import (
    Changed,
    MembershipState,
    new_membership,
    Send,
    Superseded,
    VersionSeen,
)
from ..wire.membership import (
    Ack,
    MembershipMessage,
    Ping,
    PingRequest,
    Status,
    Update,
)
from .http import parse_address
from .logs import Log
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ..core.standings import MembershipEffect
    from ..types import InstanceId
    from ..wire.platform import InstanceRecord
    from .http import Address

TICK_SECONDS = 0.1
DATAGRAM_BYTES = 8_192
BATCH_DATAGRAMS = 64


class Datagram(NamedTuple):
    """Wrap one message with the name of its kind."""

    kind: str
    body: msgspec.Raw


KINDS = {kind.__name__: kind for kind in (Ping, Ack, PingRequest)}
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


class MembershipTask:
    """Own the UDP socket beside the peers' listener and the view of the fleet."""

    def __init__(
        self,
        me: Member,
        *,
        listen: Address,
        secrets: Sequence[bytes],
        version: Callable[[], int],
        on_change: Callable[[], None],
        on_version: Callable[[InstanceId, int], None],
        on_count: Callable[[str, int], None],
    ) -> None:
        """Bind the socket; raise OSError when the port is taken."""
        instance, incarnation = me
        self.version = version
        self.on_change = on_change
        self.on_version = on_version
        self.on_count = on_count
        self.log = Log("membership", instance)
        self.envelopes = new_envelopes(
            instance, incarnation, secrets, purpose=PROBE_PURPOSE
        )
        self.rng = random.Random(f"membership/{instance}/{incarnation}")
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((listen.host, listen.port))
        self.state: MembershipState = new_membership(instance, str(listen), incarnation)
        self.greenlets: list[gevent.Greenlet] = []

    def advertise(self, peer: str) -> None:
        """Set the address that others use."""
        self.state = self.state._replace(me=self.state.me._replace(peer=peer))

    def start(self) -> None:
        """Probe and answer in the background."""
        self.greenlets = [
            spawn_loop(self.tick, lambda: TICK_SECONDS, self.log),
            spawn_loop(self.receive_batch, lambda: 0.0, self.log),
        ]

    def stop(self) -> None:
        """End the greenlets and close the socket."""
        gevent.killall(self.greenlets)
        self.socket.close()

    def leave(self) -> None:
        """Tell members that this instance is leaving."""
        self.step(Leave())

    def set_listed(self, records: Iterable[InstanceRecord]) -> None:
        """Take the platform's changed list."""
        self.step(Listed(tuple(map(listed_update, records))))
        self.on_change()

    def is_absent(self, member: Member) -> bool:
        """Tell whether that start of an instance is dead, leaving or superseded."""
        known = self.state.members.get(member.instance)
        if known is None or known.incarnation < member.incarnation:
            return False
        ending = known.status in (Status.LEAVING, Status.DEAD)
        return ending or known.incarnation > member.incarnation

    def newest_start(self, instance: InstanceId) -> Update | None:
        """Return what is known of an instance."""
        return self.state.members.get(instance)

    def tick(self) -> None:
        """Let time pass."""
        self.step(Tick())

    def step(self, event: membership.MembershipEvent) -> None:
        """Step the core and carry out what it wants."""
        state = self.state._replace(version=self.version())
        self.state, effects = membership.step(event, state, time.monotonic(), self.rng)
        for effect in effects:
            self.carry_out(effect)
        listed = isinstance(event, Listed)
        if not listed and any(isinstance(effect, Changed) for effect in effects):
            self.on_change()

    def carry_out(self, effect: MembershipEffect) -> None:
        """Carry out one effect."""
        match effect:
            case Send():
                self.send(effect)
            case VersionSeen(peer, version):
                self.on_version(peer, version)
            case Superseded(incarnation):
                self.log.info(
                    "Another process runs under this name.", incarnation=incarnation
                )

    def send(self, effect: Send) -> None:
        """Send one datagram; a lost one is the core's concern."""
        body = msgspec.Raw(ENCODER.encode(effect.message))
        datagram = ENCODER.encode(Datagram(type(effect.message).__name__, body))
        data = seal(
            self.envelopes,
            datagram,
            recipient=effect.to,
            recipient_incarnation=self.state.members[effect.to].incarnation,
        )
        address = parse_address(effect.peer)
        try:
            self.socket.sendto(data, (address.host, address.port))
        except OSError:
            self.on_count("probe-unsent", len(data))
            return
        self.on_count("probe-sent", len(data))

    def receive_batch(self) -> None:
        """Read some datagrams, then let others run."""
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, _ = self.socket.recvfrom(DATAGRAM_BYTES)
            except ConnectionError:
                # The system reports here that an earlier datagram found no listener.
                continue
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Check and decode one datagram, and step the core with it."""
        opened = unseal(self.envelopes, data)
        if isinstance(opened, Failure):
            self.on_count(opened.failure().value, len(data))
            return
        envelope = opened.unwrap()
        message = decode_message(envelope.body)
        if message is None:
            self.on_count("malformed", len(data))
            return
        self.on_count("probe-received", len(data))
        self.step(Received(envelope.sender, message))


def decode_message(body: bytes) -> MembershipMessage | None:
    """Decode one message, none for anything else."""
    try:
        datagram = DECODER.decode(body)
        kind = KINDS[datagram.kind]
        found: Any = msgspec.msgpack.decode(datagram.body, type=kind)
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError, RecursionError):
        return None
    message: MembershipMessage = found
    return message


def listed_update(record: InstanceRecord) -> Update:
    """Return what the platform's list says of an instance."""
    leaving = record["state"] == "leaving"
    status = Status.LEAVING if leaving else Status.ALIVE
    return Update(record["instance"], record["peer"], record["incarnation"], 0, status)
