from __future__ import annotations

from functools import partial
from random import Random

import pytest

from ..connection_pool import (
    choose_connection,
    IdleConnection,
    may_open_transaction,
    OpenNew,
    UseIdle,
)
from ..connection_uses import choose_victim, ConnectionUses, forget_unused, record_use


def idle_connection(number: int, organisation: str, since: float) -> IdleConnection:
    return IdleConnection(number, organisation, {}, frozenset(), since)


@pytest.mark.parametrize(
    ("uses", "idle", "victim"),
    [
        # A rare user's connection goes before the longer idle one of a frequent user.
        ({"often": 9, "rarely": 1}, [(1, "often", 1.0), (2, "rarely", 2.0)], 2),
        # A further connection of a frequent user goes before another's only one.
        (
            {"often": 9, "other": 3},
            [(1, "often", 1.0), (2, "often", 2.0), (3, "other", 0.5)],
            1,
        ),
        # Without known uses, the longest idle connection goes.
        ({}, [(1, "a", 2.0), (2, "b", 1.0)], 2),
    ],
)
def test_victim(
    uses: dict[str, int], idle: list[tuple[int, str, float]], victim: int
) -> None:
    known = ConnectionUses()
    for name, count in uses.items():
        for _ in range(count):
            record_use(known, name, 3.0)
    entries = [idle_connection(*entry) for entry in idle]
    assert choose_victim(known, entries, 3.0) == victim


@pytest.mark.parametrize(
    ("holders", "may_open"),
    [
        # One organisation's idle callers leave transactions to others.
        (["large"] * 9, True),
        (["large"] * 10, False),
        (["a"] * 10, True),
        # Idle transactions of all leave connections to single statements.
        (["a", "b", "c", "d"] * 8, False),
    ],
)
def test_idle_transactions_hold_a_part_of_the_connections(
    holders: list[str], may_open: bool
) -> None:
    assert may_open_transaction(holders, "large", 43) is may_open


def test_unused_organisations_are_forgotten() -> None:
    uses = ConnectionUses()
    record_use(uses, "gone", 0.0)
    record_use(uses, "here", 100.0)
    forget_unused(uses, 100.0)
    assert list(uses.rates) == ["here"]


def count_opens(*, by_use: bool, seed: int) -> int:
    """Count the opens of 71 organisations, a few of them large, on 43 connections."""
    rng, uses = Random(seed), ConnectionUses()
    names = [f"o{number}" for number in range(71)]
    weights = [1.0 / (number + 1) for number in range(71)]
    idle: dict[int, IdleConnection] = {}
    busy: list[tuple[float, int, str]] = []
    now, opens = 0.0, 0
    for _ in range(20_000):
        now += rng.expovariate(100.0)
        for entry in [found for found in busy if found[0] <= now]:
            busy.remove(entry)
            idle[entry[1]] = idle_connection(entry[1], entry[2], entry[0])
        name = rng.choices(names, weights)[0]
        record_use(uses, name, now)
        choice = choose_connection(
            list(idle.values()),
            name,
            {},
            held=len(idle) + len(busy),
            limit=43,
            find_victim=partial(choose_victim, uses, now=now) if by_use else None,
        )
        if isinstance(choice, UseIdle):
            number = choice.number
            del idle[number]
        else:
            assert isinstance(choice, OpenNew)
            if choice.evicted is not None:
                del idle[choice.evicted]
            opens += 1
            number = opens
        busy.append((now + 0.03, number, name))
    return opens


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_organisations_than_connections_open_fewer(seed: int) -> None:
    assert count_opens(by_use=True, seed=seed) < count_opens(by_use=False, seed=seed)
