"""Fit straight lines to measured costs."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

LEAST_SIZES = 3


class Fit(NamedTuple):
    """Hold a line with its quality; the residual is the greatest in the data."""

    slope: float
    intercept: float
    r_squared: float
    worst_residual: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], costs: Sequence[float]) -> Fit:
    """Fit by ordinary least squares; raise ValueError below three sizes.

    Legendre 1805; R squared as the share of variance explained.
    """
    if len(set(sizes)) < LEAST_SIZES:
        raise ValueError(f"got sizes {list(sizes)}, expected {LEAST_SIZES} or more")
    middle = sum(sizes) / len(sizes)
    mean = sum(costs) / len(costs)
    spread = sum((size - middle) ** 2 for size in sizes)
    pairs = list(zip(sizes, costs, strict=True))
    slope = sum((size - middle) * (cost - mean) for size, cost in pairs) / spread
    intercept = mean - slope * middle
    residuals = [cost - intercept - slope * size for size, cost in pairs]
    total = sum((cost - mean) ** 2 for cost in costs)
    unexplained = sum(residual**2 for residual in residuals)
    r_squared = 1 - unexplained / total if total else 1.0
    return Fit(slope, intercept, r_squared, max(map(abs, residuals)))
