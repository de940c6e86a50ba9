from __future__ import annotations

from typing import Any

import pytest

from .. import failure_detection
from ..failure_detection import (
    assess_primary,
    classify_member,
    poll_interval_seconds,
    PrimaryAssessment,
    Undecided,
)
from ..failure_evidence import (
    FailureEvidence,
    new_failure_evidence,
    record_answer,
    record_failure,
    record_peer_report,
    record_request,
)
from ..group_view import GroupView, new_view, observe_status
from ..promotion_messages import PrimaryHealthy, PrimaryLeaving, PrimaryLost
from .samples_group import sample_status

PRIMARY = {"role": "primary", "primary": "a"}
REPLICA = {"primary": "a"}
PEERS = frozenset({"p", "q"})


def observe_all(view: GroupView, at: float, **members: dict[str, Any]) -> None:
    for name, fields in members.items():
        observe_status(view, name, sample_status(name, **fields), at, at)


def silent_replica(seconds: float, **more: Any) -> dict[str, Any]:
    return {**REPLICA, "primary_silence_seconds": seconds, **more}


def healthy_group() -> tuple[GroupView, FailureEvidence]:
    view = new_view("g", "abc")
    observe_all(view, 10.0, a=PRIMARY, b=REPLICA, c=REPLICA)
    return view, new_failure_evidence()


def judge_twice(
    view: GroupView, state: FailureEvidence, members: dict[str, dict[str, Any]]
) -> PrimaryAssessment:
    for at in (10.1, 10.2):
        observe_all(view, at, **members)
        state, verdict = assess_primary(state, view, PEERS, at)
    return verdict


@pytest.mark.parametrize(
    "members,lost",
    [
        ({"b": silent_replica(0.7), "c": silent_replica(0.8)}, True),
        ({"a": PRIMARY, "b": silent_replica(0.7), "c": silent_replica(0.8)}, True),
        ({"b": silent_replica(0.7)}, False),
        ({"b": silent_replica(0.7), "c": silent_replica(0.1)}, False),
        ({"b": silent_replica(0.3), "c": silent_replica(0.3)}, False),
    ],
)
def test_loss_needs_a_majority_that_reports_silence(
    members: dict[str, dict[str, Any]], lost: bool
) -> None:
    verdict = judge_twice(*healthy_group(), members)
    assert isinstance(verdict, PrimaryLost) is lost
    if isinstance(verdict, PrimaryLost):
        assert verdict.suspect == "a"


def test_one_report_of_silence_is_not_enough() -> None:
    view, state = healthy_group()
    observe_all(view, 10.1, b=silent_replica(0.7), c=silent_replica(0.7))
    state, verdict = assess_primary(state, view, PEERS, 10.1)
    assert isinstance(verdict, PrimaryHealthy)
    observe_all(view, 10.2, b=silent_replica(0.01), c=silent_replica(0.01))
    state, verdict = assess_primary(state, view, PEERS, 10.2)
    assert isinstance(verdict, PrimaryHealthy)
    assert state.silent_since is None


def test_silence_reported_before_a_promotion_is_not_counted_after_it() -> None:
    view, state = healthy_group()
    observe_all(view, 10.1, b=silent_replica(0.7), c=silent_replica(0.7))
    state, _ = assess_primary(state, view, PEERS, 10.1)
    newer = {"term": 2, "primary": "b"}
    observe_all(
        view, 10.2, b={**newer, "role": "primary", "log_term": 2, "last": (2, 2)}
    )
    observe_all(
        view, 10.2, a=silent_replica(0.7, **newer), c=silent_replica(0.7, **newer)
    )
    state, verdict = assess_primary(state, view, PEERS, 10.2)
    assert verdict == Undecided("term 2 is not on a majority yet")


def test_refused_connection_shortens_the_silence_timeout() -> None:
    view, state = healthy_group()
    record_failure(state, "a", 10.1, refused=True)
    members = {"b": silent_replica(0.3), "c": silent_replica(0.3)}
    assert isinstance(judge_twice(view, state, members), PrimaryLost)


def test_refused_connection_alone_is_no_loss() -> None:
    view, state = healthy_group()
    record_failure(state, "a", 10.1, refused=True)
    assert isinstance(
        judge_twice(view, state, {"b": REPLICA, "c": REPLICA}), PrimaryHealthy
    )


@pytest.mark.parametrize(
    "reports,peers,lost",
    [
        ({"p": 2.5, "q": 2.5}, PEERS, True),
        ({"p": 2.5}, PEERS, False),
        ({"p": 2.5, "q": 0.0}, PEERS, False),
        ({"p": 2.5, "q": 1.0}, PEERS, False),
        ({}, frozenset(), True),
        ({"p": 2.5, "q": 2.5}, None, False),
    ],
)
def test_primary_is_lost_when_no_instance_reaches_it(
    reports: dict[str, float], peers: frozenset[str] | None, lost: bool
) -> None:
    view, state = healthy_group()
    record_failure(state, "a", 10.0)
    observe_all(view, 12.4, b=REPLICA, c=REPLICA)
    for peer, seconds in reports.items():
        record_peer_report(state, peer, {"a": seconds}, 12.4)
    _, verdict = assess_primary(state, view, peers, 12.5)
    assert isinstance(verdict, PrimaryLost) is lost


def test_term_without_a_primary_is_lost_after_timeout() -> None:
    view, state = healthy_group()
    fenced = {"term": 2, "primary": None}
    for at, lost in ((10.1, False), (10.2, False), (10.4, True)):
        observe_all(view, at, a=fenced, b=fenced, c=fenced)
        state, verdict = assess_primary(state, view, PEERS, at)
        assert isinstance(verdict, PrimaryLost) is lost


def test_member_in_a_newer_term_ends_the_primary_after_timeout() -> None:
    view, state = healthy_group()
    for at, lost in ((10.1, False), (10.6, False), (11.2, True)):
        observe_all(view, at, a=PRIMARY, b=REPLICA, c={"term": 2, "primary": None})
        state, verdict = assess_primary(state, view, PEERS, at)
        assert isinstance(verdict, PrimaryLost) is lost


def test_less_than_a_majority_of_answers_decides_nothing() -> None:
    view, state = healthy_group()
    _, verdict = assess_primary(state, view, PEERS, 20.0)
    assert verdict == Undecided("0 of 3 members answer; a decision needs 2")


@pytest.mark.parametrize(
    "replica,expected",
    [
        (REPLICA, PrimaryLeaving(1, "a")),
        ({**REPLICA, "leaving": True}, None),
    ],
)
def test_handover_needs_a_replica_that_stays(
    replica: dict[str, Any], expected: PrimaryLeaving | None
) -> None:
    view, state = healthy_group()
    observe_all(view, 10.1, a={**PRIMARY, "leaving": True}, b=replica, c=replica)
    _, verdict = assess_primary(state, view, PEERS, 10.1)
    if expected is None:
        assert isinstance(verdict, Undecided)
    else:
        assert verdict == expected


@pytest.mark.parametrize(
    "kind,expected",
    [
        ("answered", "serving"),
        ("late", "slow"),
        ("leaving", "leaving"),
        ("failed, in contact with a replica", "link-lost"),
        ("failed, reached by a peer", "link-lost"),
        ("failed, reached by none", "dead"),
        ("failed, no other evidence", "unreachable"),
    ],
)
def test_classifies_slow_cut_off_and_dead_members(kind: str, expected: str) -> None:
    view, state = healthy_group()
    silent_status = silent_replica(0.9)
    if kind == "answered":
        record_answer(state, "a", 0.002)
    elif kind == "late":
        record_answer(state, "a", 0.3)
    elif kind == "leaving":
        record_answer(state, "a", 0.002, leaving=True)
    else:
        record_failure(state, "a", 10.1)
    if "replica" not in kind:
        observe_all(view, 10.2, b=silent_status, c=silent_status)
    if "peer" in kind:
        record_peer_report(state, "p", {}, 10.2)
    if "none" in kind:
        record_peer_report(state, "p", {"a": 0.1}, 10.2)
        record_peer_report(state, "q", {"a": 0.1}, 10.2)
    assert classify_member(state, view, "a", PEERS, 10.2) == expected


@pytest.mark.parametrize(
    "pending,asked,seconds",
    [
        (None, None, failure_detection.POLL_INTERVAL_SECONDS),
        (10.15, None, failure_detection.POLL_INTERVAL_SECONDS),
        (10.05, None, failure_detection.FAST_POLL_INTERVAL_SECONDS),
        (None, 10.05, failure_detection.FAST_POLL_INTERVAL_SECONDS),
    ],
)
def test_polls_are_frequent_only_while_a_failure_is_suspected(
    pending: float | None, asked: float | None, seconds: float
) -> None:
    view, state = healthy_group()
    if asked is not None:
        record_request(state, "a", asked)
    assert poll_interval_seconds(state, view, 10.2, pending) == seconds
