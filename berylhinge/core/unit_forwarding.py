"""Forward requests for rate units to members that may hold some."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .buckets import is_scarce
from .permits import SendMessage
from .rates import (
    find_coordinator,
    rank_lenders,
    rank_unit_holders,
    RatesState,
)
from .unit_messages import UnitRequest

if TYPE_CHECKING:
    from random import Random

    from ..types import Seconds
    from .buckets import RateLimit
    from .roster import Member


MAX_FORWARD_TARGETS = 2


def forward_request(
    state: RatesState,
    request: UnitRequest,
    limit: RateLimit | None,
    now: Seconds,
    rng: Random,
) -> bool:
    """Forward a request, and tell whether any member was left to receive it.

    A request for scarce units goes to each lender in turn and then to the borrower with
    most units; any other is forwarded once, to two unit holders.
    """
    organisation = request.organisation
    candidates = rank_unit_holders(state, organisation, now, exclude=request.requester)
    if not limit or not is_scarce(
        limit, request.request_cost, len(state.roster.members)
    ):
        chosen = _choose_two(candidates, rng) if request.hop_count == 1 else []
    else:
        lenders = rank_lenders(state, organisation, limit, request.request_cost, now)
        start = lenders.index(state.me) + 1 if state.me in lenders else 0
        others = [
            member
            for member in lenders[start:] + lenders[:start]
            if member not in (state.me, request.requester)
        ]
        visits = len(lenders) - (request.requester in lenders)
        borrowers = [member for member in candidates if member not in lenders]
        chosen = others[:1] if request.hop_count < visits else borrowers[:1]
        chosen = chosen if request.hop_count <= visits else []
    state.outbox.extend(SendMessage(member, request) for member in chosen)
    return bool(chosen)


def build_holding_reports(state: RatesState, now: Seconds) -> list[SendMessage]:
    """Return messages that report this instance's units to each coordinator.

    A new epoch may have changed the coordinators. The report is a request for 0 units,
    which is never answered.
    """
    sends = []
    for organisation, bucket in state.buckets.items():
        coordinator = find_coordinator(state, organisation, now)
        if not bucket.units or coordinator is None or coordinator == state.me:
            continue
        report = UnitRequest(
            state.roster.epoch,
            organisation,
            state.me,
            0,
            0.0,
            bucket.units,
            bucket.demand_per_second,
            bucket.request_cost,
            1,
        )
        sends.append(SendMessage(coordinator, report))
    return sends


def _choose_two(candidates: list[Member], rng: Random) -> list[Member]:
    """Return the holder of most units and another at random."""
    if len(candidates) <= MAX_FORWARD_TARGETS:
        return candidates
    return [candidates[0], rng.choice(candidates[1:])]
