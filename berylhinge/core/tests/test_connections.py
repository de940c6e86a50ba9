from __future__ import annotations

import pytest

from ..connections import (
    CloseConnection,
    count_connections,
    divide_connection_limit,
    evict_surplus,
    ExchangeOutcome,
    forget_connection,
    KeepConnection,
    lease_connection,
    mark_opened,
    mark_refused,
    MAX_IDLE_SECONDS,
    new_pool,
    OpenNew,
    PoolLimits,
    rank_forward_targets,
    ResetConnection,
    return_connection,
    ReturnDecision,
    ReuseIdle,
    serving_instances,
    WaitForConnection,
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
    shares = [divide_connection_limit(limit, serving, rank) for rank in range(serving)]
    assert shares == expected
    assert sum(shares) <= limit
    assert divide_connection_limit(limit, serving, serving) == 0


def test_a_dead_instance_changes_only_the_groups_that_it_served() -> None:
    groups = [f"g{number}" for number in range(200)]
    before = {group: serving_instances(LIVE, group) for group in groups}
    after = {group: serving_instances(LIVE[1:], group) for group in groups}
    for group in groups:
        kept = [name for name in before[group] if name != "i0"]
        assert after[group][: len(kept)] == kept
        assert (before[group] == after[group]) == ("i0" not in before[group])


def test_senders_spread_over_the_serving_instances() -> None:
    first = {rank_forward_targets(LIVE, "g", me, 3)[0] for me in LIVE}
    assert first <= set(serving_instances(LIVE, "g"))
    assert len(first) > 1


@pytest.mark.parametrize(
    ("exchange", "verdict", "remaining"),
    [
        (ExchangeOutcome.CLEAN, KeepConnection(), 1),
        (ExchangeOutcome.IN_TRANSACTION, ResetConnection(), 1),
        (ExchangeOutcome.TIMED_OUT, CloseConnection(), 0),
        (ExchangeOutcome.LATE_ANSWER, CloseConnection(), 0),
        (ExchangeOutcome.DUPLICATE_ANSWER, CloseConnection(), 0),
        (ExchangeOutcome.WRONG_REQUEST_ID, CloseConnection(), 0),
        (ExchangeOutcome.CANCELLED, CloseConnection(), 0),
        (ExchangeOutcome.BROKEN, CloseConnection(), 0),
    ],
)
def test_only_a_clean_connection_is_used_again(
    exchange: ExchangeOutcome, verdict: ReturnDecision, remaining: int
) -> None:
    pool, limits = new_pool(), PoolLimits(2)
    decision, limits = lease_connection(pool, limits, 0.0)
    assert decision == OpenNew(1)
    mark_opened(pool, 1)
    assert type(return_connection(pool, limits, 1, exchange, 0.0)) is type(verdict)
    assert count_connections(pool) == remaining
    next_decision, _ = lease_connection(pool, limits, 0.0)
    assert next_decision == (
        ReuseIdle(1) if exchange is ExchangeOutcome.CLEAN else OpenNew(2)
    )


def test_a_connection_returned_twice_is_closed() -> None:
    pool, limits = new_pool(), PoolLimits(2)
    lease_connection(pool, limits, 0.0)
    mark_opened(pool, 1)
    assert isinstance(
        return_connection(pool, limits, 1, ExchangeOutcome.CLEAN, 0.0), KeepConnection
    )
    assert isinstance(
        return_connection(pool, limits, 1, ExchangeOutcome.CLEAN, 0.0), CloseConnection
    )


def test_the_allowance_limits_opening_and_a_refusal_pauses_it() -> None:
    pool, limits = new_pool(), PoolLimits(1)
    _, limits = lease_connection(pool, limits, 0.0)
    assert isinstance(lease_connection(pool, limits, 0.0)[0], WaitForConnection)
    limits = mark_refused(pool, limits, 1, 0.0)
    assert isinstance(lease_connection(pool, limits, 0.1)[0], WaitForConnection)
    assert lease_connection(pool, limits, 0.3)[0] == OpenNew(2)


def test_connections_over_the_allowance_or_idle_limit_are_closed() -> None:
    pool, limits = new_pool(), PoolLimits(3)
    for number in (1, 2, 3):
        _, limits = lease_connection(pool, limits, 0.0)
        mark_opened(pool, number)
    for number in (1, 2):
        return_connection(pool, limits, number, ExchangeOutcome.CLEAN, float(number))
    assert evict_surplus(pool, limits._replace(allowance=2), 3.0) == [1]
    assert evict_surplus(pool, limits, 3.0 + MAX_IDLE_SECONDS) == [2]
    forget_connection(pool, 3)
    assert count_connections(pool) == 0
