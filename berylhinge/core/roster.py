"""Keep the fleet's roster, the one document that names who may hold units.

The document lives in the platform's store and changes by compare-and-swap, one
epoch a change. A member is an instance's incarnation. Changes since the last
settled epoch stay in the document, so that the voucher sets of every epoch that a
removed member may still believe in can be worked out again.
"""

from __future__ import annotations

from bisect import bisect_left
from functools import lru_cache
from typing import NamedTuple, TYPE_CHECKING

from ..types import InstanceId, Seconds
from .rendezvous import rank, top

if TYPE_CHECKING:
    from collections.abc import Iterable


ROSTER_KEY = "fleet/roster"
VOUCHERS = 5
PROPOSAL_STAGGER_SECONDS = 0.25
CHANGE_LIMIT = 400


class Member(NamedTuple):
    """Name one incarnation of an instance."""

    instance: InstanceId
    incarnation: int


class Members(tuple[Member, ...]):
    """Keep a roster's members with their hash, which every cached ranking needs."""

    def __hash__(self) -> int:
        """Return the hash, worked out once."""
        known: int | None = self.__dict__.get("known")
        if known is None:
            known = self.__dict__["known"] = super().__hash__()
        return known


class Change(NamedTuple):
    """Record one epoch; ``resigned`` members have sworn to spend nothing more."""

    epoch: int
    added: tuple[Member, ...] = ()
    removed: tuple[Member, ...] = ()
    resigned: tuple[Member, ...] = ()


class Roster(NamedTuple):
    """Name the members, and the changes after the settled epoch.

    ``joined`` gives each member's epoch of joining: a member that was removed and
    added again, perhaps unawares, finds another epoch there and drops its units.
    """

    epoch: int = 0
    settled: int = 0
    members: tuple[Member, ...] = ()
    joined: tuple[int, ...] = ()
    changes: tuple[Change, ...] = ()


class Removed(NamedTuple):
    """Describe a removed member and each voucher set it may still rely on."""

    member: Member
    epoch: int
    voucher_sets: tuple[tuple[Member, ...], ...]


def propose(
    roster: Roster,
    live: Iterable[Member],
    *,
    resigned: Iterable[Member] = (),
) -> Roster | None:
    """Return the next roster for a live list, or none when nothing changes."""
    quitting = set(resigned)
    wanted = set(live) - quitting
    present = set(roster.members)
    gone = present - wanted
    if wanted == present or len(roster.changes) >= CHANGE_LIMIT:
        return None
    change = Change(
        roster.epoch + 1,
        tuple(sorted(wanted - present)),
        tuple(sorted(gone - quitting)),
        tuple(sorted(gone & quitting)),
    )
    return advance(roster, change)


def advance(roster: Roster, change: Change) -> Roster:
    """Apply the change of the very next epoch."""
    if change.epoch != roster.epoch + 1:
        raise ValueError(
            f"got epoch {change.epoch}, expected {roster.epoch + 1}; fetch the roster"
        )
    gone = {*change.removed, *change.resigned}
    seats = {
        member: epoch
        for member, epoch in zip(roster.members, roster.joined, strict=True)
        if member not in gone
    }
    seats.update(dict.fromkeys(change.added, change.epoch))
    members = Members(sorted(seats))
    joined = tuple(seats[member] for member in members)
    changes = (*roster.changes, change)
    return Roster(change.epoch, roster.settled, members, joined, changes)


def seat(roster: Roster, member: Member) -> int:
    """Return the member's place in the sorted list, or where it would stand."""
    return bisect_left(roster.members, member)


def has_member(roster: Roster, member: Member) -> bool:
    """Tell whether the member is in the sorted list."""
    place = seat(roster, member)
    return place < len(roster.members) and roster.members[place] == member


def joined_at(roster: Roster, member: Member) -> int | None:
    """Return the epoch in which the member last joined, or none."""
    if member not in roster.members:
        return None
    return roster.joined[roster.members.index(member)]


def settle(roster: Roster, epoch: int) -> Roster:
    """Drop the changes up to an epoch whose units have all been accounted for."""
    if epoch <= roster.settled:
        return roster
    kept = tuple(change for change in roster.changes if change.epoch > epoch)
    return roster._replace(settled=epoch, changes=kept)


def proposal_delay(roster: Roster, me: Member) -> Seconds:
    """Return how long to wait before proposing, by rank, so that one usually wins."""
    names = ranked(roster.members, f"proposer/{roster.epoch}")
    place = names.index(me) if me in names else len(names)
    return min(place, 8) * PROPOSAL_STAGGER_SECONDS


def keeper(roster: Roster) -> Member | None:
    """Return the one member that mints in this epoch."""
    found = ranked(roster.members, f"keeper/{roster.epoch}", 1)
    return found[0] if found else None


@lru_cache(maxsize=4096)
def vouchers(members: tuple[Member, ...], member: Member) -> tuple[Member, ...]:
    """Return the members that confirm another's membership."""
    others = tuple(other for other in members if other != member)
    return ranked(others, f"voucher/{label(member)}", VOUCHERS)


def majority(count: int) -> int:
    """Return how many of ``count`` vouchers make a majority; none of none."""
    return count // 2 + 1 if count else 0


def unsettled(roster: Roster) -> tuple[Removed, ...]:
    """Return everyone removed since the settled epoch whose units are still out."""
    members = set(roster.members)
    sets: dict[Member, set[tuple[Member, ...]]] = {}
    epochs: dict[Member, int] = {}
    for change in reversed(roster.changes):
        members = (members - set(change.added)) | {*change.removed, *change.resigned}
        for gone in change.removed:
            epochs[gone] = change.epoch
            sets[gone] = set()
        before = tuple(sorted(members))
        for gone, found in sets.items():
            if gone in members:
                found.add(vouchers(before, gone))
    return tuple(
        Removed(gone, epochs[gone], tuple(sorted(sets[gone]))) for gone in sorted(sets)
    )


@lru_cache(maxsize=4096)
def ranked(
    members: tuple[Member, ...], key: str, count: int | None = None
) -> tuple[Member, ...]:
    """Rank members for a key, and keep the answer for the next call."""
    named = {label(member): member for member in members}
    names = rank(named, key) if count is None else top(named, key, count)
    return tuple(named[name] for name in names)


def label(member: Member) -> str:
    """Return the member's text form."""
    return f"{member.instance}#{member.incarnation}"
