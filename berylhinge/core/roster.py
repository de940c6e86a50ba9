"""Maintain the fleet's roster: the versioned list of who may hold rate units.

The roster is one document in the platform's store. It changes by compare-and-swap, and
each change begins an epoch. A member is one incarnation of an instance. The document
keeps the changes since the last reconciled epoch, which is the last one for which all
units of removed members are accounted for. From these changes the attester sets can be
derived for every epoch that a removed member may still believe to be current.
"""

from __future__ import annotations

from bisect import bisect_left
from functools import lru_cache
from typing import NamedTuple, TYPE_CHECKING

from ..types import InstanceId, Seconds
from .rendezvous import rank_nodes, top_nodes

if TYPE_CHECKING:
    from collections.abc import Iterable


ROSTER_KEY = "fleet/roster"
ATTESTER_COUNT = 5
PROPOSAL_STAGGER_SECONDS = 0.25
MAX_UNRECONCILED_CHANGES = 400


class Member(NamedTuple):
    """Identify one incarnation of an instance."""

    instance: InstanceId
    incarnation: int


class HashedMembers(tuple[Member, ...]):
    """Represent a roster's members with a cached hash, used by each cached ranking."""

    def __hash__(self) -> int:
        """Return the hash, computed on the first call only."""
        known: int | None = self.__dict__.get("known")
        if known is None:
            known = self.__dict__["known"] = super().__hash__()
        return known


class RosterChange(NamedTuple):
    """Represent one epoch's change; ``resigned`` members promised to stop spending."""

    epoch: int
    added: tuple[Member, ...] = ()
    removed: tuple[Member, ...] = ()
    resigned: tuple[Member, ...] = ()


class Roster(NamedTuple):
    """Represent the members of an epoch, and the changes after the reconciled epoch.

    ``joined`` gives the epoch in which each member joined, in the order of ``members``:
    a member that was removed and added again, even without noticing, finds a different
    epoch there and drops its units.
    """

    epoch: int = 0
    reconciled_epoch: int = 0
    members: tuple[Member, ...] = ()
    joined: tuple[int, ...] = ()
    changes: tuple[RosterChange, ...] = ()


class RemovedMember(NamedTuple):
    """Describe a removed member and each attester set that it may still rely on."""

    member: Member
    epoch: int
    attester_sets: tuple[tuple[Member, ...], ...]


def build_next_roster(
    roster: Roster,
    live: Iterable[Member],
    *,
    resigned: Iterable[Member] = (),
) -> Roster | None:
    """Return the next roster for the live members; none without a change to make.

    None is also returned while ``MAX_UNRECONCILED_CHANGES`` changes are unreconciled.
    """
    resigning = set(resigned)
    expected = set(live) - resigning
    present = set(roster.members)
    leaving = present - expected
    if expected == present or len(roster.changes) >= MAX_UNRECONCILED_CHANGES:
        return None
    change = RosterChange(
        roster.epoch + 1,
        tuple(sorted(expected - present)),
        tuple(sorted(leaving - resigning)),
        tuple(sorted(leaving & resigning)),
    )
    return apply_change(roster, change)


def apply_change(roster: Roster, change: RosterChange) -> Roster:
    """Apply a change, which must be that of the next epoch."""
    if change.epoch != roster.epoch + 1:
        raise ValueError(
            f"got epoch {change.epoch}, expected {roster.epoch + 1}; fetch the roster"
        )
    leaving = {*change.removed, *change.resigned}
    joined_epochs = {
        member: epoch
        for member, epoch in zip(roster.members, roster.joined, strict=True)
        if member not in leaving
    }
    joined_epochs.update(dict.fromkeys(change.added, change.epoch))
    members = HashedMembers(sorted(joined_epochs))
    joined = tuple(joined_epochs[member] for member in members)
    changes = (*roster.changes, change)
    return Roster(change.epoch, roster.reconciled_epoch, members, joined, changes)


def member_index(roster: Roster, member: Member) -> int:
    """Return the member's index in the sorted list, or where it would be inserted."""
    return bisect_left(roster.members, member)


def has_member(roster: Roster, member: Member) -> bool:
    """Tell whether the member is in the sorted list."""
    position = member_index(roster, member)
    return position < len(roster.members) and roster.members[position] == member


def joined_epoch(roster: Roster, member: Member) -> int | None:
    """Return the epoch in which the member last joined, or none."""
    if member not in roster.members:
        return None
    return roster.joined[roster.members.index(member)]


def drop_reconciled_changes(roster: Roster, epoch: int) -> Roster:
    """Drop the changes up to an epoch for which all units are accounted for."""
    if epoch <= roster.reconciled_epoch:
        return roster
    kept = tuple(change for change in roster.changes if change.epoch > epoch)
    return roster._replace(reconciled_epoch=epoch, changes=kept)


def proposal_delay(roster: Roster, me: Member) -> Seconds:
    """Return the delay before a proposal, by rank, so that usually one member wins."""
    ranking = rank_members(roster.members, f"proposer/{roster.epoch}")
    position = ranking.index(me) if me in ranking else len(ranking)
    return min(position, 8) * PROPOSAL_STAGGER_SECONDS


def find_minter(roster: Roster) -> Member | None:
    """Return the one member that mints lost units in this epoch."""
    # Instances of all versions must rank by the same key.
    first = rank_members(roster.members, f"keeper/{roster.epoch}", 1)
    return first[0] if first else None


@lru_cache(maxsize=4096)
def choose_attesters(members: tuple[Member, ...], member: Member) -> tuple[Member, ...]:
    """Return the attesters of a member: those that confirm its membership."""
    others = tuple(other for other in members if other != member)
    # Instances of all versions must rank by the same key.
    return rank_members(others, f"voucher/{member_label(member)}", ATTESTER_COUNT)


def majority_size(count: int) -> int:
    """Return the size of a majority of ``count`` attesters; 0 for 0."""
    return count // 2 + 1 if count else 0


def unreconciled_removals(roster: Roster) -> tuple[RemovedMember, ...]:
    """Return the removed members with units unaccounted for, without resigned ones."""
    members = set(roster.members)
    sets: dict[Member, set[tuple[Member, ...]]] = {}
    epochs: dict[Member, int] = {}
    for change in reversed(roster.changes):
        members = (members - set(change.added)) | {*change.removed, *change.resigned}
        for removed in change.removed:
            epochs[removed] = change.epoch
            sets[removed] = set()
        members_before = tuple(sorted(members))
        for removed, member_sets in sets.items():
            if removed in members:
                member_sets.add(choose_attesters(members_before, removed))
    return tuple(
        RemovedMember(removed, epochs[removed], tuple(sorted(sets[removed])))
        for removed in sorted(sets)
    )


@lru_cache(maxsize=4096)
def rank_members(
    members: tuple[Member, ...], key: str, count: int | None = None
) -> tuple[Member, ...]:
    """Rank members for a key, and cache the result."""
    by_label = {member_label(member): member for member in members}
    labels = (
        rank_nodes(by_label, key) if count is None else top_nodes(by_label, key, count)
    )
    return tuple(by_label[name] for name in labels)


def member_label(member: Member) -> str:
    """Return the member as text, ``instance#incarnation``."""
    return f"{member.instance}#{member.incarnation}"
