"""Decide whether a write survived when its primary was superseded."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from ..types import LogPoint
from .group_view import is_acknowledged

if TYPE_CHECKING:
    from ..types import Term
    from ..wire.upstream import EntryAnswer
    from .group_view import GroupView


class WriteOutcome(StrEnum):
    """Name what is proven about a write.

    ``ACKNOWLEDGED``: a majority holds it. ``NOT_RUN``: no later log can hold it.
    ``PENDING``: neither is proven yet.
    """

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not-run"
    PENDING = "pending"


def decide_by_view(view: GroupView, written: LogPoint) -> WriteOutcome:
    """Decide a write by the evidence in the group view alone."""
    if is_acknowledged(view, written.term, written):
        return WriteOutcome.ACKNOWLEDGED
    return WriteOutcome.PENDING


def decide_by_entry(
    view: GroupView, written: LogPoint, answer: EntryAnswer
) -> WriteOutcome:
    """Decide a write by the entry at its position in the log of a newer confirmed term.

    A log whose last entry is of a confirmed newer term holds every entry that this
    term inherited. If the write is among them, a majority holds it. Otherwise its
    position is taken or its term is over, so no later log can hold it.
    """
    decided = decide_by_view(view, written)
    if decided is not WriteOutcome.PENDING:
        return decided
    if not _is_decisive(view, written.term, answer):
        return WriteOutcome.PENDING
    if answer["entry_term"] == written.term:
        return WriteOutcome.ACKNOWLEDGED
    return WriteOutcome.NOT_RUN


def _is_decisive(view: GroupView, term: Term, answer: EntryAnswer) -> bool:
    status = answer["status"]
    log_term = status["log_term"]
    last = LogPoint(*status["last"])
    return log_term > term and last.term == log_term and log_term in view.confirmed
