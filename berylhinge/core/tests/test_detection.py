from __future__ import annotations

from typing import Any

import pytest

from .. import detection
from ..detection import (
    classify,
    Detection,
    judge,
    new_detection,
    note_answered,
    note_asked,
    note_failed,
    note_peer,
    poll_seconds,
    Undecided,
    Verdict,
)
from ..group_view import GroupView, new_view, observe
from ..promotion_messages import PrimaryLeaving, PrimaryLost, PrimarySeen
from .samples_group import status

LEAD = {"role": "primary", "primary": "a"}
REPLICA = {"primary": "a"}
PEERS = frozenset({"p", "q"})


def see(view: GroupView, at: float, **members: dict[str, Any]) -> None:
    for name, fields in members.items():
        observe(view, name, status(name, **fields), at, at)


def silent(seconds: float, **more: Any) -> dict[str, Any]:
    return {**REPLICA, "primary_silence_seconds": seconds, **more}


def sound() -> tuple[GroupView, Detection]:
    view = new_view("g", "abc")
    see(view, 10.0, a=LEAD, b=REPLICA, c=REPLICA)
    return view, new_detection()


def judge_twice(
    view: GroupView, state: Detection, members: dict[str, dict[str, Any]]
) -> Verdict:
    for at in (10.1, 10.2):
        see(view, at, **members)
        state, verdict = judge(state, view, PEERS, at)
    return verdict


@pytest.mark.parametrize(
    "members,lost",
    [
        ({"b": silent(0.7), "c": silent(0.8)}, True),
        ({"a": LEAD, "b": silent(0.7), "c": silent(0.8)}, True),
        ({"b": silent(0.7)}, False),
        ({"b": silent(0.7), "c": silent(0.1)}, False),
        ({"b": silent(0.3), "c": silent(0.3)}, False),
    ],
)
def test_a_majority_must_call_the_primary_silent(
    members: dict[str, dict[str, Any]], lost: bool
) -> None:
    verdict = judge_twice(*sound(), members)
    assert isinstance(verdict, PrimaryLost) is lost
    if isinstance(verdict, PrimaryLost):
        assert verdict.suspect == "a"


def test_one_reading_is_not_enough() -> None:
    view, state = sound()
    see(view, 10.1, b=silent(0.7), c=silent(0.7))
    state, verdict = judge(state, view, PEERS, 10.1)
    assert isinstance(verdict, PrimarySeen)
    see(view, 10.2, b=silent(0.01), c=silent(0.01))
    state, verdict = judge(state, view, PEERS, 10.2)
    assert isinstance(verdict, PrimarySeen)
    assert state.silent_since is None


def test_silence_from_before_a_promotion_does_not_count_against_it() -> None:
    view, state = sound()
    see(view, 10.1, b=silent(0.7), c=silent(0.7))
    state, _ = judge(state, view, PEERS, 10.1)
    newer = {"term": 2, "primary": "b"}
    see(view, 10.2, b={**newer, "role": "primary", "log_term": 2, "last": (2, 2)})
    see(view, 10.2, a=silent(0.7, **newer), c=silent(0.7, **newer))
    state, verdict = judge(state, view, PEERS, 10.2)
    assert verdict == Undecided("term 2 is not on a majority yet")


def test_a_refused_connection_shortens_the_silence() -> None:
    view, state = sound()
    note_failed(state, "a", 10.1, refused=True)
    members = {"b": silent(0.3), "c": silent(0.3)}
    assert isinstance(judge_twice(view, state, members), PrimaryLost)


def test_a_refused_connection_alone_promotes_nobody() -> None:
    view, state = sound()
    note_failed(state, "a", 10.1, refused=True)
    assert isinstance(
        judge_twice(view, state, {"b": REPLICA, "c": REPLICA}), PrimarySeen
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
def test_a_primary_that_no_instance_reaches(
    reports: dict[str, float], peers: frozenset[str] | None, lost: bool
) -> None:
    view, state = sound()
    note_failed(state, "a", 10.0)
    see(view, 12.4, b=REPLICA, c=REPLICA)
    for peer, seconds in reports.items():
        note_peer(state, peer, {"a": seconds}, 12.4)
    _, verdict = judge(state, view, peers, 12.5)
    assert isinstance(verdict, PrimaryLost) is lost


def test_a_term_without_a_primary_is_lost_after_a_while() -> None:
    view, state = sound()
    fenced = {"term": 2, "primary": None}
    for at, lost in ((10.1, False), (10.2, False), (10.4, True)):
        see(view, at, a=fenced, b=fenced, c=fenced)
        state, verdict = judge(state, view, PEERS, at)
        assert isinstance(verdict, PrimaryLost) is lost


def test_a_member_stuck_in_a_newer_term_is_freed() -> None:
    view, state = sound()
    for at, lost in ((10.1, False), (10.6, False), (11.2, True)):
        see(view, at, a=LEAD, b=REPLICA, c={"term": 2, "primary": None})
        state, verdict = judge(state, view, PEERS, at)
        assert isinstance(verdict, PrimaryLost) is lost


def test_too_few_answers_decide_nothing() -> None:
    view, state = sound()
    _, verdict = judge(state, view, PEERS, 20.0)
    assert verdict == Undecided("0 of 3 members answer; a decision needs 2")


@pytest.mark.parametrize(
    "replica,expected",
    [
        (REPLICA, PrimaryLeaving(1, "a")),
        ({**REPLICA, "leaving": True}, None),
    ],
)
def test_a_leaving_primary_needs_a_successor(
    replica: dict[str, Any], expected: PrimaryLeaving | None
) -> None:
    view, state = sound()
    see(view, 10.1, a={**LEAD, "leaving": True}, b=replica, c=replica)
    _, verdict = judge(state, view, PEERS, 10.1)
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
        ("failed, heard by a replica", "link-lost"),
        ("failed, heard by a peer", "link-lost"),
        ("failed, heard by none", "dead"),
        ("failed, not known", "unreachable"),
    ],
)
def test_slow_cut_off_and_dead_are_told_apart(kind: str, expected: str) -> None:
    view, state = sound()
    quiet = silent(0.9)
    if kind == "answered":
        note_answered(state, "a", 0.002)
    elif kind == "late":
        note_answered(state, "a", 0.3)
    elif kind == "leaving":
        note_answered(state, "a", 0.002, leaving=True)
    else:
        note_failed(state, "a", 10.1)
    if "replica" not in kind:
        see(view, 10.2, b=quiet, c=quiet)
    if "peer" in kind:
        note_peer(state, "p", {}, 10.2)
    if "none" in kind:
        note_peer(state, "p", {"a": 0.1}, 10.2)
        note_peer(state, "q", {"a": 0.1}, 10.2)
    assert classify(state, view, "a", PEERS, 10.2) == expected


@pytest.mark.parametrize(
    "pending,asked,seconds",
    [
        (None, None, detection.CALM_POLL_SECONDS),
        (10.15, None, detection.CALM_POLL_SECONDS),
        (10.05, None, detection.ALERT_POLL_SECONDS),
        (None, 10.05, detection.ALERT_POLL_SECONDS),
    ],
)
def test_polls_are_rare_until_something_is_in_doubt(
    pending: float | None, asked: float | None, seconds: float
) -> None:
    view, state = sound()
    if asked is not None:
        note_asked(state, "a", asked)
    assert poll_seconds(state, view, 10.2, pending) == seconds
