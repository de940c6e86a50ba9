"""Render a result as one self-contained HTML page."""

from __future__ import annotations

import html
import io
from typing import Any, TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from ..errors import BerylhingeError
from .results import BUCKET_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from .results import Result

FIGURE_INCHES = (9.0, 3.2)
PERCENTILE_STEPS = 10
MAX_NINES = 99.99
STYLE = (
    "body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;"
    "border-bottom:1px solid #ccc}svg{max-width:100%;height:auto}"
)


class PlotsMissingError(BerylhingeError):
    """Tell that the plotting library is not installed."""


def load_pyplot() -> Any:
    """Import the plotting library; raise PlotsMissingError."""
    try:
        import matplotlib

        matplotlib.use("svg")
        import matplotlib.pyplot as pyplot
    except ImportError as error:
        raise PlotsMissingError(
            "got no matplotlib, expected it installed; pip install matplotlib"
        ) from error
    return pyplot


def render_report(result: Result) -> str:
    """Return the page."""
    pyplot = load_pyplot()
    parts = [
        f"<h1>{html.escape(result['name'])}</h1>",
        table(("measure", "value"), headline(result)),
        "<h2>Success share by organisation</h2>",
        plot(pyplot, result, draw_success),
        table(
            ("organisation", "sent", "due", "served", "wrongful", "share", "p99 ms"),
            organisation_rows(result),
        ),
        "<h2>Write gaps</h2>",
        plot(pyplot, result, draw_gaps),
        "<h2>Replica share of reads</h2>",
        plot(pyplot, result, draw_replicas),
        "<h2>Latency from the intended send</h2>",
        plot(pyplot, result, draw_percentiles),
        table(("kind", "count", "p50", "p90", "p99", "p99.9", "max"), kinds(result)),
        "<h2>Refusals by reason</h2>",
        plot(pyplot, result, draw_refusals),
        "<h2>Broken promises</h2>",
        table(("promise", "count"), result["broken_promises"].items()),
        table(
            ("promise", "operation", "detail"),
            [
                (one["promise"], one["index"], one["detail"])
                for one in result["violations"]
            ],
        ),
        "<h2>Faults</h2>",
        table(
            ("at s", "action", "target", "note"),
            [
                (f"{one['at_seconds']:.2f}", one["action"], one["target"], one["note"])
                for one in result["events"]
            ],
        ),
    ]
    title = html.escape(result["name"])
    return (
        f"<!DOCTYPE html><html lang=en><head><meta charset=utf-8><title>{title}</title>"
        f"<style>{STYLE}</style></head><body>{''.join(parts)}</body></html>"
    )


def headline(result: Result) -> list[tuple[str, object]]:
    """Return the measures that come first."""
    gap = result["failover_gap_ms"]
    return [
        ("replica read share", f"{result['replica_read_share']:.4f}"),
        ("failover write gap", "no failover" if gap is None else f"{gap:.0f} ms"),
        (
            "worst-served organisation",
            f"{result['worst_organisation']} {result['worst_success_share']:.5f}",
        ),
        ("wrongful refusals", f"{result['wrongful_refusals']} of {result['due']}"),
        ("of these for the rate", result["wrongful_rate_refusals"]),
        ("broken promises", sum(result["broken_promises"].values())),
        ("operations", result["operations"]),
        ("latest send behind its time", f"{result['late_ms']:.1f} ms"),
        ("commit, seed", f"{result['commit']}, {result['seed']}"),
    ]


def organisation_rows(result: Result) -> list[tuple[object, ...]]:
    """Return one row for each organisation."""
    return [
        (
            one["organisation"] + (" (noisy)" if one["noisy"] else ""),
            one["sent"],
            one["due"],
            one["served"],
            one["wrongful"],
            f"{one['success_share']:.5f}",
            f"{one['p99_ms']:.1f}",
        )
        for one in result["organisations"]
    ]


def kinds(result: Result) -> list[tuple[object, ...]]:
    """Return one row of latencies for each kind, in milliseconds."""
    return [
        (
            kind,
            one["count"],
            one["p50"],
            one["p90"],
            one["p99"],
            one["p99_9"],
            one["max"],
        )
        for kind, one in result["latencies"].items()
    ]


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return an HTML table."""
    top = "".join(f"<th>{html.escape(cell)}</th>" for cell in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{top}</tr>{body}</table>"


def plot(pyplot: Any, result: Result, draw: Callable[[Any, Result], None]) -> str:
    """Draw one figure and return it as inline SVG."""
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES, layout="constrained")
    draw(axes, result)
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg")
    pyplot.close(figure)
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def times(series: Sequence[float]) -> list[float]:
    """Return the bucket starts in seconds."""
    return [number * BUCKET_SECONDS for number in range(len(series))]


def mark_events(axes: Any, result: Result) -> None:
    """Mark the faults on a time axis."""
    for event in result["events"]:
        axes.axvline(event["at_seconds"], color="grey", linestyle=":", linewidth=1)
    axes.set_xlabel("seconds")


def draw_success(axes: Any, result: Result) -> None:
    """Plot each organisation's success share over time."""
    for name, series in result["series"].items():
        if name.startswith("success_share/"):
            axes.plot(times(series), series, label=name.partition("/")[2], linewidth=1)
    axes.set_ylim(-0.02, 1.02)
    axes.legend(fontsize="x-small", ncols=2)
    mark_events(axes, result)


def draw_gaps(axes: Any, result: Result) -> None:
    """Plot each route's longest write gap."""
    names = list(result["write_gaps_ms"])
    axes.barh(names, [result["write_gaps_ms"][name] for name in names])
    axes.set_xlabel("ms")


def draw_replicas(axes: Any, result: Result) -> None:
    """Plot the replicas' share of reads over time."""
    series = result["series"]["replica_read_share"]
    axes.plot(times(series), series)
    axes.set_ylim(-0.02, 1.02)
    mark_events(axes, result)


def draw_percentiles(axes: Any, result: Result) -> None:
    """Plot each kind's latency by percentile, on a scale of nines."""
    for kind, one in result["latencies"].items():
        histogram = HdrHistogram.decode(one["histogram"])
        shares = [
            100 * (1 - 10 ** (-step / PERCENTILE_STEPS))
            for step in range(4 * PERCENTILE_STEPS + 1)
        ]
        shares = [share for share in shares if share <= MAX_NINES]
        values = [histogram.get_value_at_percentile(share) / 1e3 for share in shares]
        axes.plot([1 / (1 - share / 100) for share in shares], values, label=kind)
    axes.set_xscale("log")
    axes.set_xticks([1, 10, 100, 1000, 10000], ["0", "90", "99", "99.9", "99.99"])
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("ms")
    if result["latencies"]:
        axes.legend(fontsize="x-small")


def draw_refusals(axes: Any, result: Result) -> None:
    """Plot the refusals by reason."""
    names = sorted(result["refusals"])
    axes.barh(names, [result["refusals"][name] for name in names])
    axes.set_xlabel("requests")
