"""Probe the other instances and keep who is alive."""

from __future__ import annotations

import random
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from ..core import membership
from ..core.roster import Member
from ..core.standings import Changed, new_membership, Send, Superseded, VersionSeen
from ..wire.membership import Ack, Ping, PingRequest, Status, Update
from .links import Peer
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from ..types import InstanceId
    from ..wire.platform import InstanceRecord
    from .links import Links
    from .logs import Log

TICK_SECONDS = 0.1
LISTED_STATUS = {"live": Status.ALIVE, "leaving": Status.LEAVING}
SERVING = (Status.ALIVE, Status.SUSPECT)


class MembershipCallbacks(NamedTuple):
    """Say whom to tell of changes."""

    on_change: Callable[[], None]
    on_version: Callable[[InstanceId, int], None]
    on_superseded: Callable[[], None]


class MembershipTask:
    """Own the membership state."""

    def __init__(
        self,
        me: Member,
        *,
        links: Links,
        version: Callable[[], int],
        callbacks: MembershipCallbacks,
        log: Log,
    ) -> None:
        """Start alone."""
        self.me = me
        self.links = links
        self.version = version
        self.callbacks = callbacks
        self.log = log
        self.state = new_membership(me.instance, str(links.address), me.incarnation)
        self.rng = random.Random(f"members/{me.instance}/{me.incarnation}")
        self.ticker: gevent.Greenlet | None = None
        for kind in (Ping, Ack, PingRequest):
            links.register(kind, self.on_message)

    def start(self) -> None:
        """Probe in the background."""
        self.ticker = spawn_loop(self.tick, lambda: TICK_SECONDS, self.log)

    def stop(self) -> None:
        """End the probes."""
        if self.ticker is not None:
            self.ticker.kill()

    def advertise(self, peer: str) -> None:
        """Tell the address that others use from now on."""
        self.state = self.state._replace(me=self.state.me._replace(peer=peer))

    def members(self) -> frozenset[Member]:
        """Return the instances that serve, this one included unless it leaves."""
        found = {
            Member(name, update.incarnation)
            for name, update in self.state.members.items()
            if update.status in SERVING
        }
        if self.state.me.status is Status.ALIVE:
            found.add(self.me)
        return frozenset(found)

    def is_suspect(self, instance: InstanceId) -> bool:
        """Tell whether an instance did not answer its last probe."""
        known = self.state.members.get(instance)
        return known is not None and known.status is Status.SUSPECT

    def peers(self) -> dict[InstanceId, Peer]:
        """Return where the other instances listen, leaving ones included."""
        return {
            name: Peer(update.peer, update.incarnation)
            for name, update in self.state.members.items()
            if update.status is not Status.DEAD
        }

    def tick(self) -> None:
        """Let time pass."""
        self.state = self.state._replace(version=self.version())
        self.step(membership.Tick())

    def leave(self) -> None:
        """Tell everyone that this instance is leaving."""
        self.step(membership.Leave())

    def take_list(self, records: list[InstanceRecord]) -> None:
        """Take the platform's lagging list."""
        updates = tuple(
            Update(
                record["instance"],
                record["peer"],
                record["incarnation"],
                0,
                LISTED_STATUS[record["state"]],
            )
            for record in records
            if record["instance"] != self.me.instance
        )
        self.step(membership.Listed(updates))

    def on_message(self, sender: InstanceId, message: Any) -> None:
        """Take a probe, its answer or a request for one."""
        self.learn_sender(message.sender)
        self.step(membership.Received(sender, message))

    def learn_sender(self, sender: Update) -> None:
        """Make sure that an unknown prober can be answered."""
        if sender.instance not in self.links.peers:
            peer = Peer(sender.peer, sender.incarnation)
            self.links.set_peers({**self.links.peers, sender.instance: peer})

    def step(self, event: membership.MembershipEvent) -> None:
        """Step the core and carry out what it wants."""
        self.state, effects = membership.step(
            event, self.state, time.monotonic(), self.rng
        )
        changed = False
        for effect in effects:
            match effect:
                case Send(to, _, message):
                    self.send(to, message)
                case VersionSeen(peer, version):
                    self.callbacks.on_version(peer, version)
                case Changed(update):
                    changed = True
                    self.note(update)
                case Superseded(_):
                    self.callbacks.on_superseded()
        if changed:
            self.callbacks.on_change()

    def send(self, to: InstanceId, message: Any) -> None:
        """Send, also to a member that the links do not hold any more."""
        if to not in self.links.peers and to in self.state.members:
            update = self.state.members[to]
            peer = Peer(update.peer, update.incarnation)
            self.links.set_peers({**self.links.peers, to: peer})
        self.links.send(to, message)

    def note(self, update: Update) -> None:
        """Log a member's new standing."""
        self.log.info(
            f"A member is {update.status.name.lower()}.",
            member=update.instance,
            incarnation=update.incarnation,
        )
