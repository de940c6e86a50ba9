"""Probe the other instances and keep who is alive."""

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
from ..core.roster import Member
from ..wire.membership import MembershipMessage, MembershipStatus, MemberUpdate
from .links import Peer
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from ..types import InstanceId
    from ..wire.platform import InstanceRecord
    from .http import Address
    from .logs import Log
    from .probes import ProbeSocket

TICK_SECONDS = 0.1
LISTED_STATUS = {"live": MembershipStatus.ALIVE, "leaving": MembershipStatus.LEAVING}
SERVING = (MembershipStatus.ALIVE, MembershipStatus.SUSPECT)
UNSEEN_SECONDS = 15.0


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
        address: Address,
        probes: ProbeSocket,
        version: Callable[[], int],
        callbacks: MembershipCallbacks,
        log: Log,
    ) -> None:
        """Start alone."""
        self.me = me
        self.probes = probes
        self.version = version
        self.callbacks = callbacks
        self.log = log
        self.state = new_membership(me.instance, str(address), me.incarnation)
        self.rng = random.Random(f"members/{me.instance}/{me.incarnation}")
        self.unseen_since: dict[Member, float] = {}
        self.ticker: gevent.Greenlet | None = None

    def start(self) -> None:
        """Probe and answer in the background."""
        self.probes.start(self.on_message)
        self.ticker = spawn_loop(self.tick, lambda: TICK_SECONDS, self.log)

    def stop(self) -> None:
        """End the probes."""
        if self.ticker is not None:
            self.ticker.kill()
        self.probes.stop()

    def advertise(self, peer: str) -> None:
        """Tell the address that others use from now on."""
        self.state = self.state._replace(me=self.state.me._replace(peer=peer))

    def members(self) -> frozenset[Member]:
        """Return the instances that serve, this one included unless it leaves."""
        return self.having(SERVING)

    def is_gone(self, member: Member) -> bool:
        """Tell whether a member is dead, replaced, or was never seen for long."""
        if member == self.me:
            return False
        known = self.state.members.get(member.instance)
        if known is not None and known.incarnation >= member.incarnation:
            self.unseen_since.pop(member, None)
            replaced = known.incarnation > member.incarnation
            return replaced or known.status is MembershipStatus.DEAD
        now = time.monotonic()
        return now - self.unseen_since.setdefault(member, now) > UNSEEN_SECONDS

    def having(self, statuses: tuple[MembershipStatus, ...]) -> frozenset[Member]:
        """Return the instances with one of the statuses."""
        updates = [self.state.me, *self.state.members.values()]
        return frozenset(
            Member(update.instance, update.incarnation)
            for update in updates
            if update.status in statuses
        )

    def is_suspect(self, instance: InstanceId) -> bool:
        """Tell whether an instance did not answer its last probe."""
        known = self.state.members.get(instance)
        return known is not None and known.status is MembershipStatus.SUSPECT

    def peers(self) -> dict[InstanceId, Peer]:
        """Return where the other instances listen, leaving ones included."""
        return {
            name: Peer(update.peer, update.incarnation)
            for name, update in self.state.members.items()
            if update.status is not MembershipStatus.DEAD
        }

    def tick(self) -> None:
        """Let time pass."""
        self.state = self.state._replace(version=self.version())
        self.step(membership.Tick())

    def leave(self) -> None:
        """Tell everyone that this instance is leaving."""
        self.step(membership.LeaveRequested())

    def take_list(self, records: list[InstanceRecord]) -> None:
        """Take the platform's lagging list."""
        updates = tuple(
            MemberUpdate(
                record["instance"],
                record["peer"],
                record["incarnation"],
                0,
                LISTED_STATUS[record["state"]],
            )
            for record in records
            if record["instance"] != self.me.instance
        )
        self.step(membership.MemberListRead(updates))

    def on_message(self, sender: InstanceId, message: MembershipMessage) -> None:
        """Take a probe, its answer or a request for one."""
        self.step(membership.MessageReceived(sender, message))

    def step(self, event: membership.MembershipEvent) -> None:
        """Step the core and carry out what it wants."""
        self.state, effects = membership.step(
            event, self.state, time.monotonic(), self.rng
        )
        changed = False
        for effect in effects:
            match effect:
                case SendMessage(to, peer, message):
                    incarnation = self.state.members[to].incarnation
                    self.probes.send(Member(to, incarnation), peer, message)
                case PeerVersionReceived(peer, version):
                    self.callbacks.on_version(peer, version)
                case MemberChanged(update):
                    changed = True
                    self.note(update)
                case InstanceSuperseded(_):
                    self.callbacks.on_superseded()
        if changed:
            self.callbacks.on_change()

    def note(self, update: MemberUpdate) -> None:
        """Log a member's new standing."""
        self.log.info(
            f"A member is {update.status.name.lower()}.",
            member=update.instance,
            incarnation=update.incarnation,
        )
