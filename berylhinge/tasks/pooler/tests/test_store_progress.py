"""Fault: confirmations by a store that may still lack what a restore lost."""

from __future__ import annotations

import pytest

from ....core.pooler.store_eras import qualify, SETTLE_SECONDS
from .. import store_progress
from ..store_progress import StoreProgress

RESTORED_AT = 100.0


@pytest.fixture
def progress(monkeypatch: pytest.MonkeyPatch) -> StoreProgress:
    """Return what an instance knows after it read the second era."""
    monkeypatch.setattr(store_progress, "now_seconds", lambda: RESTORED_AT)
    found = StoreProgress()
    found.declarations = found.declarations._replace(version=5)
    found.advance_revision(qualify(1, 21))
    found.confirm_revision(qualify(1, 21), 98.0)
    found.begin_era()
    found.advance_revision(qualify(2, 20))
    return found


@pytest.mark.parametrize(
    ("revision", "at", "expected"),
    [
        (qualify(2, 20), RESTORED_AT, 98.0),
        (qualify(2, 20), RESTORED_AT + SETTLE_SECONDS - 0.1, 98.0),
        (qualify(2, 20), RESTORED_AT + SETTLE_SECONDS, RESTORED_AT + SETTLE_SECONDS),
        # A peer that has not noticed the restore.
        (qualify(1, 21), RESTORED_AT + SETTLE_SECONDS, 98.0),
        (qualify(1, 19), RESTORED_AT + SETTLE_SECONDS, 98.0),
    ],
)
def test_a_restored_store_confirms_nothing_until_it_is_settled(
    progress: StoreProgress, revision: int, at: float, expected: float
) -> None:
    progress.confirm_revision(revision, at)
    assert progress.confirmed_at == expected


@pytest.mark.parametrize(
    ("version", "revision", "known", "expected"),
    [
        (5, qualify(2, 20), qualify(1, 21), 101.0),
        (6, qualify(2, 22), qualify(2, 20), 101.0),
        (5, qualify(2, 21), qualify(1, 21), 98.0),
        (4, qualify(2, 20), qualify(1, 21), 98.0),
    ],
)
def test_declarations_that_were_written_again_are_confirmed_at_once(
    progress: StoreProgress, version: int, revision: int, known: int, expected: float
) -> None:
    progress.record_declarations(version, revision, known)
    progress.confirm_revision(qualify(2, 20), 101.0)
    assert progress.confirmed_at == expected


def test_changes_of_the_new_era_are_missed_until_it_is_read(
    progress: StoreProgress,
) -> None:
    progress.confirm_revision(qualify(3, 2), 101.0)
    assert progress.missed_revision() == qualify(3, 2)
    progress.begin_era()
    progress.advance_revision(qualify(3, 2))
    assert progress.missed_revision() is None
    assert progress.confirmed_at == 98.0
