"""Keep the reads of an organisation at few databases of a service.

A connection serves one organisation for its whole life. Where a database has fewer
connections than there are organisations, a read that goes to any of its databases often
finds no connection of its organisation, and opening one takes a slot for as long as a
statement. So the organisations lie on a circle, each on an arc as wide as its share of
all declared rates, and each database serves the part of the circle that it gets of the
reads. An organisation that outgrows its arc is spread over the neighbouring databases as
their parts move.
"""

from __future__ import annotations

from itertools import accumulate
from typing import NamedTuple, TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from ...types import OrganisationId
    from .catalogue import Quota


class Arc(NamedTuple):
    """Describe a part of a circle with the circumference 1."""

    start: float
    width: float


def arrange_organisations(
    quotas: Mapping[OrganisationId, Quota],
) -> dict[OrganisationId, Arc]:
    """Return the arc of each organisation, alike on all instances.

    The order is that of the hashed names, so that a change of one organisation moves the
    others by its share at most.
    """
    names = sorted(quotas, key=lambda name: xxh3_64_intdigest(name.encode()))
    total = sum(quotas[name].rate for name in names)
    if total <= 0.0:
        return {}
    widths = [quotas[name].rate / total for name in names]
    starts = accumulate(widths, initial=0.0)
    return {
        name: Arc(start, width)
        for name, start, width in zip(names, starts, widths, strict=False)
    }


def choose_by_arc(shares: Sequence[float], arc: Arc, rng: Random) -> int:
    """Return which of the databases with these shares of the reads serves a read.

    The databases must be in the same order on all instances.
    """
    point = (arc.start + rng.random() * arc.width) % 1.0 * sum(shares)
    ends = list(accumulate(shares))
    return next((index for index, end in enumerate(ends) if point < end), len(ends) - 1)
