"""Model choosers that send reads to three databases on stale reports of their load."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple, TYPE_CHECKING

from berylhinge.core.pooler.database_load import BelievedLoad, LoadMeter

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylhinge.core.pooler.database_load import DatabaseLoad

CHOOSERS = 50
DATABASES = 3
SLOTS = 4
RUN_SECONDS = 0.02
# One way between failure domains.
HOP_SECONDS = 0.00125
# A caller counts as late after this.
GOAL_SECONDS = 0.2
BUCKET_SECONDS = 0.25
WARM_UP_SECONDS = 3.0


class Setting(NamedTuple):
    """Describe the load and the faults of one run.

    ``delay`` is the time between two reports to a chooser, ``slow_from`` the moment
    from which the last database is eight times slower, and ``own_share`` the share of
    the first database's capacity that only it can run. ``wave`` is the share of the
    demand elsewhere that moves to one failure domain. With ``is_shared`` all choosers
    get their reports at the same moment and learn nothing from answers.
    """

    name: str
    delay: float
    load: float
    slow_from: float = float("inf")
    own_share: float = 0.0
    wave: float = 0.0
    is_shared: bool = False
    seconds: float = 40.0


class Outcome(NamedTuple):
    """Hold what callers got and how the load was spread.

    ``buckets`` count the statements that reached each database, ``own`` of them those
    that only the first one runs.
    """

    waits: list[float]
    late: int
    far: int
    own_waits: list[float]
    own: int
    buckets: list[list[float]]


class ModelDatabase:
    """Run statements in arrival order; those only it can run go first."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.queue: deque[tuple[float, int]] = deque()
        self.own_queue: deque[tuple[float, int]] = deque()
        self.meter = LoadMeter()

    def report(self, now: float) -> DatabaseLoad:
        """Return the state now, with averages."""
        waiting = len(self.queue) + len(self.own_queue)
        self.meter.measure(self.running, waiting, self.slots, now)
        return self.meter.report(self.running, waiting, self.slots)


def run(
    setting: Setting,
    choose: Callable[[int, list[BelievedLoad | None], float, Random], int],
    seed: int,
) -> Outcome:
    """Run one setting with one way to choose."""
    rng = Random(seed)
    databases = [ModelDatabase(SLOTS) for _ in range(DATABASES)]
    believed: list[list[BelievedLoad | None]] = [
        [None] * DATABASES for _ in range(CHOOSERS)
    ]
    capacity = SLOTS / RUN_SECONDS
    own_rate = setting.own_share * capacity
    rate = setting.load * capacity * DATABASES - own_rate
    events: list[tuple[float, int, str, int, int, float]] = []
    number = 0
    buckets = [[0.0] * DATABASES for _ in range(int(setting.seconds / BUCKET_SECONDS))]
    waits: list[float] = []
    own_waits: list[float] = []
    late = far = own = 0

    def add(at: float, kind: str, chooser: int, database: int, began: float) -> None:
        nonlocal number
        number += 1
        heappush(events, (at, number, kind, chooser, database, began))

    def start(index: int, now: float) -> None:
        database = databases[index]
        while database.running < database.slots and (
            database.own_queue or database.queue
        ):
            began, chooser = (database.own_queue or database.queue).popleft()
            database.running += 1
            factor = 8.0 if index == DATABASES - 1 and now >= setting.slow_from else 1.0
            seconds = rng.gammavariate(4.0, RUN_SECONDS * factor / 4.0)
            if chooser < 0 and now >= WARM_UP_SECONDS:
                own_waits.append(now - began)
            database.meter.record_run(seconds, needs_primary=chooser < 0)
            add(now + seconds, "end", chooser, index, began)

    for chooser in range(CHOOSERS):
        phase = 0.0 if setting.is_shared else rng.random() * setting.delay
        add(phase, "poll", chooser, 0, 0.0)
    add(0.0, "arrive", 0, 0, 0.0)
    if own_rate:
        add(0.0, "own", -1, 0, 0.0)
    while events:
        now, _, kind, chooser, index, began = heappop(events)
        if now > setting.seconds and kind in ("arrive", "own", "poll"):
            continue
        if kind == "poll":
            for each, database in enumerate(databases):
                believed[chooser][each] = BelievedLoad(
                    database.report(now), now, is_shared=setting.is_shared
                )
            add(now + setting.delay, "poll", chooser, 0, 0.0)
        elif kind == "own":
            databases[0].own_queue.append((now, -1))
            own += 1
            buckets[min(len(buckets) - 1, int(now / BUCKET_SECONDS))][0] += 1.0
            start(0, now)
            add(now + rng.expovariate(own_rate), "own", -1, 0, 0.0)
        elif kind == "arrive":
            add(now + rng.expovariate(rate), "arrive", 0, 0, 0.0)
            chooser = rng.randrange(CHOOSERS)
            if setting.wave:
                domain = int(now / 4.3) % DATABASES
                if chooser % DATABASES != domain and rng.random() < setting.wave:
                    chooser = rng.randrange(CHOOSERS // DATABASES) * DATABASES + domain
            index = choose(chooser % DATABASES, believed[chooser], now, rng)
            known = believed[chooser][index]
            if known is not None:
                believed[chooser][index] = known._replace(
                    sent_since=known.sent_since + 1
                )
            is_far = index != chooser % DATABASES
            far += is_far
            add(now + HOP_SECONDS * is_far, "queue", chooser, index, now)
        elif kind == "queue":
            databases[index].queue.append((began, chooser))
            if now < setting.seconds:
                buckets[int(now / BUCKET_SECONDS)][index] += 1.0
            start(index, now)
        elif kind == "end":
            databases[index].running -= 1
            start(index, now)
            if chooser >= 0:
                report = databases[index].report(now)
                hop = HOP_SECONDS * (index != chooser % DATABASES)
                if not setting.is_shared:
                    believed[chooser][index] = BelievedLoad(report, now + hop)
                if began >= WARM_UP_SECONDS:
                    waits.append(now + hop - began)
                    late += now + hop - began > GOAL_SECONDS
            else:
                databases[index].report(now)
    return Outcome(waits, late, far, own_waits, own, buckets)
