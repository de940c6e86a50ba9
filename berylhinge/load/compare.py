"""Compare two results and tell differences from noise."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .statistics import compare_series

if TYPE_CHECKING:
    from .results import Result
    from .statistics import Comparison

SEED = 1


class Line(NamedTuple):
    """Compare one measure."""

    measure: str
    comparison: Comparison

    @property
    def verdict(self) -> str:
        """Say in a word what the difference is."""
        if self.comparison.is_noise:
            return "noise"
        return "higher" if self.comparison.new > self.comparison.old else "lower"


def compare_results(old: Result, new: Result) -> list[Line]:
    """Compare every series that both results hold, bucket by bucket."""
    shared = sorted(old["series"].keys() & new["series"].keys())
    return [
        Line(name, compare_series(old["series"][name], new["series"][name], seed=SEED))
        for name in shared
    ]


def scalars(result: Result) -> dict[str, float]:
    """Return the figures that a run has once, which one run cannot call noise."""
    return {
        "failover_gap_ms": result["failover_gap_ms"] or 0.0,
        "worst_success_share": result["worst_success_share"],
        "wrongful_refusals": float(result["wrongful_refusals"]),
        "broken_promises": float(sum(result["broken_promises"].values())),
    }
