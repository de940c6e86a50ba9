from __future__ import annotations

import pytest

from ..leadership import LEASE_SECONDS
from ..store_eras import (
    qualify,
    revision_of_writing,
    SETTLE_SECONDS,
    were_written_after_restore,
)


@pytest.mark.parametrize(
    ("revision", "known", "is_newer", "expected"),
    [
        # The copy ends before the known value, which is written again at a lower revision.
        (qualify(2, 20), qualify(1, 21), True, True),
        # The copy holds the known value, or one that was not delivered before.
        (qualify(2, 21), qualify(1, 21), True, False),
        (qualify(2, 23), qualify(1, 21), True, False),
        # The copy holds an older value.
        (qualify(2, 20), qualify(1, 21), False, False),
        # Delivered after the first read of the era.
        (qualify(2, 23), qualify(2, 20), True, True),
        (qualify(2, 20), qualify(2, 20), True, False),
        # Two restores, of which one was missed.
        (qualify(4, 20), qualify(1, 21), True, True),
    ],
)
def test_whether_a_value_was_written_after_the_restore(
    revision: int, known: int, is_newer: bool, expected: bool
) -> None:
    assert were_written_after_restore(revision, known, is_newer=is_newer) is expected


@pytest.mark.parametrize(
    ("delivered", "era", "expected"),
    [
        (qualify(2, 7), 1, qualify(1, 7)),
        (qualify(2, 7), 2, qualify(2, 7)),
        # A value that names no era.
        (qualify(2, 7), 0, qualify(2, 7)),
    ],
)
def test_the_revision_of_writing(delivered: int, era: int, expected: int) -> None:
    assert revision_of_writing(delivered, era) == expected


def test_an_era_settles_after_every_lease_of_the_one_before() -> None:
    assert SETTLE_SECONDS > LEASE_SECONDS * 1.01
