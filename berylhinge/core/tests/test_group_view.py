from __future__ import annotations

import pytest

from ...types import LogPoint
from ..group_view import (
    confirmed_point,
    confirmed_primary,
    entries_behind,
    GroupView,
    is_acknowledged,
    is_log_confirmed,
    is_superseded,
    max_term,
    new_view,
    observe_answer,
    observe_status,
    Primary,
    TERMS_KEPT,
    write_target,
)
from .samples_group import sample_answer, sample_status

Report = tuple[str, str, int, int, tuple[int, int]]


def view_of(reports: list[Report], members: str = "abc") -> GroupView:
    view = new_view("g", members)
    for at, (name, role, term, log_term, last) in enumerate(reports):
        report = sample_status(name, role=role, term=term, log_term=log_term, last=last)
        observe_status(view, name, report, float(at), float(at))
    return view


@pytest.mark.parametrize(
    "reports,members,confirmed",
    [
        ([("a", "primary", 1, 1, (1, 5))], "abc", None),
        (
            [("a", "primary", 1, 1, (1, 5)), ("b", "replica", 1, 1, (1, 4))],
            "abc",
            (1, 4),
        ),
        (
            [("b", "replica", 1, 1, (1, 4)), ("c", "replica", 1, 1, (1, 3))],
            "abc",
            (1, 3),
        ),
        (
            [("a", "primary", 1, 1, (1, 5)), ("b", "replica", 2, 1, (1, 5))],
            "abc",
            None,
        ),
        (
            [("a", "primary", 2, 2, (2, 5)), ("b", "replica", 2, 2, (1, 4))],
            "abc",
            None,
        ),
        (
            [("a", "primary", 1, 1, (1, 5)), ("b", "replica", 1, 1, (1, 5))],
            "abcde",
            None,
        ),
        (
            [
                ("a", "primary", 1, 1, (1, 5)),
                ("b", "replica", 1, 1, (1, 4)),
                ("c", "replica", 1, 1, (1, 3)),
            ],
            "abcde",
            (1, 3),
        ),
    ],
)
def test_confirmed_point_is_the_last_entry_on_a_majority(
    reports: list[Report], members: str, confirmed: tuple[int, int] | None
) -> None:
    view = view_of(reports, members)
    term = max_term(view) if confirmed is None else confirmed[0]
    assert confirmed_point(view, term) == confirmed


def test_primary_holds_at_least_the_entries_of_its_replicas() -> None:
    view = view_of([("a", "primary", 1, 1, (1, 2)), ("b", "replica", 1, 1, (1, 9))])
    assert is_acknowledged(view, 1, LogPoint(1, 9))
    assert not is_acknowledged(view, 1, LogPoint(1, 10))
    assert not is_acknowledged(view, 2, LogPoint(2, 3))


def test_write_answer_confirms_entry_like_a_status() -> None:
    view = view_of([("b", "replica", 1, 1, (1, 2))])
    observe_answer(view, "a", sample_answer(1, 1, (1, 2)), 1.0, 1.0)
    assert is_acknowledged(view, 1, LogPoint(1, 2))


def test_primary_is_confirmed_by_an_entry_of_its_term_on_a_majority() -> None:
    view = view_of([("b", "primary", 2, 2, (2, 3)), ("c", "replica", 2, 1, (1, 2))])
    assert confirmed_primary(view) is None
    assert write_target(view) == Primary("b", 2, False)
    observe_status(
        view, "c", sample_status("c", term=2, log_term=2, last=(2, 3)), 5.0, 5.0
    )
    assert confirmed_primary(view) == write_target(view) == Primary("b", 2, True)


def test_majority_in_a_newer_term_supersedes_the_primary() -> None:
    view = view_of([("a", "primary", 1, 1, (1, 2)), ("b", "replica", 1, 1, (1, 2))])
    observe_status(view, "c", sample_status("c", term=2), 5.0, 5.0)
    assert confirmed_primary(view) == Primary("a", 1, True)
    observe_status(view, "b", sample_status("b", term=2, last=(1, 2)), 6.0, 6.0)
    assert is_superseded(view, 1)
    assert confirmed_primary(view) is write_target(view) is None


def test_late_status_does_not_move_the_log_back() -> None:
    view = view_of([("b", "replica", 1, 1, (1, 9))])
    observe_status(view, "b", sample_status("b", last=(1, 4)), 9.0, 9.0)
    observation = view.observations["b"]
    assert (observation.last, observation.asked_at) == (LogPoint(1, 9), 9.0)


def test_non_members_are_ignored_and_old_terms_dropped() -> None:
    view = new_view("g", "abc")
    observe_status(view, "z", sample_status("z", role="primary"), 0.0, 0.0)
    for term in range(1, 10):
        report = sample_status(
            "a", role="primary", term=term, log_term=term, last=(term, term)
        )
        observe_status(view, "a", report, float(term), float(term))
    assert set(view.observations) == {"a"}
    assert len(view.points_by_term) == len(view.primaries) == TERMS_KEPT


def test_lag_and_log_confirmation() -> None:
    view = view_of(
        [
            ("a", "primary", 1, 1, (1, 9)),
            ("b", "replica", 1, 1, (1, 9)),
            ("c", "replica", 1, 1, (1, 4)),
        ]
    )
    assert entries_behind(view, "c") == 5
    assert is_log_confirmed(view, 1, LogPoint(1, 9))
    assert not is_log_confirmed(view, 1, LogPoint(1, 10))
    assert not is_log_confirmed(view, 2, LogPoint(1, 1))
