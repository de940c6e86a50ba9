"""Describe the connection that an open transaction keeps."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import Seconds
    from .database_connection import DatabaseConnection


class PinnedConnection(NamedTuple):
    """Describe the connection of an open transaction, and when its idle limit ends.

    A transaction that is not read-only ``needs_primary``.
    """

    connection: DatabaseConnection
    expires_at: Seconds
    needs_primary: bool
