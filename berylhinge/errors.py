"""Define the typed errors that name what was got, expected and the remedy."""

from __future__ import annotations

from typing import NamedTuple

from .reasons import REFUSAL_KINDS, RefusalReason
from .types import Outcome


class Refusal(NamedTuple):
    """Carry one truthful refusal to the caller."""

    reason: RefusalReason
    outcome: Outcome
    detail: str
    retry_after_seconds: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return REFUSAL_KINDS[self.reason].status


def refuse(
    reason: RefusalReason,
    detail: str,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_seconds: float | None = None,
) -> Refusal:
    """Build a refusal, not run unless stated otherwise."""
    after = retry_after_seconds
    if after is None:
        after = REFUSAL_KINDS[reason].retry_after_seconds
    return Refusal(reason, outcome, detail, after)


class FieldError(NamedTuple):
    """Locate one bad field of a document."""

    path: str
    got: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        """Return the one-line message."""
        return f"{self.path}: got {self.got}, expected {self.expected}; {self.remedy}"


class BerylhingeError(Exception):
    """Be the base of the errors raised across module bounds."""


class RefusedError(BerylhingeError):
    """Raise a refusal through a call stack of the shell."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(f"{refusal.reason}: {refusal.detail}")
        self.refusal = refusal


class DocumentError(BerylhingeError):
    """Reject a settings or declaration document."""

    def __init__(self, fields: tuple[FieldError, ...]) -> None:
        """Keep every bad field."""
        super().__init__("; ".join(str(field) for field in fields))
        self.fields = fields
