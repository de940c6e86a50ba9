from __future__ import annotations

from collections.abc import Callable

import pytest

from ...reasons import RefusalReason
from ...types import AccessMode
from ..fair_queue import (
    AdmissionState,
    cancel_request,
    DroppedRequest,
    enqueue_request,
    EnqueueResult,
    finish_request,
    release_slot,
    resize_slots,
    SlotRequest,
    start_request,
)

FAR_DEADLINE_SECONDS = 1000.0
QUEUE_FULL = RefusalReason.QUEUE_FULL


def request(
    name: str,
    *,
    access: AccessMode = AccessMode.READ,
    deadline: float = FAR_DEADLINE_SECONDS,
) -> SlotRequest:
    return SlotRequest(name, name[0], access, deadline)


def serve(state: AdmissionState, count: int, seconds: float = 0.002) -> str:
    now, served = 0.0, ""
    for _ in range(count):
        started = start_request(state, now).request
        if started is None:
            break
        now += seconds
        finish_request(state, started.request, now)
        served += started.organisation
    return served


@pytest.mark.parametrize(
    ("weights", "offered", "served"),
    [
        ({}, "aaaaaabb", "ababaa"),
        ({}, "aaabbb", "ababab"),
        ({"a": 2.0}, "aaaabbbb", "ababaa"),
        ({}, "ab", "ab"),
    ],
)
def test_organisations_take_turns_by_weight(
    weights: dict[str, float], offered: str, served: str
) -> None:
    state = AdmissionState(slots=1, max_queued=100, weights=weights)
    for number, organisation in enumerate(offered):
        enqueue_request(state, request(f"{organisation}{number}"), 0.0)
    assert serve(state, len(served)) == served


def test_an_idle_organisation_gains_no_credit() -> None:
    state = AdmissionState(slots=1, max_queued=100)
    for number in range(20):
        enqueue_request(state, request(f"a{number}"), 0.0)
    serve(state, 10)
    for number in range(5):
        enqueue_request(state, request(f"b{number}"), 0.0)
    # The virtual time is the start tag of the last start, one turn before its finish.
    assert serve(state, 6) in ("ababab", "bababa", "bbabab")


def test_a_write_is_charged_by_its_slot_time() -> None:
    state = AdmissionState(slots=1, max_queued=500)
    for number in range(150):
        enqueue_request(state, request(f"w{number}", access=AccessMode.WRITE), 0.0)
        enqueue_request(state, request(f"r{number}"), 0.0)
    now, held = 0.0, {"w": 0.0, "r": 0.0}
    for _ in range(150):
        started = start_request(state, now).request
        assert started is not None
        seconds = 0.010 if started.access is AccessMode.WRITE else 0.002
        now += seconds
        held[started.organisation] += seconds
        finish_request(state, started.request, now)
    assert held["w"] / held["r"] == pytest.approx(1.0, abs=0.1)


@pytest.mark.parametrize(
    ("queued", "newcomer", "expected"),
    [
        (
            "aaab",
            "c0",
            EnqueueResult(True, (DroppedRequest(request("a2"), QUEUE_FULL),)),
        ),
        (
            "aaab",
            "a9",
            EnqueueResult(False, (DroppedRequest(request("a9"), QUEUE_FULL),)),
        ),
        (
            "abcd",
            "a9",
            EnqueueResult(False, (DroppedRequest(request("a9"), QUEUE_FULL),)),
        ),
    ],
)
def test_a_full_queue_refuses_the_last_request_of_the_longest(
    queued: str, newcomer: str, expected: EnqueueResult
) -> None:
    state = AdmissionState(slots=1, max_queued=4)
    for number, organisation in enumerate(queued):
        assert enqueue_request(state, request(f"{organisation}{number}"), 0.0).queued
    assert enqueue_request(state, request(newcomer), 0.0) == expected
    assert state.queued_count == 4


def test_a_request_that_cannot_finish_in_time_is_refused_on_arrival() -> None:
    state = AdmissionState(slots=1, max_queued=1000)
    for number in range(100):
        enqueue_request(state, request(f"a{number}"), 0.0)
    late = request("a100", deadline=0.1)
    dropped = (DroppedRequest(late, RefusalReason.DEADLINE_TOO_SHORT),)
    assert enqueue_request(state, late, 0.0) == EnqueueResult(False, dropped)
    # Requests of another organisation do not wait for the first one's queue.
    assert enqueue_request(state, request("b0", deadline=0.1), 0.0).queued


def test_a_first_request_past_its_deadline_is_dropped_before_start() -> None:
    state = AdmissionState(slots=1, max_queued=10)
    enqueue_request(state, request("a0"), 0.0)
    enqueue_request(state, request("a1", deadline=0.02), 0.0)
    enqueue_request(state, request("a2"), 0.0)
    start_request(state, 0.0)
    finish_request(state, "a0", 0.5)
    started = start_request(state, 0.5)
    assert started.request == request("a2")
    assert [drop.request.request for drop in started.dropped] == ["a1"]


def test_cancelled_requests_never_start_and_free_queue_space() -> None:
    state = AdmissionState(slots=1, max_queued=3)
    for name in ("a0", "a1", "a2"):
        enqueue_request(state, request(name), 0.0)
    assert cancel_request(state, "a0", 0.0)
    assert not cancel_request(state, "a0", 0.0)
    assert enqueue_request(state, request("b0"), 0.0) == EnqueueResult(True)
    assert serve(state, 9) in ("aba", "baa", "aab")


def test_no_more_requests_run_than_there_are_slots() -> None:
    state = AdmissionState(slots=2, max_queued=10)
    for name in ("a0", "a1", "a2", "a3"):
        enqueue_request(state, request(name), 0.0)
    assert start_request(state, 0.0).request is not None
    assert start_request(state, 0.0).request is not None
    assert start_request(state, 0.0).request is None
    resize_slots(state, 3)
    assert start_request(state, 0.0).request is not None
    assert not finish_request(state, "unknown", 0.0)


@pytest.mark.parametrize(
    ("release", "grows"),
    [
        (lambda state: finish_request(state, "a1", 3.0), True),
        (lambda state: release_slot(state, "a1"), False),
    ],
    ids=["finish", "release"],
)
def test_a_lost_answer_frees_its_slot_and_keeps_the_mean_slot_time(
    release: Callable[[AdmissionState], bool], grows: bool
) -> None:
    state = AdmissionState(slots=1, max_queued=9)
    before = state.slot_times[AccessMode.READ].mean_seconds
    for name in ("a1", "b1"):
        enqueue_request(state, request(name), 0.0)
    assert start_request(state, 0.0).request == request("a1")
    assert start_request(state, 0.0).request is None
    assert release(state)
    assert (state.slot_times[AccessMode.READ].mean_seconds > before) is grows
    assert start_request(state, 3.0).request == request("b1")
    assert not release_slot(state, "a1")
