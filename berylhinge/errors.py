"""Define typed errors that give the value got, the value expected and the remedy."""

from __future__ import annotations

from typing import NamedTuple

from .reasons import REFUSAL_KINDS, RefusalReason
from .types import StatementOutcome


class Refusal(NamedTuple):
    """Describe to the caller why a request was refused and whether it may have run."""

    reason: RefusalReason
    outcome: StatementOutcome
    detail: str
    retry_after_seconds: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return REFUSAL_KINDS[self.reason].status


def make_refusal(
    reason: RefusalReason,
    detail: str,
    *,
    outcome: StatementOutcome = StatementOutcome.NOT_RUN,
    retry_after_seconds: float | None = None,
) -> Refusal:
    """Build a refusal; its outcome is not-run unless given otherwise."""
    after = retry_after_seconds
    if after is None:
        after = REFUSAL_KINDS[reason].retry_after_seconds
    return Refusal(reason, outcome, detail, after)


class FieldError(NamedTuple):
    """Describe one invalid field of a document by its path."""

    path: str
    got: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        """Return the one-line message."""
        return f"{self.path}: got {self.got}, expected {self.expected}; {self.remedy}"


class BerylhingeError(Exception):
    """Base class of the errors raised across module boundaries."""


class RefusedError(BerylhingeError):
    """Carry a refusal up the call stack of code that does I/O."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal."""
        super().__init__(f"{refusal.reason}: {refusal.detail}")
        self.refusal = refusal


class DocumentError(BerylhingeError):
    """Report the invalid fields of a settings or declaration document."""

    def __init__(self, fields: tuple[FieldError, ...]) -> None:
        """Store every invalid field."""
        super().__init__("; ".join(str(field) for field in fields))
        self.fields = fields
