"""Define the messages by which one instance works for another."""

from __future__ import annotations

from typing import NamedTuple

from ..core.requests import Served, StatementCall, TransactionCall
from ..errors import Refusal
from ..types import GroupId, KeyId, OrganisationId, Seconds, UpstreamId
from .kinds import sent_as


@sent_as("ForwardStatement")
class ForwardStatement(NamedTuple):
    """Ask a serving instance to run a statement already admitted and charged."""

    group: GroupId
    organisation: OrganisationId
    key: KeyId
    call: StatementCall


@sent_as("ForwardTransaction")
class ForwardTransaction(NamedTuple):
    """Ask a transaction's owner to act on it."""

    group: GroupId
    organisation: OrganisationId
    key: KeyId
    call: TransactionCall


@sent_as("ForwardAnswer")
class ForwardAnswer(NamedTuple):
    """Return what was served, or the refusal."""

    served: Served | None
    refusal: Refusal | None


@sent_as("ReachReport")
class ReachReport(NamedTuple):
    """Tell for how long the sender has failed to reach members of a group."""

    group: GroupId
    unreachable: dict[UpstreamId, Seconds]
