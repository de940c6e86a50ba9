"""Define the messages with which one instance acts on behalf of another."""

from __future__ import annotations

from typing import NamedTuple

from ..core.requests import CallResult, StatementCall, TransactionCall
from ..errors import Refusal
from ..types import GroupId, KeyId, OrganisationId, Seconds, UpstreamId
from .kinds import sent_as


@sent_as("ForwardStatement")
class ForwardStatement(NamedTuple):
    """Ask a serving instance to run a statement, already admitted and rate-limited."""

    group: GroupId
    organisation: OrganisationId
    key: KeyId
    call: StatementCall


@sent_as("ForwardTransaction")
class ForwardTransaction(NamedTuple):
    """Ask the instance that owns a transaction to act on it."""

    group: GroupId
    organisation: OrganisationId
    key: KeyId
    call: TransactionCall


@sent_as("ForwardAnswer")
class ForwardAnswer(NamedTuple):
    """Return the served answer or the refusal; the other one is None."""

    served: CallResult | None
    refusal: Refusal | None


@sent_as("ReachReport")
class UnreachableReport(NamedTuple):
    """Report for how long the sender has failed to reach members of a group."""

    group: GroupId
    unreachable: dict[UpstreamId, Seconds]
