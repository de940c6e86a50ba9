"""Messages that request, transfer, acknowledge or deny rate units."""

from __future__ import annotations

from typing import NamedTuple

from ..types import OrganisationId
from ..wire.kinds import sent_as
from .roster import Member


@sent_as("Ask")
class UnitRequest(NamedTuple):
    """Request units and tokens from another member.

    ``held_units``, ``demand_per_second`` and ``request_cost``, the last two in tokens,
    describe the requester. ``hop_count`` counts forwards; it starts at 0, but at 1 in a
    coordinator's own request and in a report of held units.
    """

    epoch: int
    organisation: OrganisationId
    requester: Member
    units: int
    tokens: float
    held_units: int
    demand_per_second: float
    request_cost: float
    hop_count: int


@sent_as("Give")
class UnitTransfer(NamedTuple):
    """Transfer units with their tokens; a resent transfer keeps its sequence.

    Each transfer of the sender with a sequence below ``lowest_pending`` has been
    acknowledged or is lost. ``held_units`` and ``demand_per_second`` (tokens) describe
    the sender.
    """

    epoch: int
    organisation: OrganisationId
    sender: Member
    receiver: Member
    sequence: int
    lowest_pending: int
    units: int
    tokens: float
    held_units: int
    demand_per_second: float


@sent_as("Taken")
class TransferAck(NamedTuple):
    """Acknowledge a transfer, whether it arrived for the first time or again."""

    epoch: int
    sender: Member
    receiver: Member
    sequence: int


@sent_as("Deny")
class UnitDenial(NamedTuple):
    """Tell the requester that the denier has no units to spare."""

    epoch: int
    organisation: OrganisationId
    denier: Member
    requester: Member
