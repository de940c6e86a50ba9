from __future__ import annotations

import pytest

from ..fits import fit_line

LINES = [
    ([1, 2, 3], [3, 5, 7], (2, 1, 1.0, 0)),
    ([0, 10, 20], [5, 5, 5], (0, 5, 1.0, 0)),
    ([0, 1, 2], [0, 3, 0], (0, 1, 0.0, 2)),
]


@pytest.mark.parametrize(("sizes", "costs", "expected"), LINES)
def test_fit_line(
    sizes: list[float], costs: list[float], expected: tuple[float, ...]
) -> None:
    assert tuple(fit_line(sizes, costs)) == pytest.approx(expected)


def test_extrapolation_and_too_few_sizes() -> None:
    assert fit_line([1, 2, 3], [3, 5, 7]).at(2_000) == pytest.approx(4_001)
    with pytest.raises(ValueError, match="3 or more"):
        fit_line([1, 1, 2], [1, 1, 2])
