from __future__ import annotations

import pytest

from berylhinge.core import failure_detection

from .group_clock import Faults, Watch

HOUR_SECONDS = 3600.0
DECISION_SECONDS = 0.9
HOSTILE = Faults(loss=0.01, pause_every_seconds=10.0, pause_limit_seconds=0.5)


@pytest.mark.parametrize("seed", range(2))
def test_an_hour_of_losses_and_pauses_starts_no_promotion(seed: int) -> None:
    watch = Watch(HOSTILE, seed=seed, until=HOUR_SECONDS).run()
    assert watch.lost == []
    assert watch.polls > HOUR_SECONDS * 2


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "faults,cause",
    [
        (Faults(dead_at=20.01), "silent"),
        (Faults(dead_at=20.04, loss=0.01), "silent"),
        (Faults(dead_at=20.02, refuses=True), "silent"),
        (Faults(cut_at=20.03), "silent"),
        (Faults(cut_at=20.0, loss=0.01), "silent"),
    ],
)
def test_a_lost_primary_is_found_within_the_bound(
    faults: Faults, cause: str, seed: int
) -> None:
    watch = Watch(faults, seed=seed, until=22.0).run()
    lost_at = faults.dead_at or faults.cut_at
    decided_at, said = watch.lost[0]
    assert lost_at < decided_at < lost_at + DECISION_SECONDS
    assert cause in said


def test_a_refused_connection_is_quicker_evidence() -> None:
    quiet = Watch(Faults(dead_at=20.0), seed=1, until=22.0).run()
    refused = Watch(Faults(dead_at=20.0, refuses=True), seed=1, until=22.0).run()
    assert refused.lost[0][0] < quiet.lost[0][0]


def test_a_short_silence_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(failure_detection, "SILENCE_TIMEOUT_SECONDS", 0.3)
    watch = Watch(HOSTILE, seed=0, until=HOUR_SECONDS / 6).run()
    assert watch.lost
