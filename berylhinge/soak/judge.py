"""Check the product's promises on what callers and databases saw of a run."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple, TYPE_CHECKING

from ..standins.declared import COLD_PER_SECOND
from .history import Outcome
from .world import COLD_EXCESS_FACTOR, COLD_EXCESS_REQUESTS, EVACUATION_MS

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..standins.database_group import Entry, Run
    from .history import Observed

# Largest allowed age of what a read shows, by route (seconds).
STALENESS_SECONDS = {"strict": 0.0, "aged": 1.5, "own": 2.5}
# A withdrawn key stops within this time of the store's answer.
REVOCATION_SECONDS = 5.0
# Most statements that a cold database gets in a second: the declared number, with the
# tolerated excess.
MOST_COLD_RUNS = int(COLD_PER_SECOND * COLD_EXCESS_FACTOR + COLD_EXCESS_REQUESTS)
COLD_WINDOW_SECONDS = 1.0


class Violation(NamedTuple):
    """Name a broken promise and what shows it."""

    promise: str
    detail: str


class Seen(NamedTuple):
    """Hold what the databases recorded.

    Where commits are ``is_durable``, no promotion may roll an acknowledged one back.
    """

    log: Sequence[Entry]
    rolled_back: Sequence[Entry]
    runs: Sequence[Run]
    is_durable: bool = False


def judge(observed: Observed, seen: Seen) -> list[Violation]:
    """Return every broken promise."""
    return [
        *check_kept(observed, seen),
        *check_reads(observed, seen),
        *check_runs(observed, seen),
        *check_transactions(observed, seen),
        *check_evacuations(observed, seen),
        *check_cold(observed, seen),
        *(
            Violation("recovers", f"nothing is served through {name}")
            for name, served in observed.probes.items()
            if not served
        ),
    ]


def check_kept(observed: Observed, seen: Seen) -> Iterator[Violation]:
    """Check acknowledged, refused and repeated writes."""
    places = places_of(seen.log)
    lost = places_of(seen.rolled_back)
    for operation in observed.operations:
        for item, data in operation.writes:
            count = len(places.get(data, ()))
            if count > 1:
                yield Violation("at most once", f"{item} {data} is kept {count} times")
            if count and not operation.may_be_kept:
                promise = f"{operation.outcome}: {operation.steps[-1].request}"
                yield Violation("not run is true", f"{data} is kept after {promise}")
            acknowledged = operation.outcome is Outcome.DONE and operation.may_be_kept
            if acknowledged and not count and data not in lost:
                yield Violation("kept", f"{data} was acknowledged and is nowhere")
            if acknowledged and not count and data in lost and seen.is_durable:
                yield Violation("kept", f"{data} was acknowledged and rolled back")


def places_of(log: Sequence[Entry]) -> dict[str, list[int]]:
    """Return the places of each written value in a log."""
    places: dict[str, list[int]] = defaultdict(list)
    for place, entry in enumerate(log):
        for _, data in entry.writes:
            places[data].append(place)
    return dict(places)


def check_reads(observed: Observed, seen: Seen) -> Iterator[Violation]:
    """Check that no lone read shows less than its route promises."""
    places = places_of(seen.log)
    lost = places_of(seen.rolled_back)
    acknowledged = acknowledged_writes(observed, places)
    for operation in observed.operations:
        step = operation.steps[0]
        is_read = not operation.transaction and not operation.writes
        if not is_read or step.outcome is not Outcome.DONE:
            continue
        shown = step.rows[0] if step.rows else None
        if shown in lost:
            continue
        place = -1 if shown is None else places.get(shown, [-2])[0]
        if place == -2:
            yield Violation("rows", f"{step.request} shows {shown}, never committed")
        horizon = step.sent_at - STALENESS_SECONDS[operation.route]
        for write in acknowledged[step.text.split(" ")[-1]]:
            own = operation.route == "own" and write.session == operation.session
            due = step.sent_at if own else horizon
            if write.ended_at < due and write.place > place:
                yield Violation(
                    "fresh",
                    f"{step.request} on {operation.route} shows {shown}, "
                    f"{write.data} was acknowledged {step.sent_at - write.ended_at:.3f}"
                    " s before",
                )


class Acknowledged(NamedTuple):
    """Hold an acknowledged write that the log still has."""

    session: int
    data: str
    place: int
    ended_at: float


def acknowledged_writes(
    observed: Observed, places: dict[str, list[int]]
) -> dict[str, list[Acknowledged]]:
    """Return each item's acknowledged writes."""
    found: dict[str, list[Acknowledged]] = defaultdict(list)
    for operation in observed.operations:
        if operation.outcome is not Outcome.DONE:
            continue
        ended_at = operation.steps[-1].ended_at
        for item, data in operation.writes:
            if data in places:
                write = Acknowledged(operation.session, data, places[data][0], ended_at)
                found[item].append(write)
    return found


def check_runs(observed: Observed, seen: Seen) -> Iterator[Violation]:
    """Check whose statements ran, with which text, values and key."""
    asked = {
        step.request: (operation, step)
        for operation in observed.operations
        for step in operation.steps
    }
    for run in seen.runs:
        if run.request not in asked:
            yield Violation("asked", f"{run.request} {run.text} was never sent")
            continue
        operation, step = asked[run.request]
        if not same_text(run.text, step.text):
            yield Violation("asked", f"{run.request} ran {run.text} for {step.text}")
        if run.organisation != operation.organisation:
            yield Violation("asked", f"{run.request} ran for {run.organisation}")
        if run.values != operation.values:
            got, expected = run.values, operation.values
            yield Violation("values", f"{run.request} saw {got}, expected {expected}")
        withdrawn_at = observed.withdrawn.get(operation.organisation, step.sent_at)
        if step.sent_at - withdrawn_at > REVOCATION_SECONDS:
            yield Violation("keys", f"{run.request} ran for a withdrawn key")


def same_text(ran: str, sent: str) -> bool:
    """Tell whether a text is unchanged; prepared names may be renamed."""
    words, expected = ran.split(" "), sent.split(" ")
    if words[0] == expected[0] == "EXECUTE":
        return words[2:] == expected[2:]
    return words == expected


def check_transactions(observed: Observed, seen: Seen) -> Iterator[Violation]:
    """Check that a transaction has one connection for itself."""
    runs = {run.request: place for place, run in enumerate(seen.runs)}
    for operation in observed.operations:
        if not operation.transaction:
            continue
        own = {step.request for step in operation.steps}
        places = sorted(runs[name] for name in own if name in runs)
        connections = {seen.runs[place].connection for place in places}
        if len(connections) > 1:
            yield Violation("pinned", f"{sorted(own)} ran on {connections}")
        elif places:
            between = seen.runs[places[0] : places[-1]]
            yield from check_alone(own, between, connections.pop())


def check_alone(
    own: set[str], between: Sequence[Run], connection: int
) -> Iterator[Violation]:
    """Check that no other statement ran inside a transaction."""
    for run in between:
        if run.connection == connection and run.request not in own:
            yield Violation("pinned", f"{run.request} ran inside {sorted(own)}")


def check_evacuations(observed: Observed, seen: Seen) -> Iterator[Violation]:
    """Check that nothing runs in an evacuated failure domain after its bound."""
    for span in observed.evacuations:
        empty_at = span.starts_at + EVACUATION_MS / 1000
        for run in seen.runs:
            if run.database == span.database and empty_at < run.at < span.ends_at:
                late = run.at - span.starts_at
                detail = f"{run.request} ran at {run.database} {late:.3f} s after"
                yield Violation("evacuated", f"{detail} the order")


def check_cold(observed: Observed, seen: Seen) -> Iterator[Violation]:
    """Check that a database that has just started gets no more than was declared."""
    for span in observed.cold:
        moments = [
            run.at
            for run in seen.runs
            if run.database == span.database and span.starts_at <= run.at < span.ends_at
        ]
        for place, moment in enumerate(moments[MOST_COLD_RUNS:]):
            first = moments[place]
            if moment - first < COLD_WINDOW_SECONDS:
                detail = f"{span.database} got {MOST_COLD_RUNS + 1} statements in"
                yield Violation("cold", f"{detail} {moment - first:.3f} s")
                break
