from __future__ import annotations

from random import Random

import pytest

from ...errors import Refusal
from ...reasons import RefusalReason, RetryReason
from ...types import LogPoint
from ..group_view import GroupView, new_view, observe_status
from ..read_floors import (
    advance_rounds,
    floor_for_read,
    floor_since,
    NO_ROUNDS,
    request_floor,
)
from ..read_routing import (
    check_read_answer,
    FloorSource,
    ReadFrom,
    REPLICA_WAIT_SECONDS,
    RetryRead,
    ReturnAnswer,
    route_read,
    UpstreamLoad,
    WaitForConfirmation,
    WaitForReplica,
)
from .samples_group import sample_answer, sample_status

IDLE_LOAD = UpstreamLoad("oslo-a", 0, 4, True)
FULL_LOAD = UpstreamLoad("oslo-a", 4, 4, True)
REMOTE_LOAD = UpstreamLoad("bergen-a", 0, 4, True)
UNREACHABLE_LOAD = UpstreamLoad("oslo-a", 0, 4, False)
UNCONNECTED_LOAD = UpstreamLoad("oslo-a", 0, 0, True)


def group_view(lasts: dict[str, int], at: float = 1.0, size: str = "abc") -> GroupView:
    view = new_view("g", size)
    for name, position in lasts.items():
        role = "primary" if name == "a" else "replica"
        observe_status(
            view, name, sample_status(name, role=role, last=(1, position)), at, at
        )
    return view


@pytest.mark.parametrize(
    "lasts,floor",
    [
        ({"a": 9}, None),
        ({"a": 9, "b": 7}, 9),
        ({"b": 7, "c": 5}, 7),
        ({"a": 9, "b": 7, "c": 5}, 7),
    ],
)
def test_floor_bounds_every_acknowledged_write(
    lasts: dict[str, int], floor: int | None
) -> None:
    point = floor_since(group_view(lasts), 1.0)
    assert point == (None if floor is None else LogPoint(1, floor))


def test_answers_to_older_requests_give_no_floor() -> None:
    assert floor_since(group_view({"a": 9, "b": 7}, at=0.9), 1.0) is None


def test_round_serves_earlier_requests_and_a_next_one_serves_later_ones() -> None:
    view = group_view({"a": 5, "b": 5, "c": 5}, at=0.0)
    first = request_floor(NO_ROUNDS, 1.0, 1.0)
    second = request_floor(first.rounds, 1.001, 1.001)
    assert (first.request_status, second.request_status) == (True, False)
    for name in "abc":
        observe_status(view, name, sample_status(name, last=(1, 6)), 1.0, 1.002)
    ended = advance_rounds(second.rounds, view, 1.002)
    assert ended.request_status
    assert floor_for_read(ended.rounds, view, 1.0) == LogPoint(1, 6)
    assert floor_for_read(ended.rounds, view, 1.001) is None
    assert floor_for_read(ended.rounds, view, 1.101, max_age_seconds=0.2) == LogPoint(
        1, 6
    )


def test_unanswered_round_resends_requests() -> None:
    view = group_view({"a": 5}, at=0.0)
    rounds = request_floor(NO_ROUNDS, 1.0, 1.0).rounds
    asks = [
        advance_rounds(rounds, view, at).request_status for at in (1.01, 1.04, 1.06)
    ]
    assert asks == [False, False, True]


@pytest.mark.parametrize(
    "lasts,loads,floor,chosen",
    [
        ({"a": 9, "b": 9, "c": 9}, {"b": REMOTE_LOAD}, 9, "c"),
        ({"a": 9, "b": 9, "c": 8}, {}, 9, "b"),
        ({"a": 9, "b": 9, "c": 8}, {"b": FULL_LOAD}, 9, "a"),
        ({"a": 9, "b": 9, "c": 8}, {"b": FULL_LOAD, "a": FULL_LOAD}, 9, "b"),
        (
            {"a": 9, "b": 9, "c": 9},
            {"b": UNREACHABLE_LOAD, "c": UNCONNECTED_LOAD},
            9,
            "a",
        ),
        (
            {"a": 9, "b": 8, "c": 8},
            {"b": UNREACHABLE_LOAD, "c": UNREACHABLE_LOAD},
            9,
            "a",
        ),
    ],
)
def test_read_goes_to_the_best_eligible_member(
    lasts: dict[str, int], loads: dict[str, UpstreamLoad], floor: int, chosen: str
) -> None:
    view = group_view(lasts)
    all_loads = {**dict.fromkeys("abc", IDLE_LOAD), **loads}
    assert choose_at(view, all_loads, floor, now=1.0) == ReadFrom(chosen)


def choose_at(
    view: GroupView,
    loads: dict[str, UpstreamLoad],
    floor: int,
    *,
    now: float,
    need: FloorSource = FloorSource.TOKEN,
) -> object:
    return route_read(
        view,
        loads,
        floor=LogPoint(1, floor),
        floor_source=need,
        failure_domain="oslo-a",
        arrived_at=1.0,
        now=now,
        rng=Random(1),
    )


def test_read_waits_for_a_replica_and_then_goes_to_the_primary() -> None:
    view = group_view({"a": 9, "b": 8, "c": 8})
    loads = dict.fromkeys("abc", IDLE_LOAD)
    until = 1.0 + REPLICA_WAIT_SECONDS
    assert choose_at(view, loads, 9, now=1.0) == WaitForReplica(until)
    assert choose_at(view, loads, 9, now=until) == ReadFrom("a")


@pytest.mark.parametrize(
    "need,reason",
    [
        (FloorSource.TOKEN, RefusalReason.SESSION_UNREACHABLE),
        (FloorSource.ROUND, RefusalReason.NO_PRIMARY),
    ],
)
def test_read_without_an_eligible_member_is_refused(
    need: FloorSource, reason: RefusalReason
) -> None:
    view = group_view({"b": 8})
    choice = choose_at(view, dict.fromkeys("abc", IDLE_LOAD), 9, now=2.0, need=need)
    assert isinstance(choice, Refusal)
    assert choice.reason is reason


def test_leaving_replica_gets_no_reads() -> None:
    view = group_view({"a": 9, "b": 9, "c": 9})
    observe_status(view, "b", sample_status("b", last=(1, 9), leaving=True), 2.0, 2.0)
    assert choose_at(view, dict.fromkeys("abc", IDLE_LOAD), 9, now=1.0) == ReadFrom("c")


@pytest.mark.parametrize(
    "log_term,last,verdict",
    [
        (1, (1, 7), RetryRead(RetryReason.REPLICA_BEHIND)),
        (1, (1, 8), ReturnAnswer(LogPoint(1, 8))),
        (1, (1, 9), ReturnAnswer(LogPoint(1, 9))),
        (1, (1, 10), WaitForConfirmation(LogPoint(1, 10))),
        (2, (2, 10), WaitForConfirmation(LogPoint(2, 10))),
    ],
)
def test_answer_shows_only_confirmed_data(
    log_term: int, last: tuple[int, int], verdict: object
) -> None:
    view = group_view({"a": 10, "b": 9, "c": 9})
    assert (
        check_read_answer(view, LogPoint(1, 8), sample_answer(2, log_term, last))
        == verdict
    )


def test_answer_of_a_superseded_term_is_dropped() -> None:
    view = group_view({"a": 10, "b": 9})
    for name in "bc":
        observe_status(view, name, sample_status(name, term=2, last=(1, 9)), 2.0, 2.0)
    verdict = check_read_answer(view, LogPoint(1, 8), sample_answer(1, 1, (1, 10)))
    assert verdict == RetryRead(RetryReason.READ_UNCONFIRMED)
