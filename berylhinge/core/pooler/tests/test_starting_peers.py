from __future__ import annotations

import pytest

from ..starting_peers import may_be_starting, STARTING_SECONDS


@pytest.mark.parametrize(
    ("has_been_heard", "passed", "expected"),
    [
        (False, 0.0, True),
        (False, STARTING_SECONDS * 0.99, True),
        # One that does not come back must not hold back its databases for longer.
        (False, STARTING_SECONDS, False),
        # The silence of a process that was heard means what it means at other times.
        (True, 0.0, False),
    ],
)
def test_only_a_peer_not_heard_since_the_start_may_be_starting(
    has_been_heard: bool, passed: float, expected: bool
) -> None:
    found = may_be_starting(
        has_been_heard=has_been_heard, started_at=5.0, now=5.0 + passed
    )
    assert found == expected
