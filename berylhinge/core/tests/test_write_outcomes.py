from __future__ import annotations

import pytest

from ...types import LogPoint
from ..group_view import GroupView, new_view, observe_status
from ..write_outcomes import decide_by_entry, decide_by_view, WriteOutcome
from .samples_group import sample_status

WRITTEN = LogPoint(1, 5)


def failed_over(*, confirmed: bool) -> GroupView:
    view = new_view("g", "abc")
    observe_status(view, "a", sample_status("a", role="primary", last=(1, 5)), 0.0, 0.0)
    primary = sample_status("b", role="primary", term=2, log_term=2, last=(2, 6))
    observe_status(view, "b", primary, 1.0, 1.0)
    last = (2, 6) if confirmed else (1, 4)
    log_term = 2 if confirmed else 1
    observe_status(
        view, "c", sample_status("c", term=2, log_term=log_term, last=last), 1.0, 1.0
    )
    return view


@pytest.mark.parametrize(
    "confirmed,entry_term,log_term,last,expected",
    [
        (True, 1, 2, (2, 6), WriteOutcome.ACKNOWLEDGED),
        (True, 2, 2, (2, 6), WriteOutcome.NOT_RUN),
        (True, None, 2, (2, 4), WriteOutcome.NOT_RUN),
        (True, None, 2, (1, 4), WriteOutcome.PENDING),
        (True, 1, 1, (1, 5), WriteOutcome.PENDING),
        (False, 2, 2, (2, 6), WriteOutcome.PENDING),
        (False, 1, 2, (2, 6), WriteOutcome.PENDING),
    ],
)
def test_only_the_log_of_a_newer_confirmed_term_decides(
    confirmed: bool,
    entry_term: int | None,
    log_term: int,
    last: tuple[int, int],
    expected: WriteOutcome,
) -> None:
    reported = sample_status("b", term=2, log_term=log_term, last=last)
    view = failed_over(confirmed=confirmed)
    answer = {"entry_term": entry_term, "status": reported}
    assert decide_by_entry(view, WRITTEN, answer) is expected  # type: ignore[arg-type]


def test_a_majority_within_the_same_term_decides_without_asking() -> None:
    view = new_view("g", "abc")
    observe_status(view, "a", sample_status("a", role="primary", last=(1, 5)), 0.0, 0.0)
    assert decide_by_view(view, WRITTEN) is WriteOutcome.PENDING
    observe_status(view, "c", sample_status("c", last=(1, 5)), 0.0, 0.0)
    assert decide_by_view(view, WRITTEN) is WriteOutcome.ACKNOWLEDGED
