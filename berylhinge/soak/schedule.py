"""Draw a run's faults from its seed, and shrink those of a failed run."""

from __future__ import annotations

from random import Random
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

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
ON_STORE = (
    "down",
    "answers-lost",
    "history-forgotten",
    "version",
    "key-withdrawn",
    "restored",
)


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
    seed: int, *, seconds: float, instances: Sequence[str], databases: Sequence[str]
) -> list[Fault]:
    """Return the faults of a seed, in the order of their starts."""
    rng = Random(seed)
    faults = []
    now = QUIET_SECONDS
    while (now := now + rng.expovariate(1.0 / GAP_SECONDS)) < seconds:
        fault = draw(rng, now, instances, databases)
        faults.append(fault)
        while rng.random() < REPEAT_CHANCE:
            fault = fault._replace(at=fault.ends_at + SHORT_SECONDS)
            faults.append(fault)
    return sorted(
        (fault for fault in faults if fault.ends_at <= seconds),
        key=lambda fault: fault.at,
    )


def draw(
    rng: Random, now: float, instances: Sequence[str], databases: Sequence[str]
) -> Fault:
    """Return one fault."""
    lasting = rng.uniform(SHORT_SECONDS, LONG_SECONDS)
    kinds, targets = rng.choice(
        [(ON_INSTANCES, instances), (ON_DATABASES, databases), (ON_STORE, ("store",))]
    )
    return Fault(rng.choice(kinds), rng.choice(targets), round(now, 2), lasting)


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
