"""Follow the platform's list of instances and announce this one."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from ..core.roster import Member
from .links import Peer
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..types import InstanceId
    from ..wire.platform import InstanceRecord
    from .logs import Log
    from .platform import PlatformClient

ANNOUNCE_SECONDS = 2.0
LIST_SECONDS = 2.0


class LiveList:
    """Own the announcement and the newest list of instances."""

    def __init__(
        self,
        record: InstanceRecord,
        platform: PlatformClient,
        *,
        on_change: Callable[[], None],
        log: Log,
    ) -> None:
        """Know only this instance at first."""
        self.record = record
        self.platform = platform
        self.on_change = on_change
        self.log = log
        self.records: dict[str, InstanceRecord] = {record["instance"]: record}
        self.rng = random.Random(record["instance"])
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Announce and list in the background."""
        self.greenlets = [
            spawn_loop(self.announce, self.announce_pause, self.log),
            spawn_loop(self.read_list, self.list_pause, self.log),
        ]

    def stop(self) -> None:
        """End the greenlets."""
        gevent.killall(self.greenlets)

    def leave(self) -> None:
        """Announce that this instance is leaving."""
        self.record["state"] = "leaving"
        gevent.spawn(self.platform.announce, self.record)

    def members(self) -> frozenset[Member]:
        """Return the live instances."""
        return frozenset(
            Member(record["instance"], record["incarnation"])
            for record in self.records.values()
            if record["state"] == "live"
        )

    def peers(self) -> dict[InstanceId, Peer]:
        """Return where the other instances listen, leaving ones included."""
        me = self.record["instance"]
        return {
            name: Peer(record["peer"], record["incarnation"])
            for name, record in self.records.items()
            if name != me
        }

    def announce(self) -> None:
        """Announce this instance."""
        self.platform.announce(self.record)

    def announce_pause(self) -> float:
        """Return the time between two announcements."""
        return ANNOUNCE_SECONDS * self.rng.uniform(0.8, 1.2)

    def read_list(self) -> None:
        """Read the list; an outage keeps the last one."""
        result = self.platform.instances()
        if isinstance(result, Success):
            self.take(result.unwrap()["instances"])

    def list_pause(self) -> float:
        """Return the time between two reads of the list."""
        return LIST_SECONDS * self.rng.uniform(0.8, 1.2)

    def take(self, records: list[InstanceRecord]) -> None:
        """Keep a new list, with this instance as it knows itself."""
        found = {record["instance"]: record for record in records}
        found[self.record["instance"]] = self.record
        if found != self.records:
            self.records = found
            self.on_change()
