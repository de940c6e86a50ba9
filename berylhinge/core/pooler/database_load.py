"""Measure the load of a database at its holder, and age it where it is used.

The holder runs all statements on a database, so that it knows its queue exactly. Every
other instance knows what the last answer or report said, and how old that is.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .decay import decay_factor

if TYPE_CHECKING:
    from ...types import Seconds

# Time constant of the shares and means that a holder measures. It spans some hundred
# statements, so that their random mix moves a mean by a few percent only.
MEASURE_SECONDS = 1.0
# Running time assumed until a database has ended a statement.
INITIAL_RUN_SECONDS = 0.015


class DatabaseLoad(NamedTuple):
    """Report the load of a database; whole numbers take few bytes.

    ``busy_percent`` is the share of its slots that was in use over about a second,
    ``own_percent`` the share taken by what only a primary can run, ``failed_percent``
    and ``slow_percent`` the shares of its statements that failed or were delayed, each
    organisation counted alike, and ``affected_organisations`` how many had such
    statements.
    """

    waiting: int
    running: int
    slots: int
    run_microseconds: int
    busy_percent: int
    own_percent: int = 0
    failed_percent: int = 0
    slow_percent: int = 0
    affected_organisations: int = 0

    @property
    def run_seconds(self) -> Seconds:
        """Return the mean running time of a statement."""
        return self.run_microseconds / 1e6

    @property
    def busy_share(self) -> float:
        """Return the share of the slots that was in use."""
        return self.busy_percent / 100

    @property
    def own_share(self) -> float:
        """Return the share of the slots taken by what only a primary can run."""
        return self.own_percent / 100


class BelievedLoad(NamedTuple):
    """Hold a report, its moment, and what this instance sent to the database since.

    Other instances act on the same report if it ``is_shared``, because a third one
    passed it on.
    """

    load: DatabaseLoad
    observed_at: Seconds
    sent_since: int = 0
    is_shared: bool = False


class LoadMeter:
    """Measure the slots in use and the running times of one database, in place."""

    __slots__ = (
        "busy_share",
        "count",
        "measured_at",
        "own_seconds",
        "run_seconds",
        "total_seconds",
    )

    def __init__(self) -> None:
        """Start idle."""
        self.busy_share = 0.0
        self.count = 0.0
        self.measured_at = float("-inf")
        self.own_seconds = 0.0
        self.total_seconds = 0.0
        self.run_seconds = INITIAL_RUN_SECONDS

    def record_run(self, seconds: Seconds, *, needs_primary: bool = False) -> None:
        """Record the running time of a statement that ended."""
        if needs_primary:
            self.own_seconds += seconds
        self.count += 1.0
        self.total_seconds += seconds
        self.run_seconds = self.total_seconds / self.count

    def measure(self, running: int, waiting: int, slots: int, now: Seconds) -> None:
        """Record the slots in use now.

        It is called as statements end and for reports. The state that an ending
        statement leaves behind is distributed like the state at a random moment.
        """
        kept = decay_factor(self.measured_at, now, MEASURE_SECONDS)
        self.measured_at = max(now, self.measured_at)
        in_use = 1.0 if waiting else min(1.0, running / slots)
        self.busy_share = in_use + (self.busy_share - in_use) * kept
        self.own_seconds *= kept
        if self.count > 1.0:
            self.count *= kept
            self.total_seconds *= kept

    def report(self, running: int, waiting: int, slots: int) -> DatabaseLoad:
        """Return the load with these running and waiting statements."""
        return DatabaseLoad(
            waiting=waiting,
            running=running,
            slots=slots,
            run_microseconds=round(self.run_seconds * 1e6),
            busy_percent=round(self.busy_share * 100),
            own_percent=round(
                min(1.0, self.own_seconds / (MEASURE_SECONDS * slots)) * 100
            ),
        )
