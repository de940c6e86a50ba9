from __future__ import annotations

import pytest

from ....platform.store_replies import StoredItem
from ..registry import batch_seconds, MAX_BATCH_SECONDS, MIN_BATCH_SECONDS

INSTANCE_ITEM = StoredItem("berylhinge/instances/n1", b"{}", 5)
OTHER_ITEM = StoredItem("berylhinge/secret", b"x", 6)


@pytest.mark.parametrize(
    ("items", "members", "expected"),
    [
        # A fleet of 80 instances is restarted one by one.
        ([INSTANCE_ITEM], 80, 0.8),
        ([INSTANCE_ITEM, INSTANCE_ITEM], 80, 0.8),
        ([INSTANCE_ITEM], 500, MAX_BATCH_SECONDS),
        ([INSTANCE_ITEM], 3, MIN_BATCH_SECONDS),
        # A primary is replaced during such a restart.
        ([INSTANCE_ITEM, OTHER_ITEM], 80, MIN_BATCH_SECONDS),
        ([OTHER_ITEM], 80, MIN_BATCH_SECONDS),
    ],
)
def test_registrations_are_batched_longer_in_large_fleets(
    items: list[StoredItem], members: int, expected: float
) -> None:
    assert batch_seconds(items, members) == expected
