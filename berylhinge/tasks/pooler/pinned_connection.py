"""Describe the connection that an open transaction keeps."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.statements import ErrorCode, refused_result
from .connection_pool import UnitFailed

if TYPE_CHECKING:
    from ...types import OrganisationId, Seconds
    from .database_connection import DatabaseConnection


class PinnedConnection(NamedTuple):
    """Describe the connection of an open transaction, and when its idle limit ends.

    A transaction that is not read-only ``needs_primary``.
    """

    connection: DatabaseConnection
    expires_at: Seconds
    needs_primary: bool


def lost_failure() -> UnitFailed:
    """Return the failure of a statement whose transaction is not open here."""
    detail = "the transaction is not open at this instance; start it again"
    return UnitFailed(refused_result(ErrorCode.ABORTED, detail), "transaction-lost")


def moved_failure(organisation: OrganisationId) -> UnitFailed:
    """Return the failure of a statement for another organisation's transaction."""
    detail = f"the transaction is not one of {organisation}; start it again"
    return UnitFailed(refused_result(ErrorCode.ABORTED, detail), "key-moved")
