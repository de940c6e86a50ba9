"""Choose where a read runs when all that is known of the databases' load is stale.

Many instances choose at the same moment on the same report. Were each to take the
database that seems best, all would take the same one (Mitzenmacher, 2000). So each
database gets a probability, such that the statements of the whole fleet that arrive
while a report is in use bring all queues to the same length in time (Dahlin, 2000). The
older the report, the less its queue counts and the more the free capacity.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .database_load import INITIAL_RUN_SECONDS
from .outliers import bad_percent
from .read_affinity import choose_by_arc

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ...types import Seconds
    from .catalogue import Database
    from .database_load import BelievedLoad
    from .read_affinity import Arc

# A report is in use for its age and this much longer.
REPORT_USE_SECONDS = 0.1
# An older report says nothing of a queue any more: holders are asked twice as often, and
# the oldest report decides how much all queues count.
MAX_REPORT_AGE_SECONDS = 2.0
# Weight of the age of a report that only this instance has. Others act on reports of
# other moments, so that they do not all move at once (benchmarks/bench_read_balancing).
UNSHARED_AGE_WEIGHT = 0.3
# A database nobody has reported on counts as half used, to be tried but not flooded.
ASSUMED_BUSY_SHARE = 0.5
# Share of a primary's capacity that reads leave free beside its own work, since writes
# have no other place when they come in a burst.
PRIMARY_RESERVE_SHARE = 0.15
# Smallest share of a database's capacity that counts as free, so that one that is
# full or fails still gets a few reads, which show that it has recovered.
MIN_FREE_SHARE = 0.02
# A database slower than this many times the fastest costs callers the excess, which
# counts by the weight. A mix of statements alone makes a factor below 2.
SLOW_RUN_FACTOR = 2.0
SLOW_RUN_WEIGHT = 2.0
# Reads stay in their failure domain while its databases are used less than the lower
# share: the mean wait at four slots is then a fifth of a running time. From the upper
# share on, where it exceeds a running time, they are spread over all.
NEAR_BUSY_SHARE = 0.6
SPREAD_BUSY_SHARE = 0.85
# Exponent of the share of good outcomes by which a database's free capacity counts.
GOOD_SHARE_EXPONENT = 2
# Of the reads that could run elsewhere, a database that is set aside gets this share,
# so that it is seen to work again.
RETRIAL_SHARE = 0.02


class Candidate(NamedTuple):
    """Describe a database that can serve a read; ``avoided`` ones go last."""

    database: Database
    believed: BelievedLoad | None
    is_primary: bool
    is_near: bool
    is_avoided: bool = False
    is_set_aside: bool = False


def order_databases(
    candidates: Sequence[Candidate], now: Seconds, rng: Random, arc: Arc | None = None
) -> list[Database]:
    """Return the databases in the order in which a read tries them.

    Where connections are scarce, the ``arc`` of the read's organisation decides which
    one is the first.
    """
    usable = [
        _without_old_report(entry, now) for entry in candidates if not entry.is_avoided
    ]
    aside = [entry for entry in usable if entry.is_set_aside]
    regular = [entry for entry in usable if not entry.is_set_aside]
    regular.sort(key=lambda entry: entry.database.id)
    shares = shares_of(regular, now)
    ranked = sorted(zip(shares, regular, strict=True), key=lambda pair: -pair[0])
    order = [entry for _, entry in ranked]
    if order:
        parts = near_shares(regular, shares)
        if arc is None:
            first = rng.choices(regular, parts)[0]
        else:
            first = regular[choose_by_arc(parts, arc, rng)]
        order.remove(first)
        order.insert(0, first)
    if aside and order and rng.random() < RETRIAL_SHARE * len(aside):
        order.insert(0, aside.pop(rng.randrange(len(aside))))
    last = [entry for entry in candidates if entry.is_avoided]
    return [entry.database for entry in (*order, *aside, *last)]


def shares_of(candidates: Sequence[Candidate], now: Seconds) -> list[float]:
    """Return which share of the fleet's reads each database should get now.

    The queues, counted as the time to clear them, are filled to one level, like
    vessels of different width with what arrives while the reports are in use.
    """
    if len(candidates) <= 1:
        return [1.0] * len(candidates)
    rates = [_rate(entry) for entry in candidates]
    fastest = min(_run_seconds(entry) for entry in candidates)
    free = [
        rate * _free_share(entry) for rate, entry in zip(rates, candidates, strict=True)
    ]
    backlogs = [
        _backlog(entry) / rate
        + SLOW_RUN_WEIGHT * max(0.0, _run_seconds(entry) - SLOW_RUN_FACTOR * fastest)
        for rate, entry in zip(rates, candidates, strict=True)
    ]
    arrival_rate = sum(
        rate * _read_share(entry) for rate, entry in zip(rates, candidates, strict=True)
    )
    age = max(_weighted_age(entry, now) for entry in candidates)
    arrivals = max(1.0, arrival_rate * (age + REPORT_USE_SECONDS))
    level = _fill_level(free, backlogs, arrivals)
    parts = [
        width * max(0.0, level - backlog)
        for width, backlog in zip(free, backlogs, strict=True)
    ]
    total = sum(parts)
    return [part / total for part in parts]


def near_shares(
    candidates: Sequence[Candidate], shares: Sequence[float]
) -> list[float]:
    """Return the shares for reads of this failure domain, near databases preferred.

    A near database takes its share of the fleet's reads from its own failure domain
    first; what is beyond goes where more than the average is to go.
    """
    near = [entry for entry in candidates if entry.is_near]
    if not near or len(near) == len(candidates):
        return list(shares)
    busiest = max(_busy_share(entry) for entry in candidates)
    span = SPREAD_BUSY_SHARE - NEAR_BUSY_SHARE
    preference = min(1.0, max(0.0, (SPREAD_BUSY_SHARE - busiest) / span))
    average = 1.0 / len(candidates)
    kept = sum(
        share for entry, share in zip(candidates, shares, strict=True) if entry.is_near
    )
    kept_part = min(1.0, kept / (average * len(near)))
    above = [
        0.0 if entry.is_near else max(0.0, share - average)
        for entry, share in zip(candidates, shares, strict=True)
    ]
    total_above = sum(above)
    preferred = [
        kept_part * share / kept
        if entry.is_near and kept
        else (1.0 - kept_part) * (part / total_above if total_above else 0.0)
        for entry, share, part in zip(candidates, shares, above, strict=True)
    ]
    return [
        preference * local + (1.0 - preference) * share
        for local, share in zip(preferred, shares, strict=True)
    ]


def _without_old_report(entry: Candidate, now: Seconds) -> Candidate:
    """Return a candidate without its report if that is too old to go by."""
    if entry.believed is None:
        return entry
    age = now - entry.believed.observed_at
    return entry if age <= MAX_REPORT_AGE_SECONDS else entry._replace(believed=None)


def _fill_level(
    widths: Sequence[float], backlogs: Sequence[Seconds], arrivals: float
) -> Seconds:
    """Return the level to which the arrivals fill the queues."""
    width = filled = level = 0.0
    order = sorted(range(len(widths)), key=backlogs.__getitem__)
    for place, index in enumerate(order):
        width += widths[index]
        filled += widths[index] * backlogs[index]
        level = (arrivals + filled) / width
        if place + 1 == len(order) or level <= backlogs[order[place + 1]]:
            break
    return level


def _rate(entry: Candidate) -> float:
    """Return how many statements a database can run in a second."""
    slots = entry.believed.load.slots if entry.believed else entry.database.slots
    return max(1, slots) / _run_seconds(entry)


def _run_seconds(entry: Candidate) -> Seconds:
    """Return the mean running time of a database's statements."""
    if entry.believed is None:
        return INITIAL_RUN_SECONDS
    return max(1e-4, entry.believed.load.run_seconds)


def _weighted_age(entry: Candidate, now: Seconds) -> Seconds:
    """Return for how long the fleet has acted on a report."""
    if entry.believed is None:
        return 0.0
    age = max(0.0, now - entry.believed.observed_at)
    return age if entry.believed.is_shared else UNSHARED_AGE_WEIGHT * age


def _busy_share(entry: Candidate) -> float:
    """Return the share of the slots in use."""
    return entry.believed.load.busy_share if entry.believed else ASSUMED_BUSY_SHARE


def _own_share(entry: Candidate) -> float:
    """Return the share of the slots taken by what only a primary can run."""
    return entry.believed.load.own_share if entry.believed else 0.0


def _read_share(entry: Candidate) -> float:
    """Return the share of the slots taken by reads that may run elsewhere."""
    return max(0.0, _busy_share(entry) - _own_share(entry))


def _free_share(entry: Candidate) -> float:
    """Return the share of the slots that reads may take, less where they fail."""
    free = 1.0
    if entry.is_primary:
        free -= _own_share(entry) + PRIMARY_RESERVE_SHARE
    good = max(0.0, 1.0 - bad_percent(entry.believed) / 100) ** GOOD_SHARE_EXPONENT
    return max(MIN_FREE_SHARE, free * good)


def _backlog(entry: Candidate) -> float:
    """Return how many statements wait or run, with those sent since the report."""
    if entry.believed is None:
        return 0.0
    load = entry.believed.load
    return load.waiting + load.running + entry.believed.sent_since
