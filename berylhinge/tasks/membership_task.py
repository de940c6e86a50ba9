"""Run the membership protocol between the instances."""

from __future__ import annotations

import random
import time
from typing import NamedTuple, TYPE_CHECKING

from ..core import membership
from ..core.membership_state import (
    InstanceSuperseded,
    MemberChanged,
    new_membership,
    PeerVersionReceived,
    SendMessage,
)
from ..core.peer_contacts import PeerAddress
from ..core.roster import Member
from ..wire.membership import MembershipMessage, MembershipStatus, MemberUpdate
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from ..types import InstanceId
    from ..wire.platform import InstanceRecord
    from .http_server import Address
    from .logs import Log
    from .probe_socket import ProbeSocket

TICK_SECONDS = 0.1
STATUS_BY_LISTED_STATE = {
    "live": MembershipStatus.ALIVE,
    "leaving": MembershipStatus.LEAVING,
}
SERVING_STATUSES = (MembershipStatus.ALIVE, MembershipStatus.SUSPECT)
UNKNOWN_MEMBER_TIMEOUT_SECONDS = 15.0


class MembershipCallbacks(NamedTuple):
    """Define the callbacks that receive membership changes."""

    on_change: Callable[[], None]
    on_version: Callable[[InstanceId, int], None]
    on_superseded: Callable[[], None]


class MembershipTask:
    """Run the membership state machine over the probe socket."""

    def __init__(
        self,
        own_member: Member,
        *,
        address: Address,
        probe_socket: ProbeSocket,
        get_version: Callable[[], int],
        callbacks: MembershipCallbacks,
        log: Log,
    ) -> None:
        """Start with this instance as the only member."""
        self.own_member = own_member
        self.probe_socket = probe_socket
        self.get_version = get_version
        self.callbacks = callbacks
        self.log = log
        self.state = new_membership(
            own_member.instance, str(address), own_member.incarnation
        )
        self.rng = random.Random(
            f"members/{own_member.instance}/{own_member.incarnation}"
        )
        self.unknown_since: dict[Member, float] = {}
        self.ticker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Probe and answer in the background."""
        self.probe_socket.start(self.on_message)
        self.ticker = spawn_loop(self.tick, lambda: TICK_SECONDS, self.log)

    def stop(self) -> None:
        """Stop probing and close the socket."""
        if self.ticker is not None:
            self.ticker.kill()
        self.probe_socket.stop()

    def set_advertised_address(self, peer: str) -> None:
        """Set the address that other instances use from now on."""
        self.state = self.state._replace(me=self.state.me._replace(peer=peer))

    def serving_members(self) -> frozenset[Member]:
        """Return the instances that serve, this one included unless it is leaving."""
        return self.members_with_status(SERVING_STATUSES)

    def is_gone(self, member: Member) -> bool:
        """Return whether a member is dead, replaced, or unknown for too long."""
        if member == self.own_member:
            return False
        known = self.state.members.get(member.instance)
        if known is not None and known.incarnation >= member.incarnation:
            self.unknown_since.pop(member, None)
            replaced = known.incarnation > member.incarnation
            return replaced or known.status is MembershipStatus.DEAD
        now = time.monotonic()
        return (
            now - self.unknown_since.setdefault(member, now)
            > UNKNOWN_MEMBER_TIMEOUT_SECONDS
        )

    def members_with_status(
        self, statuses: tuple[MembershipStatus, ...]
    ) -> frozenset[Member]:
        """Return the instances with one of the statuses."""
        updates = [self.state.me, *self.state.members.values()]
        return frozenset(
            Member(update.instance, update.incarnation)
            for update in updates
            if update.status in statuses
        )

    def is_suspect(self, instance: InstanceId) -> bool:
        """Return whether an instance is suspected, after an unanswered probe."""
        known = self.state.members.get(instance)
        return known is not None and known.status is MembershipStatus.SUSPECT

    def peer_addresses(self) -> dict[InstanceId, PeerAddress]:
        """Return the addresses of the other instances, leaving ones included."""
        return {
            name: PeerAddress(update.peer, update.incarnation)
            for name, update in self.state.members.items()
            if update.status is not MembershipStatus.DEAD
        }

    def tick(self) -> None:
        """Process a tick."""
        self.state = self.state._replace(version=self.get_version())
        self.step(membership.Tick())

    def announce_leaving(self) -> None:
        """Announce to the members that this instance is leaving."""
        self.step(membership.LeaveRequested())

    def apply_list(self, records: list[InstanceRecord]) -> None:
        """Apply the platform's list of instances, which may be out of date."""
        updates = tuple(
            MemberUpdate(
                record["instance"],
                record["peer"],
                record["incarnation"],
                0,
                STATUS_BY_LISTED_STATE[record["state"]],
            )
            for record in records
            if record["instance"] != self.own_member.instance
        )
        self.step(membership.MemberListRead(updates))

    def on_message(self, sender: InstanceId, message: MembershipMessage) -> None:
        """Handle a probe, an answer to one or a request for one."""
        self.step(membership.MessageReceived(sender, message))

    def step(self, event: membership.MembershipEvent) -> None:
        """Process an event in the core and run the effects that it returns."""
        self.state, effects = membership.step(
            event, self.state, time.monotonic(), self.rng
        )
        changed = False
        for effect in effects:
            match effect:
                case SendMessage(to, peer, message):
                    incarnation = self.state.members[to].incarnation
                    self.probe_socket.send(Member(to, incarnation), peer, message)
                case PeerVersionReceived(peer, version):
                    self.callbacks.on_version(peer, version)
                case MemberChanged(update):
                    changed = True
                    self.log_status(update)
                case InstanceSuperseded(_):
                    self.callbacks.on_superseded()
        if changed:
            self.callbacks.on_change()

    def log_status(self, update: MemberUpdate) -> None:
        """Log a member's new status."""
        self.log.info(
            f"A member is {update.status.name.lower()}.",
            member=update.instance,
            incarnation=update.incarnation,
        )
