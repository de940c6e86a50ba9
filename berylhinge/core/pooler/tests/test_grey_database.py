from __future__ import annotations

from random import Random

import pytest

from ....types import DatabaseRole
from ..catalogue import Database
from ..database_load import BelievedLoad, DatabaseLoad
from ..load_balancing import Candidate, order_databases
from ..outliers import OutcomeWindow, review_databases, SetAside

NAMES = ("a", "b", "c")
READS_PER_SECOND = 400
REPORT_SECONDS = 0.5
FAULT_FROM, FAULT_UNTIL, END = 5.0, 15.0, 40.0


def shares_over_time(fault: str, organisations: int, seed: int) -> list[float]:
    """Return the share of database ``a`` in the reads of each second."""
    rng = Random(seed)
    windows = {name: OutcomeWindow() for name in NAMES}
    believed: dict[str, BelievedLoad | None] = dict.fromkeys(NAMES)
    aside: dict[str, SetAside] = {}
    counts = [0] * int(END)
    for number in range(int(END * READS_PER_SECOND)):
        now = number / READS_PER_SECOND
        if number % int(REPORT_SECONDS * READS_PER_SECOND) == 0:
            for name, window in windows.items():
                load = DatabaseLoad(0, 2, 4, 20_000, 60, 0, *window.summary(now))
                believed[name] = BelievedLoad(load, now, is_shared=True)
        aside = review_databases(believed, aside, now)
        candidates = [
            Candidate(
                Database(name, "s", "", name, 4, DatabaseRole.REPLICA, False, 0),
                believed[name],
                is_primary=False,
                is_near=False,
                is_set_aside=name in aside and bool(aside[name].reason),
            )
            for name in NAMES
        ]
        chosen = order_databases(candidates, now, rng)[0].id
        counts[int(now)] += chosen == "a"
        caller = rng.randrange(12)
        is_bad = (
            chosen == "a"
            and FAULT_FROM <= now < FAULT_UNTIL
            and caller < organisations
            and rng.random() < 0.35
        )
        windows[chosen].record(
            f"o{caller}",
            None if is_bad and fault == "fails" else 0.3 if is_bad else 0.02,
            failed=is_bad and fault == "fails",
            now=now,
        )
    return [count / READS_PER_SECOND for count in counts]


@pytest.mark.parametrize("fault", ["fails", "delays"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_database_that_is_grey_for_ten_seconds_gets_few_reads_and_recovers(
    fault: str, seed: int
) -> None:
    """Guards against a third of all reads at a database with a good health check."""
    shares = shares_over_time(fault, 12, seed)
    assert min(shares[1:5]) > 0.25
    assert max(shares[8:15]) < 0.25
    assert sum(shares[8:15]) / 7 < 0.08
    assert min(shares[-5:]) > 0.25


def test_one_caller_whose_statements_fail_moves_hardly_any_reads() -> None:
    shares = shares_over_time("fails", 1, 3)
    assert min(shares[6:15]) > 0.22
