"""Admit requests within an organisation's rate and burst from units in escrow.

Escrow: O'Neil, "The escrow transactional method", 1986. Units move between
instances on demand (demarcation: Barbará and Garcia-Molina, 1994); the giver
deducts before it sends, so the units held never sum to more than the whole.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING, TypeAlias

from ..reasons import RefusalReason
from ..types import OrganisationId, Seconds
from .buckets import (
    Bucket,
    is_scarce,
    lenders,
    low_water,
    needed,
    refill,
    retune,
    review,
    target,
    Terms,
)
from .permits import Send
from .roster import has_member, Member, ranked, Roster, seat

if TYPE_CHECKING:
    from collections.abc import Mapping


WAIT_LIMIT_SECONDS = 0.5
WAIT_STEP_SECONDS = 0.004
WAITERS_SECONDS = 0.1
ASK_TIMEOUT_SECONDS = 0.1
ASK_PAUSE_SECONDS = 0.01
REVIEW_SECONDS = 0.25
SUSPECT_SECONDS = 1.0


class Admitted(NamedTuple):
    """Let the request run; its cost is spent, whatever becomes of it."""


class Wait(NamedTuple):
    """Call again after so long: units are on their way."""

    seconds: Seconds


class Refused(NamedTuple):
    """Turn the request away, not run."""

    reason: RefusalReason
    retry_after_seconds: Seconds


Admission: TypeAlias = Admitted | Wait | Refused
ADMITTED = Admitted()


class Ask(NamedTuple):
    """Ask for units and tokens; ``held``, ``demand`` and ``cost`` are the asker's."""

    epoch: int
    organisation: OrganisationId
    asker: Member
    units: int
    tokens: float
    held: int
    demand: float
    cost: float
    hop: int


class Give(NamedTuple):
    """Pass units on; the same message again has the same sequence.

    Everything of the giver under ``floor`` has been taken or is lost.
    """

    epoch: int
    organisation: OrganisationId
    giver: Member
    receiver: Member
    sequence: int
    floor: int
    units: int
    tokens: float
    held: int
    demand: float


class Taken(NamedTuple):
    """Confirm that a transfer was taken, now or before."""

    epoch: int
    giver: Member
    receiver: Member
    sequence: int


class Deny(NamedTuple):
    """Tell the asker that there is nothing to spare."""

    epoch: int
    organisation: OrganisationId
    denier: Member
    asker: Member


class Holding(NamedTuple):
    """Count the units of one organisation."""

    organisation: OrganisationId
    units: int


class Report(NamedTuple):
    """Remember what another instance last said that it holds."""

    units: int
    demand: float


class Pending(NamedTuple):
    """Keep a transfer until it is confirmed."""

    message: Give
    resend_at: Seconds
    pause: Seconds


class Seen(NamedTuple):
    """Remember a giver's transfers that were taken, from its floor upwards."""

    floor: int
    above: frozenset[int]


class RatesState(NamedTuple):
    """Hold one instance's units; the dictionaries are changed in place."""

    me: Member
    roster: Roster
    terms: dict[OrganisationId, Terms]
    buckets: dict[OrganisationId, Bucket]
    reports: dict[OrganisationId, dict[Member, Report]]
    pending: dict[int, Pending]
    seen: dict[Member, Seen]
    suspects: dict[Member, Seconds]
    outbox: list[Send]
    spent: set[OrganisationId]
    snapshot: tuple[Holding, ...] = ()
    sequence: int = 0
    reviewed_at: Seconds = float("-inf")
    leaving: bool = False


def new_rates(me: Member) -> RatesState:
    """Return a state that holds nothing."""
    return RatesState(me, Roster(), {}, {}, {}, {}, {}, {}, [], set())


def admit(
    state: RatesState,
    organisation: OrganisationId,
    cost: float,
    now: Seconds,
    *,
    permit_until: Seconds,
    waited: Seconds = 0.0,
) -> Admission:
    """Spend the cost, wait for units under way, or refuse.

    Charge each caller's request once: a retry or a forwarded request is not charged
    again. Send what ``state.outbox`` holds after each call.
    """
    terms = state.terms.get(organisation)
    if terms is None or now >= permit_until:
        return Refused(RefusalReason.RATE_UNPROVEN, 1.0)
    bucket = state.buckets.get(organisation)
    if bucket is None:
        bucket = state.buckets[organisation] = Bucket(now)
    if waited <= 0.0:
        bucket.counted += cost
        bucket.cost = max(cost, 0.9 * bucket.cost)
        bucket.seen_at = now
    refill(bucket, terms, now)
    if bucket.tokens >= cost:
        bucket.tokens -= cost
        if waited > 0.0:
            bucket.waiting = max(0, bucket.waiting - 1)
        if bucket.tokens < low_water(bucket):
            _run_low(state, organisation, bucket, terms, now)
        return ADMITTED
    return _short(state, organisation, bucket, terms, cost, now, waited)


def _run_low(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    terms: Terms,
    now: Seconds,
) -> None:
    """Ask early, or return scarce units as soon as they are spent."""
    if is_scarce(terms, bucket.cost, len(state.roster.members)):
        if bucket.tokens < bucket.cost:
            state.spent.add(organisation)
    elif now >= bucket.ask_after:
        ask(state, organisation, bucket, terms, now)


def _short(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    terms: Terms,
    cost: float,
    now: Seconds,
    waited: Seconds,
) -> Admission:
    """Wait while units may come, and refuse once too many wait or have waited."""
    if now >= bucket.ask_after:
        ask(state, organisation, bucket, terms, now)
    if now - bucket.waited_at > 2 * WAIT_LIMIT_SECONDS:
        bucket.waiting = 0
    room = waited > 0.0 or bucket.waiting < _waiters(terms)
    denied = now < bucket.denied_until
    if cost > terms.burst or waited >= WAIT_LIMIT_SECONDS or (denied and not room):
        bucket.waiting = max(0, bucket.waiting - (waited > 0.0))
        pause = max(bucket.denied_until - now, WAIT_STEP_SECONDS)
        return Refused(RefusalReason.RATE_EXCEEDED, pause)
    bucket.waiting += waited <= 0.0
    bucket.waited_at = now
    left = WAIT_LIMIT_SECONDS - waited
    pause = bucket.denied_until - now if denied else WAIT_STEP_SECONDS
    return Wait(min(max(pause, WAIT_STEP_SECONDS), max(left, 1e-6)))


def _waiters(terms: Terms) -> float:
    """Return how many requests may wait here although peers have nothing to spare."""
    return max(3.0, terms.rate * WAITERS_SECONDS)


def ask(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    terms: Terms,
    now: Seconds,
) -> None:
    """Ask the organisation's hub, or as the hub another holder, for what is short."""
    if isinstance(bucket.asked, Member):
        state.suspects[bucket.asked] = now + SUSPECT_SECONDS
    to = _giver(state, organisation, bucket, terms, now)
    bucket.asked = to
    bucket.ask_after = now + ASK_TIMEOUT_SECONDS
    if to is None:
        bucket.denied_until = bucket.ask_after
        return
    units = max(0, needed(bucket, terms, now) - bucket.units)
    tokens = max(0.0, target(bucket) - bucket.tokens)
    hop = 0 if hub(state, organisation, now) == to else 1
    if is_scarce(terms, bucket.cost, len(state.roster.members)):
        wanted = bucket.cost * max(1, bucket.waiting)
        units, tokens = 0, max(0.0, min(wanted, terms.burst) - bucket.tokens)
        hop = 0
    message = Ask(
        state.roster.epoch,
        organisation,
        state.me,
        units,
        tokens,
        bucket.units,
        bucket.demand,
        bucket.cost,
        hop,
    )
    state.outbox.append(Send(to, message))


def hub(state: RatesState, organisation: OrganisationId, now: Seconds) -> Member | None:
    """Return the first member for the organisation that answers."""
    for member in ranked(state.roster.members, f"rate/{organisation}", 8):
        if state.suspects.get(member, 0.0) <= now:
            return member
    return None


def _giver(
    state: RatesState,
    organisation: OrganisationId,
    bucket: Bucket,
    terms: Terms,
    now: Seconds,
) -> Member | None:
    """Return whom to ask: the hub; for the hub, the holder of most units."""
    if is_scarce(terms, bucket.cost, len(state.roster.members)):
        return next_lender(state, organisation, terms, bucket.cost, state.me, now)
    first = hub(state, organisation, now)
    if first != state.me:
        return first
    found = holders(state, organisation, now, exclude=state.me)
    return found[0] if found else None


def lending(
    state: RatesState,
    organisation: OrganisationId,
    terms: Terms,
    cost: float,
    now: Seconds,
) -> list[Member]:
    """Return the hubs over which an organisation's scarce units are spread."""
    members = state.roster.members
    chosen = ranked(members, f"rate/{organisation}", 8)
    found = answering(state, list(chosen), now) or list(chosen)
    return found[: lenders(terms, cost, len(members))]


def next_lender(
    state: RatesState,
    organisation: OrganisationId,
    terms: Terms,
    cost: float,
    after: Member,
    now: Seconds,
) -> Member | None:
    """Return the lender after another; for who is none, one by its place in the roster."""
    ring = lending(state, organisation, terms, cost, now)
    if after in ring:
        ring = ring[ring.index(after) + 1 :] + ring[: ring.index(after)]
        if ring:
            return ring[0]
        # Nobody else answers: ask the next all the same, rather than nobody.
        others = ranked(state.roster.members, f"rate/{organisation}", 2)
        return next((other for other in others if other != after), None)
    if not ring:
        return None
    return ring[seat(state.roster, after) % len(ring)]


def holders(
    state: RatesState,
    organisation: OrganisationId,
    now: Seconds,
    *,
    exclude: Member,
) -> list[Member]:
    """Return the known holders, most units first; all members when none is known."""
    known = state.reports.get(organisation, {})
    found = [
        (report.units, member)
        for member, report in known.items()
        if report.units
        and member not in (state.me, exclude)
        and has_member(state.roster, member)
    ]
    if not found:
        others = ranked(state.roster.members, f"rate/{organisation}", 8)
        found = [(0, other) for other in others if other not in (state.me, exclude)]
    named = [member for _, member in sorted(found, reverse=True)]
    return answering(state, named, now) or named


def answering(state: RatesState, members: list[Member], now: Seconds) -> list[Member]:
    """Return those that did not lately fail to answer."""
    return [member for member in members if state.suspects.get(member, 0.0) <= now]


def configure(
    state: RatesState, terms: Mapping[OrganisationId, Terms], now: Seconds
) -> None:
    """Take the organisations' terms of a newer configuration, in force at once."""
    for organisation, bucket in state.buckets.items():
        old = state.terms.get(organisation)
        new = terms.get(organisation)
        if old != new:
            retune(bucket, old, new, now)
    state.terms.clear()
    state.terms.update(terms)


def review_all(state: RatesState, now: Seconds) -> None:
    """Fold in the demand, and ask early where units fall short of it."""
    for organisation, bucket in state.buckets.items():
        terms = state.terms.get(organisation)
        review(bucket, now)
        if terms is None or now < bucket.ask_after:
            continue
        if is_scarce(terms, bucket.cost, len(state.roster.members)):
            continue
        refill(bucket, terms, now)
        short = needed(bucket, terms, now) - bucket.units
        if short * 8 > bucket.units:
            ask(state, organisation, bucket, terms, now)
