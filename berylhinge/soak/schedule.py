"""Draw a run's faults from its seed, and shrink those of a failed run."""

from __future__ import annotations

from random import Random
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .history import Span

# Seconds without faults at the start, so that the fleet has formed.
QUIET_SECONDS = 1.0
# Mean pause between the starts of two faults; they overlap often.
GAP_SECONDS = 0.7
# A fault lasts between these times.
SHORT_SECONDS = 0.3
LONG_SECONDS = 3.0
# Chance that a fault comes again at once, in a series.
REPEAT_CHANCE = 0.25

ON_INSTANCES = (
    "kill",
    "stop",
    "pause",
    "reload",
    "store-silent",
    "store-cut",
    "store-refused",
    "store-delayed",
    "callers-reset",
)
ON_DATABASES = ("crash", "silent", "deaf", "delayed", "reset", "cut")
# Where an acknowledged commit outlives its primary: a planned replacement, and what
# takes no database's log away.
ON_DURABLE_DATABASES = ("leaving", "silent", "deaf", "delayed", "reset", "cut")
# Faults of load and orders of the operator, where the instances have agreed on features
# that answer them.
ON_CALLERS = ("hot-organisation", "idle-transactions")
ON_FEATURES = (*ON_CALLERS, "slow", "evacuated")
# An evacuation lasts longer, so that it is complete for a while.
EVACUATION_SECONDS = (4.0, 7.0)
ON_STORE = (
    "down",
    "answers-lost",
    "history-forgotten",
    "version",
    "key-withdrawn",
    "restored",
)


# After these an instance may be out of touch with the store, until it has caught up.
OUT_OF_TOUCH = frozenset(
    {
        "pause",
        "store-silent",
        "store-cut",
        "store-refused",
        "store-delayed",
        "down",
        "answers-lost",
        "history-forgotten",
        "restored",
    }
)
CATCH_UP_SECONDS = 2.0


class Fault(NamedTuple):
    """Harm a target from ``at`` on, in seconds from the start."""

    kind: str
    target: str
    at: float
    seconds: float

    @property
    def ends_at(self) -> float:
        """Return when the fault is over."""
        return self.at + self.seconds


def plan(
    seed: int,
    *,
    seconds: float,
    instances: Sequence[str],
    databases: Sequence[str],
    has_features: bool = False,
    is_durable: bool = False,
) -> list[Fault]:
    """Return the faults of a seed, in the order of their starts."""
    on_databases = ON_DURABLE_DATABASES if is_durable else ON_DATABASES
    targets_by_kind: list[tuple[Sequence[str], Sequence[str]]] = [
        (ON_INSTANCES, instances),
        (on_databases, databases),
        (ON_STORE, ("store",)),
    ]
    if has_features:
        targets_by_kind.append((ON_FEATURES, databases))
    rng = Random(seed)
    faults = []
    now = QUIET_SECONDS
    while (now := now + rng.expovariate(1.0 / GAP_SECONDS)) < seconds:
        fault = draw(rng, now, targets_by_kind)
        faults.append(fault)
        while rng.random() < REPEAT_CHANCE:
            fault = fault._replace(at=fault.ends_at + SHORT_SECONDS)
            faults.append(fault)
    return sorted(
        (fault for fault in faults if fault.ends_at <= seconds),
        key=lambda fault: fault.at,
    )


def draw(
    rng: Random,
    now: float,
    targets_by_kind: Sequence[tuple[Sequence[str], Sequence[str]]],
) -> Fault:
    """Return one fault."""
    lasting = rng.uniform(SHORT_SECONDS, LONG_SECONDS)
    kinds, targets = rng.choice(targets_by_kind)
    fault = Fault(rng.choice(kinds), rng.choice(targets), round(now, 2), lasting)
    if fault.kind == "evacuated":
        return fault._replace(seconds=rng.uniform(*EVACUATION_SECONDS))
    return fault


def undisturbed_span(
    span: Span, faults: Sequence[Fault], started_at: float
) -> Span | None:
    """Return the part of a span in which all instances are in touch with the store."""
    ends_at = span.ends_at
    for fault in faults:
        begins, over = started_at + fault.at, started_at + fault.ends_at
        if fault.kind in OUT_OF_TOUCH and over + CATCH_UP_SECONDS > span.starts_at:
            ends_at = min(ends_at, begins)
    return span._replace(ends_at=ends_at) if ends_at > span.starts_at else None


def shrink(
    faults: Sequence[Fault], fails: Callable[[Sequence[Fault]], bool]
) -> list[Fault]:
    """Return a part of the faults that still fails, from which none can be left out.

    Halves, then quarters and so on are left out in turn (ddmin; Zeller and
    Hildebrandt, 2002).
    """
    kept = list(faults)
    size = max(1, len(kept) // 2)
    while kept:
        for start in range(0, len(kept), size):
            without = kept[:start] + kept[start + size :]
            if fails(without):
                kept = without
                break
        else:
            if size == 1:
                return kept
            size = max(1, size // 2)
    return kept
