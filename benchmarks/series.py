"""Hold a cost measured at several sizes and print its line."""

from __future__ import annotations

from typing import NamedTuple

from berylhinge.load.fits import fit_line


class Series(NamedTuple):
    """Hold one cost by size."""

    name: str
    driver: str
    unit: str
    costs: dict[float, float]


def print_series(series: Series) -> None:
    """Print the points, the fitted line and its quality."""
    fit = fit_line(list(series.costs), list(series.costs.values()))
    points = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in series.costs.items())
    print(
        f"| {series.name} | {series.driver} | {points} | {fit.slope:.4g} |"
        f" {fit.intercept:.4g} | {series.unit} | {fit.r_squared:.3f} |"
        f" {fit.worst_residual:.3g} |",
        flush=True,
    )


def print_head() -> None:
    """Print the table's head."""
    print("| cost | against | measured | slope | intercept | unit | R2 | residual |")
    print("|---|---|---|---|---|---|---|---|")
