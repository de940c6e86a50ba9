"""Judge databases by the outcomes of statements, and set the worst of a service aside.

A health check asks for a status; it may be good while a share of the statements fails
or is delayed. The holder sees the outcomes of all callers, counts each organisation
alike, and reports the shares. Each instance that reads decides on these reports.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .decay import decay_factor

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...types import OrganisationId, Seconds, UpstreamId
    from .database_load import BelievedLoad, DatabaseLoad

# Outcomes lose their weight with this time constant; a fault is seen within about a
# second and forgotten within about five.
OUTCOME_MEMORY_SECONDS = 2.0
# Organisations whose outcomes are kept at most, so that reports stay cheap.
MAX_ORGANISATIONS = 64
# A statement is delayed when it runs this many times longer than is typical, and at
# least this long; shorter delays endanger no latency goal of 150 ms or more.
SLOW_FACTOR = 6.0
SLOW_MIN_SECONDS = 0.1
# Step by which the typical running time follows the median.
TYPICAL_STEP = 1.05
# A weight of bad outcomes below this is one that has nearly lapsed.
MIN_BAD_WEIGHT = 0.5
# Shares are reported from this many outcomes on.
MIN_OUTCOMES = 10.0
# A database is set aside if this share more than at the best of its service went wrong,
# for at least three organisations; it returns below half of that.
SET_ASIDE_PERCENT = 20
RETURN_PERCENT = 10
MIN_AFFECTED_ORGANISATIONS = 3
# One in this many databases of a service is set aside at most.
DATABASES_FOR_EACH_SET_ASIDE = 3
# First and longest time for which a database is set aside. The time doubles while it
# goes on to fail.
MIN_ASIDE_SECONDS = 2.0
MAX_ASIDE_SECONDS = 16.0
# A database that returned starts at the first time again after this long.
FORGET_SECONDS = 30.0


class OrganisationOutcomes(NamedTuple):
    """Hold the weights of one organisation's outcomes as of a moment."""

    total: float = 0.0
    failed: float = 0.0
    slow: float = 0.0
    at: Seconds = 0.0


class OutcomeSummary(NamedTuple):
    """Report shares of failed and delayed statements, each organisation alike."""

    failed_percent: int = 0
    slow_percent: int = 0
    affected_organisations: int = 0


class OutcomeWindow:
    """Collect the outcomes of one database's statements, changed in place."""

    __slots__ = ("organisations", "typical_seconds")

    def __init__(self) -> None:
        """Start without outcomes."""
        self.organisations: dict[OrganisationId, OrganisationOutcomes] = {}
        self.typical_seconds: Seconds = 0.0

    def record(
        self,
        organisation: OrganisationId,
        run_seconds: Seconds | None,
        *,
        failed: bool,
        now: Seconds,
    ) -> None:
        """Record a statement that ran or failed."""
        is_slow = False
        if run_seconds is not None and not failed:
            is_slow = run_seconds >= max(
                SLOW_MIN_SECONDS, SLOW_FACTOR * (self.typical_seconds or run_seconds)
            )
            self._follow_typical(run_seconds)
        # The organisation that was heard of last stands last.
        known = _aged(self.organisations.pop(organisation, OrganisationOutcomes()), now)
        self.organisations[organisation] = OrganisationOutcomes(
            known.total + 1.0, known.failed + failed, known.slow + is_slow, now
        )
        if len(self.organisations) > MAX_ORGANISATIONS:
            del self.organisations[next(iter(self.organisations))]

    def _follow_typical(self, run_seconds: Seconds) -> None:
        """Move the typical running time towards the median."""
        if not self.typical_seconds:
            self.typical_seconds = run_seconds
        elif run_seconds > self.typical_seconds:
            self.typical_seconds *= TYPICAL_STEP
        else:
            self.typical_seconds /= TYPICAL_STEP

    def summary(self, now: Seconds) -> OutcomeSummary:
        """Return the shares as of now."""
        recent = [_aged(entry, now) for entry in self.organisations.values()]
        recent = [entry for entry in recent if entry.total >= MIN_BAD_WEIGHT]
        if sum(entry.total for entry in recent) < MIN_OUTCOMES:
            return OutcomeSummary()
        count = len(recent)
        return OutcomeSummary(
            round(100 * sum(entry.failed / entry.total for entry in recent) / count),
            round(100 * sum(entry.slow / entry.total for entry in recent) / count),
            sum(entry.failed + entry.slow >= MIN_BAD_WEIGHT for entry in recent),
        )


class SetAside(NamedTuple):
    """Tell why and until when a database is set aside, and how often it was.

    One that returned stays known with an empty reason, so that times grow.
    """

    reason: str
    until: Seconds
    times: int


def review_databases(
    loads: Mapping[UpstreamId, BelievedLoad | None],
    known: Mapping[UpstreamId, SetAside],
    now: Seconds,
) -> dict[UpstreamId, SetAside]:
    """Return which databases of one service are set aside now.

    ``loads`` has all databases of the service.
    """
    shares = {name: bad_percent(entry) for name, entry in loads.items()}
    lowest = min(shares.values(), default=0)
    found: dict[UpstreamId, SetAside] = {}
    for name, entry in known.items():
        if name not in loads:
            continue
        if entry.reason and now >= entry.until:
            if shares[name] - lowest < RETURN_PERCENT:
                found[name] = entry._replace(reason="")
            else:
                found[name] = _set_aside(entry.reason, entry.times + 1, now)
        elif entry.reason or now - entry.until < FORGET_SECONDS:
            found[name] = entry
    room = len(loads) // DATABASES_FOR_EACH_SET_ASIDE - sum(
        bool(entry.reason) for entry in found.values()
    )
    worst_first = sorted(shares, key=lambda name: (-shares[name], name))
    for name in worst_first:
        if room <= 0:
            break
        believed = loads[name]
        earlier = found.get(name)
        if believed is None or (earlier is not None and earlier.reason):
            continue
        if _deserves_set_aside(believed.load, shares[name] - lowest):
            times = 1 if earlier is None else earlier.times + 1
            found[name] = _set_aside(_reason(believed.load), times, now)
            room -= 1
    return found


def bad_percent(believed: BelievedLoad | None) -> int:
    """Return the share of a database's statements that failed or were delayed."""
    if believed is None:
        return 0
    return believed.load.failed_percent + believed.load.slow_percent


def _deserves_set_aside(load: DatabaseLoad, excess: int) -> bool:
    """Tell whether enough went wrong, for enough organisations."""
    return (
        excess >= SET_ASIDE_PERCENT
        and load.affected_organisations >= MIN_AFFECTED_ORGANISATIONS
    )


def _reason(load: DatabaseLoad) -> str:
    """Return what went wrong most."""
    return "failed" if load.failed_percent >= load.slow_percent else "slow"


def _set_aside(reason: str, times: int, now: Seconds) -> SetAside:
    """Return an entry whose time grows with how often the database failed."""
    seconds = min(MAX_ASIDE_SECONDS, MIN_ASIDE_SECONDS * 2.0 ** min(times - 1, 8))
    return SetAside(reason, now + seconds, times)


def _aged(entry: OrganisationOutcomes, now: Seconds) -> OrganisationOutcomes:
    """Return the weights of outcomes as of now."""
    kept = decay_factor(entry.at, now, OUTCOME_MEMORY_SECONDS)
    return OrganisationOutcomes(
        entry.total * kept, entry.failed * kept, entry.slow * kept, now
    )
