"""Condense a run's records into the result document."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import NotRequired, TYPE_CHECKING, TypedDict

from .allowance import judge
from .checker import Promise
from .records import Allowance, Verdict
from .scenario import Kind, READS
from .statistics import latencies, PERCENTILES, write_gap

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .checker import Violation
    from .records import Operation
    from .scenario import Scenario

FORMAT = 1
BUCKET_SECONDS = 1.0
GAP_WINDOW_SECONDS = 14.0
MAX_VIOLATIONS_LISTED = 50
PRIMARY_FAULTS = frozenset({"cut-primary", "leave-primary"})


class Event(TypedDict):
    """Record one fault as it was carried out."""

    at_seconds: float
    action: str
    target: str
    note: str


class Latency(TypedDict):
    """Summarise one kind's latencies from intended sends, in milliseconds."""

    count: int
    p50: float
    p90: float
    p99: float
    p99_9: float
    max: float
    histogram: str


class OrganisationResult(TypedDict):
    """Tell how one organisation fared; ``noisy`` if it offered over its rate."""

    organisation: str
    sent: int
    due: int
    served: int
    wrongful: int
    wrongful_rate: int
    success_share: float
    p99_ms: float
    noisy: bool


class ViolationResult(TypedDict):
    """List one broken promise."""

    promise: str
    index: int
    detail: str


class Result(TypedDict):
    """Hold everything that is measured of one run."""

    format: int
    name: str
    user: str
    fault: str
    seed: int
    seconds: float
    commit: str
    operations: int
    late_ms: float
    replica_read_share: float
    write_gaps_ms: dict[str, float]
    failover_gap_ms: float | None
    worst_organisation: str
    worst_success_share: float
    wrongful_refusals: int
    wrongful_rate_refusals: int
    due: int
    organisations: list[OrganisationResult]
    latencies: dict[str, Latency]
    refusals: dict[str, int]
    unknown_outcomes: int
    broken_promises: dict[str, int]
    violations: list[ViolationResult]
    events: list[Event]
    series: dict[str, list[float]]
    processes: NotRequired[dict[str, float]]


def allowances_of(scenario: Scenario) -> dict[str, Allowance]:
    """Return the declared allowances by organisation."""
    return {
        entry["organisation"]: Allowance(entry["rate_per_second"], entry["burst"])
        for entry in scenario["organisations"]
    }


def summarise(
    scenario: Scenario,
    operations: Sequence[Operation],
    violations: Sequence[Violation],
    events: Sequence[Event],
    *,
    late_seconds: float,
    commit: str,
) -> Result:
    """Build the result; operations of the warm-up count for the promises alone."""
    warm = scenario["warmup_seconds"]
    counted = [one for one in operations if one.intended >= warm]
    organisations = rate_organisations(scenario, operations)
    quiet = [entry for entry in organisations if not entry["noisy"]] or organisations
    worst = min(quiet, key=lambda entry: entry["success_share"])
    gaps = write_gaps(scenario, operations, events)
    struck = [event["target"] for event in events if event["action"] in PRIMARY_FAULTS]
    struck_gaps = [gaps[route] for route in struck if route in gaps]
    return Result(
        format=FORMAT,
        name=scenario["name"],
        user=scenario["user"],
        fault=scenario["fault"],
        seed=scenario["seed"],
        seconds=scenario["seconds"],
        commit=commit,
        operations=len(counted),
        late_ms=late_seconds * 1e3,
        replica_read_share=replica_share(counted),
        write_gaps_ms=gaps,
        failover_gap_ms=max(struck_gaps) if struck_gaps else None,
        worst_organisation=worst["organisation"],
        worst_success_share=worst["success_share"],
        wrongful_refusals=sum(entry["wrongful"] for entry in organisations),
        wrongful_rate_refusals=sum(entry["wrongful_rate"] for entry in organisations),
        due=sum(entry["due"] for entry in organisations),
        organisations=organisations,
        latencies=latency_table(counted),
        refusals=dict(Counter(one.reason for one in counted if one.reason)),
        unknown_outcomes=sum(one.verdict is Verdict.UNKNOWN for one in counted),
        broken_promises=count_promises(violations),
        violations=[
            ViolationResult(promise=one.promise, index=one.index, detail=one.detail)
            for one in violations[:MAX_VIOLATIONS_LISTED]
        ],
        events=list(events),
        series=series_of(scenario, operations),
    )


def count_promises(violations: Iterable[Violation]) -> dict[str, int]:
    """Count the violations of every promise, zeros included."""
    counts = Counter(one.promise.value for one in violations)
    return {promise.value: counts[promise.value] for promise in Promise}


def replica_share(operations: Iterable[Operation]) -> float:
    """Return the share of answered reads that replicas served, 0 of none."""
    served = [
        one.served_by for one in operations if one.kind in READS and one.served_by
    ]
    return served.count("replica") / len(served) if served else 0.0


def rate_organisations(
    scenario: Scenario, operations: Sequence[Operation]
) -> list[OrganisationResult]:
    """Judge each organisation after the warm-up, its whole burst at hand."""
    allowances = allowances_of(scenario)
    warm = scenario["warmup_seconds"]
    by_name = defaultdict(list)
    for operation in operations:
        if operation.intended >= warm:
            by_name[operation.organisation].append(operation)
    rows = []
    for entry in scenario["organisations"]:
        name = entry["organisation"]
        service = judge(by_name[name], allowances[name])
        p99 = latencies(by_name[name]).get_value_at_percentile(99.0) / 1e3
        rows.append(
            OrganisationResult(
                organisation=name,
                sent=service.sent,
                due=service.due,
                served=service.served,
                wrongful=service.wrongful,
                wrongful_rate=service.wrongful_rate,
                success_share=service.success_share,
                p99_ms=p99,
                noisy=bool(entry.get("surges")),
            )
        )
    return rows


def write_gaps(
    scenario: Scenario, operations: Sequence[Operation], events: Sequence[Event]
) -> dict[str, float]:
    """Return each route's longest write silence in milliseconds.

    On a route that a fault struck, the silence is sought from the fault on; on
    the others, from the warm-up to the end.
    """
    struck = {
        event["target"]: event["at_seconds"]
        for event in events
        if event["action"] in PRIMARY_FAULTS
    }
    gaps = {}
    for route in scenario["fleet"]["databases"]:
        own = [one for one in operations if one.route == route]
        start = struck.get(route, scenario["warmup_seconds"])
        end = scenario["seconds"]
        if route in struck:
            end = min(end, start + GAP_WINDOW_SECONDS)
        gap = write_gap(own, start=start, end=end)
        if gap is not None:
            gaps[route] = gap * 1e3
    return gaps


def latency_table(operations: Sequence[Operation]) -> dict[str, Latency]:
    """Summarise each kind that was answered at all."""
    table = {}
    for kind in Kind:
        histogram = latencies(one for one in operations if one.kind is kind)
        count = histogram.get_total_count()
        if not count:
            continue
        p50, p90, p99, p99_9 = (
            histogram.get_value_at_percentile(share) / 1e3 for share in PERCENTILES
        )
        table[kind.value] = Latency(
            count=count,
            p50=p50,
            p90=p90,
            p99=p99,
            p99_9=p99_9,
            max=histogram.get_max_value() / 1e3,
            histogram=histogram.encode().decode("ascii"),
        )
    return table


def series_of(
    scenario: Scenario, operations: Sequence[Operation]
) -> dict[str, list[float]]:
    """Return the figures of each bucket by intended send."""
    count = max(1, int(scenario["seconds"] / BUCKET_SECONDS))
    buckets: list[list[Operation]] = [[] for _ in range(count)]
    for operation in operations:
        place = min(count - 1, int(operation.intended / BUCKET_SECONDS))
        buckets[place].append(operation)
    series = {
        "success_share": [success_share(bucket) for bucket in buckets],
        "replica_read_share": [replica_share(bucket) for bucket in buckets],
        "p50_ms": [percentile_ms(bucket, 50.0) for bucket in buckets],
        "p99_ms": [percentile_ms(bucket, 99.0) for bucket in buckets],
        "refusals": [float(sum(bool(one.reason) for one in own)) for own in buckets],
    }
    for entry in scenario["organisations"]:
        name = entry["organisation"]
        series[f"success_share/{name}"] = [
            success_share([one for one in bucket if one.organisation == name])
            for bucket in buckets
        ]
    return series


def success_share(operations: Sequence[Operation]) -> float:
    """Return the share answered, 1 of none."""
    served = sum(one.verdict is Verdict.OK for one in operations)
    return served / len(operations) if operations else 1.0


def percentile_ms(operations: Sequence[Operation], share: float) -> float:
    """Return one latency percentile in milliseconds."""
    return latencies(operations).get_value_at_percentile(share) / 1e3
