from __future__ import annotations

import pytest

from ..message_delays import ClockOffset, measure_excess_delay, OFFSET_WINDOW_SECONDS

# The sender's clock is behind the recipient's by this much.
SENDER_CLOCK_LAG_SECONDS = 500.0


def measure_delays(*messages: tuple[float, float]) -> list[float]:
    """Return the measured delay of each message, given its send time and true delay."""
    offset: ClockOffset | None = None
    measured = []
    for sent_at, delay in messages:
        offset, excess_delay = measure_excess_delay(
            offset, sent_at - SENDER_CLOCK_LAG_SECONDS, sent_at + delay
        )
        measured.append(round(excess_delay, 6))
    return measured


@pytest.mark.parametrize(
    ("messages", "expected"),
    [
        ([(0.0, 0.001)], [0.0]),
        ([(0.0, 0.001), (1.0, 0.001), (2.0, 0.901)], [0.0, 0.0, 0.9]),
        ([(0.0, 0.5), (1.0, 0.001), (2.0, 0.101)], [0.0, 0.0, 0.1]),
    ],
)
def test_delay_is_measured_from_the_fastest_message(
    messages: list[tuple[float, float]], expected: list[float]
) -> None:
    assert measure_delays(*messages) == expected


def test_messages_received_during_a_pause_count_as_delayed() -> None:
    before = [(float(second), 0.002) for second in range(100)]
    during_pause = [(100.0, 5.0), (101.0, 4.0), (104.9, 0.1)]
    assert measure_delays(*before, *during_pause)[-3:] == [4.998, 3.998, 0.098]


def test_clock_drift_does_not_accumulate() -> None:
    drift = 1e-4
    sent = [(second, 0.001 + second * drift) for second in range(0, 3600, 5)]
    assert max(measure_delays(*sent)) <= 2 * OFFSET_WINDOW_SECONDS * drift + 0.001
