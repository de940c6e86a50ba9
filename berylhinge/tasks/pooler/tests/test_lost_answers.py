"""Load pattern: a database runs statements and loses some of its answers."""

from __future__ import annotations

import time

import gevent
import pytest

from .conftest import Fleet
from .test_fleet import code

# Well below the route's timeout of 1.5 s, until which a lost answer was awaited.
SOON_SECONDS = 0.6


def keep_reading(fleet: Fleet, until: float) -> None:
    """Let other callers use the same database, which shows that it answers."""
    caller = fleet.caller("strict")
    while time.monotonic() < until:
        assert code(caller.ask("READ other")) == ""
        gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("begin", "text", "expected", "is_soon"),
    [
        ((), "READ item", "", True),
        (("BEGIN", "WRITE item b"), "READ item", "ABORTED", True),
        (("BEGIN", "WRITE item b"), "WRITE item c", "ABORTED", True),
        # Only the answer tells whether it was committed.
        ((), "WRITE item c", "INDOUBT", False),
        (("BEGIN", "WRITE item b"), "COMMIT", "INDOUBT", False),
    ],
)
def test_what_commits_nothing_does_not_wait_for_a_lost_answer(
    fleet: Fleet, begin: tuple[str, ...], text: str, expected: str, is_soon: bool
) -> None:
    caller = fleet.caller("strict")
    assert code(caller.ask("WRITE item a")) == ""
    for _ in range(20):
        assert code(caller.ask("READ item")) == ""
    for each in begin:
        assert code(caller.ask(each)) == ""
    others = [
        gevent.spawn(keep_reading, fleet, time.monotonic() + 2.0) for _ in range(3)
    ]
    primary = fleet.group.members[fleet.group.primary]
    gevent.sleep(0.2)
    primary.lost_answers.add(text)
    asked_at = time.monotonic()
    answer = caller.ask(text)
    took = time.monotonic() - asked_at
    gevent.joinall(others, raise_error=True)
    assert not primary.lost_answers
    assert code(answer) == expected
    assert (took < SOON_SECONDS) == is_soon
    held = fleet.instances[0].held_databases.tasks.values()
    assert not any(task.slots.unanswered for task in held)
