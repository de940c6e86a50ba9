"""Describe a statement that asks for a slot of a database, and its refusal."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import AccessMode, OrganisationId, Seconds
    from ...wire.pooling import ExecuteRequest

# Reasons of refusals for lack of room: the organisation's own excess, the work that
# only a primary can run, or the load of the database.
OVER_SHARE, PRIMARY_BUSY, NO_ROOM = "over-share", "primary-busy", "no-room"
FAIR_REFUSAL_REASONS = frozenset({OVER_SHARE, PRIMARY_BUSY, NO_ROOM})


class SlotClaim(NamedTuple):
    """Describe a statement that asks for a slot.

    One of an open transaction is ``pinned``. A read that could run at a replica
    ``yields`` at a primary. It is late after ``goal_at`` and useless after
    ``give_up_at``.
    """

    organisation: OrganisationId
    priority: int
    access: AccessMode
    pinned: bool
    yields: bool
    goal_at: Seconds
    give_up_at: Seconds


class SlotRefusal(NamedTuple):
    """Tell why a statement gets no slot, and when room is expected for another."""

    reason: str
    detail: str
    retry_after_seconds: Seconds = 0.0


def claim_of(
    request: ExecuteRequest,
    arrived_at: Seconds,
    deadline: Seconds,
    *,
    pinned: bool,
    yields: bool,
) -> SlotClaim:
    """Return the claim of a statement that arrived at a database's holder."""
    return SlotClaim(
        request.organisation,
        request.priority,
        request.access,
        pinned,
        yields,
        arrived_at + request.latency_goal_seconds,
        deadline,
    )
