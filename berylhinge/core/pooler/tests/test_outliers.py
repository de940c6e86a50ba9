from __future__ import annotations

import pytest

from ..database_load import BelievedLoad, DatabaseLoad
from ..outliers import (
    MIN_ASIDE_SECONDS,
    OutcomeSummary,
    OutcomeWindow,
    review_databases,
    SetAside,
)


def believed(summary: OutcomeSummary) -> BelievedLoad:
    return BelievedLoad(DatabaseLoad(0, 1, 4, 20_000, 50, 0, *summary), 0.0)


def window_of(
    organisations: int, *, failing: int = 0, every: int = 3, slow: float = 0.02
) -> OutcomeSummary:
    window = OutcomeWindow()
    now = 0.0
    for number in range(600):
        now += 0.005
        organisation = number % organisations
        is_bad = organisation < failing and number // organisations % every == 0
        seconds = slow if is_bad else 0.02
        is_failed = is_bad and slow <= 0.02
        window.record(f"o{organisation}", seconds, failed=is_failed, now=now)
    return window.summary(now)


GOOD = believed(OutcomeSummary())


@pytest.mark.parametrize(
    ("summary", "expected"),
    [
        # A third of the statements fails while the health check is good.
        (window_of(10, failing=10), "failed"),
        # A third of the statements is delayed.
        (window_of(10, failing=10, slow=0.4), "slow"),
        # Every statement of one caller fails, of ten callers or of two.
        (window_of(10, failing=1, every=1), ""),
        (window_of(2, failing=1, every=1), ""),
        # A rare failure of many callers.
        (window_of(10, failing=10, every=20), ""),
        (window_of(10), ""),
    ],
)
def test_a_grey_database_is_set_aside_and_one_caller_condemns_none(
    summary: OutcomeSummary, expected: str
) -> None:
    loads = {"a": believed(summary), "b": GOOD, "c": GOOD}
    found = review_databases(loads, {}, 10.0)
    assert {name: entry.reason for name, entry in found.items()} == (
        {"a": expected} if expected else {}
    )


@pytest.mark.parametrize(
    ("names", "bad", "expected"),
    [
        ("abc", "ab", "a"),
        ("abc", "abc", ""),
        ("ab", "a", ""),
        ("a", "a", ""),
        ("abcdef", "abc", "ab"),
    ],
)
def test_at_most_a_third_and_never_the_last_is_set_aside(
    names: str, bad: str, expected: str
) -> None:
    """Guards against a service whose remaining databases are overloaded."""
    grey = believed(OutcomeSummary(40, 0, 8))
    loads = {name: grey if name in bad else GOOD for name in names}
    assert "".join(review_databases(loads, {}, 10.0)) == expected


def test_a_database_returns_when_the_few_that_try_it_succeed() -> None:
    """Guards against a database that stays set aside after it recovered."""
    grey, good = believed(OutcomeSummary(40, 0, 8)), believed(OutcomeSummary(3, 0, 8))
    first = review_databases({"a": grey, "b": GOOD, "c": GOOD}, {}, 10.0)
    until = 10.0 + MIN_ASIDE_SECONDS
    assert first == {"a": SetAside("failed", until, 1)}
    early = review_databases({"a": good, "b": GOOD, "c": GOOD}, first, until - 0.1)
    assert early == first
    longer = review_databases({"a": grey, "b": GOOD, "c": GOOD}, first, until)
    assert longer["a"] == SetAside("failed", until + 2 * MIN_ASIDE_SECONDS, 2)
    back = review_databases({"a": good, "b": GOOD, "c": GOOD}, first, until)
    assert back["a"].reason == ""
