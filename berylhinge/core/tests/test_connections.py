from __future__ import annotations

import pytest

from ..connections import (
    Close,
    connection_allowance,
    Exchange,
    forward_targets,
    Full,
    give_back,
    held,
    IDLE_LIMIT_SECONDS,
    Keep,
    lease,
    lost,
    new_pool,
    Open,
    opened,
    PoolLimits,
    refused,
    Reset,
    Reuse,
    serving_instances,
    surplus,
    Verdict,
)

LIVE = [f"i{number}" for number in range(7)]


@pytest.mark.parametrize(
    ("limit", "serving", "expected"),
    [
        (16, 3, [5, 5, 5]),
        (16, 7, [3, 2, 2, 2, 2, 2, 2]),
        (30, 3, [10, 10, 9]),
        (3, 3, [1, 1, 1]),
        (2, 3, [1, 1, 0]),
        (0, 3, [0, 0, 0]),
    ],
)
def test_allowances_stay_within_the_limit(
    limit: int, serving: int, expected: list[int]
) -> None:
    shares = [connection_allowance(limit, serving, rank) for rank in range(serving)]
    assert shares == expected
    assert sum(shares) <= limit
    assert connection_allowance(limit, serving, serving) == 0


def test_a_dead_instance_changes_only_the_groups_that_it_served() -> None:
    groups = [f"g{number}" for number in range(200)]
    before = {group: serving_instances(LIVE, group) for group in groups}
    after = {group: serving_instances(LIVE[1:], group) for group in groups}
    for group in groups:
        kept = [name for name in before[group] if name != "i0"]
        assert after[group][: len(kept)] == kept
        assert (before[group] == after[group]) == ("i0" not in before[group])


def test_senders_spread_over_the_serving_instances() -> None:
    first = {forward_targets(LIVE, "g", me, 3)[0] for me in LIVE}
    assert first <= set(serving_instances(LIVE, "g"))
    assert len(first) > 1


@pytest.mark.parametrize(
    ("exchange", "verdict", "remaining"),
    [
        (Exchange.CLEAN, Keep(), 1),
        (Exchange.IN_TRANSACTION, Reset(), 1),
        (Exchange.TIMED_OUT, Close(), 0),
        (Exchange.LATE, Close(), 0),
        (Exchange.TWICE, Close(), 0),
        (Exchange.FOREIGN_ID, Close(), 0),
        (Exchange.CANCELLED, Close(), 0),
        (Exchange.BROKEN, Close(), 0),
    ],
)
def test_only_a_clean_connection_is_used_again(
    exchange: Exchange, verdict: Verdict, remaining: int
) -> None:
    pool, limits = new_pool(), PoolLimits(2)
    decision, limits = lease(pool, limits, 0.0)
    assert decision == Open(1)
    opened(pool, 1)
    assert type(give_back(pool, limits, 1, exchange, 0.0)) is type(verdict)
    assert held(pool) == remaining
    next_decision, _ = lease(pool, limits, 0.0)
    assert next_decision == (Reuse(1) if exchange is Exchange.CLEAN else Open(2))


def test_a_connection_returned_twice_is_closed() -> None:
    pool, limits = new_pool(), PoolLimits(2)
    lease(pool, limits, 0.0)
    opened(pool, 1)
    assert isinstance(give_back(pool, limits, 1, Exchange.CLEAN, 0.0), Keep)
    assert isinstance(give_back(pool, limits, 1, Exchange.CLEAN, 0.0), Close)


def test_the_allowance_limits_opening_and_a_refusal_pauses_it() -> None:
    pool, limits = new_pool(), PoolLimits(1)
    _, limits = lease(pool, limits, 0.0)
    assert isinstance(lease(pool, limits, 0.0)[0], Full)
    limits = refused(pool, limits, 1, 0.0)
    assert isinstance(lease(pool, limits, 0.1)[0], Full)
    assert lease(pool, limits, 0.3)[0] == Open(2)


def test_connections_over_the_allowance_or_idle_limit_are_closed() -> None:
    pool, limits = new_pool(), PoolLimits(3)
    for number in (1, 2, 3):
        _, limits = lease(pool, limits, 0.0)
        opened(pool, number)
    for number in (1, 2):
        give_back(pool, limits, number, Exchange.CLEAN, float(number))
    assert surplus(pool, limits._replace(allowance=2), 3.0) == [1]
    assert surplus(pool, limits, 3.0 + IDLE_LIMIT_SECONDS) == [2]
    lost(pool, 3)
    assert held(pool) == 0
