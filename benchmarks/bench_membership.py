"""Compare SWIM-like probing with plain heartbeats on a virtual clock.

Prints ``name value unit`` lines: bytes a second and instance (sent and received),
seconds until a dead instance is dead for all, suspicions and burials of the living.
"""

from __future__ import annotations

import sys
from random import Random

import msgspec

from berylhinge.wire.membership import MembershipStatus
from properties.membership_fleet import ENVELOPE_BYTES, Fleet

SIZES = (7, 50, 200, 700, 2_000)
STEADY_SECONDS = 20.0
WATCHED_SECONDS = 60.0
HEARTBEAT_SECONDS = 1.0
HEARTBEATS_MISSED = 4
HOUR_SECONDS = 3_600.0
CUT_SIZE = 40
LOST = 0.01
PAUSE_SECONDS = 0.5
PAUSE_EVERY_SECONDS = 60.0


def report(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.3f} {unit}", flush=True)


def probing(size: int) -> None:
    """Measure cost, detection and wrong verdicts of probing at one size."""
    fleet = Fleet(size, seed=11, lost=LOST)
    fleet.pause_each(every_seconds=PAUSE_EVERY_SECONDS, seconds=PAUSE_SECONDS)
    fleet.run(STEADY_SECONDS)
    steady = sum(fleet.bytes.values()) / STEADY_SECONDS / size
    report(f"probing_{size}_bytes_per_second", steady, "B/s/instance")
    suspicions = len({(who, what) for _, who, what in fleet.suspected})
    report(f"probing_{size}_false_suspicions", suspicions, "views")
    report(f"probing_{size}_false_deaths", len(fleet.died), "views")
    gone = fleet.names[size // 2]
    fleet.down.add(gone)
    first, whole = detection(fleet, gone)
    report(f"probing_{size}_first_detection", first, "s")
    report(f"probing_{size}_all_detection", whole, "s")
    peak = max(fleet.second_bytes.values()) / size
    report(f"probing_{size}_peak_bytes_per_second", peak, "B/s/instance")


def detection(fleet: Fleet, gone: str) -> tuple[float, float]:
    """Return when the first and the last instance held a member for dead."""
    start = fleet.now
    first = float("inf")
    while fleet.now < start + WATCHED_SECONDS:
        fleet.run(fleet.now + 0.25)
        dead = fleet.believers(gone, MembershipStatus.DEAD)
        if dead and first == float("inf"):
            first = fleet.now - start
        if dead == len(fleet.names) - len(fleet.down):
            return first, fleet.now - start
    return first, float("inf")


def heartbeats(size: int) -> None:
    """Measure heartbeats of everyone to everyone with the same losses and pauses."""
    rng = Random(12)
    message = msgspec.msgpack.encode(("instance-0000", 1, 12))
    each = len(message) + ENVELOPE_BYTES
    cost = 2 * (size - 1) * each / HEARTBEAT_SECONDS
    report(f"heartbeats_{size}_bytes_per_second", cost, "B/s/instance")
    wrong = 0
    for _ in range(int(STEADY_SECONDS / HEARTBEAT_SECONDS) * size * (size - 1)):
        missed = 0
        while missed < HEARTBEATS_MISSED and rng.random() < LOST:
            missed += 1
        wrong += missed == HEARTBEATS_MISSED
    report(f"heartbeats_{size}_false_deaths", wrong, "views")
    waits = [
        HEARTBEAT_SECONDS * (HEARTBEATS_MISSED + rng.random()) for _ in range(size - 1)
    ]
    report(f"heartbeats_{size}_first_detection", min(waits), "s")
    report(f"heartbeats_{size}_all_detection", max(waits), "s")


def an_hour_of_today() -> None:
    """Count wrong verdicts over an hour at the size of today."""
    fleet = Fleet(SIZES[0], seed=14, lost=LOST)
    fleet.pause_each(every_seconds=PAUSE_EVERY_SECONDS, seconds=PAUSE_SECONDS)
    fleet.run(HOUR_SECONDS)
    suspicions = len({(at, what) for at, _, what in fleet.suspected})
    report("probing_hour_false_suspicions", suspicions, "views")
    report("probing_hour_false_deaths", len(fleet.died), "views")


def cut_for_an_hour() -> None:
    """Cut a fleet in two for an hour and measure how it heals."""
    fleet = Fleet(CUT_SIZE, seed=13)
    fleet.run(5.0)
    for name in fleet.names[::2]:
        fleet.side[name] = 1
    fleet.run(5.0 + HOUR_SECONDS)
    report("cut_wrong_views_after_an_hour", fleet.wrong(), "views")
    fleet.side.clear()
    fleet.second_bytes.clear()
    start = fleet.now
    while fleet.wrong() and fleet.now < start + 600.0:
        fleet.run(fleet.now + 0.5)
    report("cut_healed_after", fleet.now - start, "s")
    peak = max(fleet.second_bytes.values()) / CUT_SIZE
    report("cut_peak_bytes_per_second", peak, "B/s/instance")


def main() -> None:
    """Print all figures, or those of the sizes named as arguments."""
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    for size in sizes:
        probing(size)
    for size in sizes:
        if size <= 200:
            heartbeats(size)
    an_hour_of_today()
    cut_for_an_hour()


if __name__ == "__main__":
    main()
