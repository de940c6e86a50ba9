"""Hold how far the store's changes are known here, and as of when that is confirmed."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.catalogue import NO_DECLARATIONS
from ...core.pooler.store_eras import (
    era_of,
    SETTLE_SECONDS,
    were_written_after_restore,
)
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Declarations
    from ...types import Seconds


class RevisionConfirmation(NamedTuple):
    """Describe the store's newest revision at one moment, and when it became known."""

    revision: int
    confirmed_at: Seconds
    learned_at: Seconds


class StoreProgress:
    """Hold the newest known revision of the store and its confirmation."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.declarations: Declarations = NO_DECLARATIONS
        self.revision = 0
        self.era_began_at: Seconds = float("-inf")
        self.settles_at: Seconds = float("-inf")
        self.knows_former_era = False
        self.are_declarations_written_again = False
        self.confirmed_at: Seconds = float("-inf")
        self.pending_confirmation: RevisionConfirmation | None = None

    def begin_era(self) -> None:
        """Record that a new era of the store becomes known here.

        What the store lost is written again meanwhile, so it confirms nothing at first.
        """
        self.knows_former_era = era_of(self.revision) > 0
        self.are_declarations_written_again = False
        self.era_began_at = now_seconds()
        self.settles_at = self.era_began_at + SETTLE_SECONDS

    def end_settling(self) -> None:
        """Record that what the store had lost is written again."""
        self.settles_at = float("-inf")

    def is_settled(self) -> bool:
        """Return whether what the store had lost is written again."""
        return now_seconds() >= self.settles_at

    def record_declarations(self, version: int, revision: int, known: int) -> None:
        """Record the revision of the stored declarations; ``known`` was the last one."""
        if self.knows_former_era and were_written_after_restore(
            revision, known, is_newer=version >= self.declarations.version
        ):
            self.are_declarations_written_again = True

    def confirm_revision(self, revision: int, at: Seconds) -> None:
        """Record which revision was the store's newest at a moment.

        Once this instance has every change up to that revision, its declarations are
        confirmed as of that moment; until then the confirmation is pending. A revision
        of an earlier era confirms nothing: what the store held then is not known here.
        """
        if era_of(revision) < era_of(self.revision):
            return
        if revision <= self.revision and self.declarations.version:
            if at >= self.settles_at or self.are_declarations_written_again:
                self.confirmed_at = max(self.confirmed_at, at)
        elif self.pending_confirmation is None:
            self.pending_confirmation = RevisionConfirmation(
                revision, at, now_seconds()
            )
        elif at > self.pending_confirmation.confirmed_at:
            self.pending_confirmation = self.pending_confirmation._replace(
                revision=revision, confirmed_at=at
            )

    def advance_revision(self, revision: int) -> None:
        """Record that every change up to a revision has been applied here."""
        self.revision = max(self.revision, revision)
        pending = self.pending_confirmation
        if pending is not None and pending.revision <= self.revision:
            self.pending_confirmation = None
            self.confirm_revision(pending.revision, pending.confirmed_at)

    def missed_revision(self) -> int | None:
        """Return a revision that exists and was not delivered here, if one is known."""
        pending = self.pending_confirmation
        if pending is None or pending.revision <= self.revision:
            return None
        return pending.revision

    def missed_since(self) -> Seconds:
        """Return when the pending confirmation became known, 0 if there is none."""
        pending = self.pending_confirmation
        return 0.0 if pending is None else pending.learned_at
