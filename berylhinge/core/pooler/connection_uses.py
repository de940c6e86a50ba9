"""Track how often organisations use connections, and choose the one to evict.

A connection that an organisation uses rarely is expected to be needed last. To evict the
longest idle one instead (LRU) opens again the connections of organisations that come
round in turn, when there are more of them than connections.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .decay import decay_factor

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...types import OrganisationId, Seconds
    from .connection_pool import IdleConnection

# Time over which uses are averaged: longer than the bursts of seconds of a single
# organisation, shorter than the time for which a connection is kept idle.
USE_RATE_SECONDS = 10.0
# Each further idle connection of an organisation is needed this much more rarely, as
# it is used only while the ones before it are busy.
FURTHER_CONNECTION_FACTOR = 0.25
# Uses below this average are forgotten.
MIN_USES = 0.01


class UseRate(NamedTuple):
    """Hold a number of uses, decayed until a moment."""

    uses: float
    updated_at: Seconds


class ConnectionUses:
    """Hold the rates of one database; changed in place."""

    __slots__ = ("rates",)

    def __init__(self) -> None:
        """Start with no uses."""
        self.rates: dict[OrganisationId, UseRate] = {}


def record_use(
    uses: ConnectionUses, organisation: OrganisationId, now: Seconds
) -> None:
    """Count one use of a connection."""
    known = use_rate(uses, organisation, now) * USE_RATE_SECONDS
    uses.rates[organisation] = UseRate(known + 1.0, now)


def use_rate(uses: ConnectionUses, organisation: OrganisationId, now: Seconds) -> float:
    """Return an organisation's recent uses for each second."""
    known = uses.rates.get(organisation)
    if known is None:
        return 0.0
    kept = decay_factor(known.updated_at, now, USE_RATE_SECONDS)
    return known.uses * kept / USE_RATE_SECONDS


def forget_unused(uses: ConnectionUses, now: Seconds) -> None:
    """Forget organisations that have not used a connection for long."""
    for name in list(uses.rates):
        if use_rate(uses, name, now) * USE_RATE_SECONDS < MIN_USES:
            del uses.rates[name]


def choose_victim(
    uses: ConnectionUses, idle: Sequence[IdleConnection], now: Seconds
) -> int:
    """Return the number of the idle connection that is expected to be needed last."""
    ranks: dict[OrganisationId, int] = {}
    best: tuple[float, Seconds, int] | None = None
    for entry in sorted(idle, key=lambda found: -found.idle_since):
        rank = ranks.get(entry.organisation, 0)
        ranks[entry.organisation] = rank + 1
        rate = use_rate(uses, entry.organisation, now)
        needed = rate * FURTHER_CONNECTION_FACTOR**rank
        candidate = (needed, entry.idle_since, entry.number)
        best = candidate if best is None else min(best, candidate)
    if best is None:
        raise ValueError("got no idle connection, expected at least one")
    return best[2]
