"""Pass a wish for units on to who may have them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .buckets import is_scarce
from .permits import Send
from .rates import Ask, holders, hub, lending, RatesState

if TYPE_CHECKING:
    from random import Random

    from ..types import Seconds
    from .buckets import Terms
    from .roster import Member


FORWARDS = 2


def pass_on(
    state: RatesState, rest: Ask, terms: Terms | None, now: Seconds, rng: Random
) -> bool:
    """Pass a wish on: along the lenders and then to who borrowed, or to two holders."""
    name = rest.organisation
    found = holders(state, name, now, exclude=rest.asker)
    if not terms or not is_scarce(terms, rest.cost, len(state.roster.members)):
        found = _two(found, rng) if rest.hop == 1 else []
    else:
        ring = lending(state, name, terms, rest.cost, now)
        turn = ring.index(state.me) + 1 if state.me in ring else 0
        others = [
            m for m in ring[turn:] + ring[:turn] if m not in (state.me, rest.asker)
        ]
        visits = len(ring) - (rest.asker in ring)
        borrowers = [member for member in found if member not in ring]
        found = others[:1] if rest.hop < visits else borrowers[:1]
        found = found if rest.hop <= visits else []
    state.outbox.extend(Send(holder, rest) for holder in found)
    return bool(found)


def announcements(state: RatesState, now: Seconds) -> list[Send]:
    """Tell each organisation's hub, which a new epoch may have moved, who holds units.

    A wish for nothing carries the news and is never answered.
    """
    sends = []
    for organisation, bucket in state.buckets.items():
        to = hub(state, organisation, now)
        if not bucket.units or to is None or to == state.me:
            continue
        wish = Ask(
            state.roster.epoch,
            organisation,
            state.me,
            0,
            0.0,
            bucket.units,
            bucket.demand,
            bucket.cost,
            1,
        )
        sends.append(Send(to, wish))
    return sends


def _two(found: list[Member], rng: Random) -> list[Member]:
    """Return the holder of most units, and one other by chance."""
    if len(found) <= FORWARDS:
        return found
    return [found[0], rng.choice(found[1:])]
