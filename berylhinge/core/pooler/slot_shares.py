"""Summarise the state of fair slots for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .slot_classes import arrival_rate, waiting_count

if TYPE_CHECKING:
    from ...types import OrganisationId, Seconds
    from .fair_slots import FairSlots


def waiting_by_class(queue: FairSlots) -> dict[int, int]:
    """Return how many statements of each priority wait, pinned ones left out."""
    counts: dict[int, int] = {}
    for (_, priority), entry in queue.classes.items():
        counts[priority] = counts.get(priority, 0) + waiting_count(entry)
    return counts


def largest_share(queue: FairSlots, now: Seconds) -> float:
    """Return which part of the recently admitted slot time the largest user has."""
    rates: dict[OrganisationId, float] = {}
    total = 0.0
    for entry in queue.classes.values():
        total += arrival_rate(entry.arrivals, now)
        for name, share in entry.organisations.items():
            rates[name] = rates.get(name, 0.0) + arrival_rate(share.arrivals, now)
    return max(rates.values(), default=0.0) / total if total else 0.0
