"""Announce this instance to the platform and read its list of instances."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..wire.platform import InstanceRecord
    from .logs import Log
    from .platform_client import PlatformClient

ANNOUNCE_INTERVAL_SECONDS = 2.0
MIN_LIST_INTERVAL_SECONDS = 2.0
LIST_READS_PER_SECOND = 100.0


class InstanceListTask:
    """Announce this instance and read the platform's list periodically."""

    def __init__(
        self,
        record: InstanceRecord,
        platform: PlatformClient,
        *,
        on_list: Callable[[list[InstanceRecord]], None],
        log: Log,
    ) -> None:
        """Announce nothing before ``start``."""
        self.own_record = record
        self.platform = platform
        self.on_list = on_list
        self.log = log
        self.listed_count = 0
        self.rng = random.Random(record["instance"])
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Announce and read the list in the background."""
        self.greenlets = [
            spawn_loop(self.announce, self.announce_pause, self.log),
            spawn_loop(self.read_list, self.list_pause, self.log),
        ]

    def stop(self) -> None:
        """Stop the background greenlets."""
        gevent.killall(self.greenlets)

    def announce_leaving(self) -> None:
        """Announce that this instance is leaving."""
        self.own_record["state"] = "leaving"
        gevent.spawn(self.platform.announce_instance, self.own_record)

    def announce(self) -> None:
        """Announce this instance."""
        self.platform.announce_instance(self.own_record)

    def announce_pause(self) -> float:
        """Return the time between two announcements."""
        return ANNOUNCE_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2)

    def read_list(self) -> None:
        """Read the list; if that fails, the last one stays in use."""
        result = self.platform.list_instances()
        if isinstance(result, Success):
            records = result.unwrap()["instances"]
            self.listed_count = len(records)
            self.on_list(records)

    def list_pause(self) -> float:
        """Return the time between two reads, longer in a large fleet."""
        seconds = max(
            MIN_LIST_INTERVAL_SECONDS, self.listed_count / LIST_READS_PER_SECOND
        )
        return seconds * self.rng.uniform(0.8, 1.2)
