"""Measure how the pure decisions' costs grow, up to the planned size."""

from __future__ import annotations

import copy
import random
import time
import tracemalloc
from typing import Any, TYPE_CHECKING

import msgspec

from berylhinge.core import membership, rate_capacity
from berylhinge.core.buckets import RateLimit
from berylhinge.core.configuration import Configuration
from berylhinge.core.configuration_parts import split_configuration
from berylhinge.core.connections import serving_instances
from berylhinge.core.declaration_index import build_index
from berylhinge.core.membership import Tick as MembershipTick
from berylhinge.core.permits import RosterReceived, Tick as CapacityTick
from berylhinge.core.roster import choose_attesters, Member, Roster
from properties.membership_fleet import Fleet

from .bench_decisions_control import declare
from .series import Series

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBER_SIZES = (250, 500, 1_000, 2_000)
ORGANISATION_SIZES = (250, 500, 1_000, 2_000)
GROUP_SIZES = (100, 200, 400, 800)
KEYS_PER_GROUP = 25
ORGANISATIONS_PER_GROUP = 2
STEADY_SECONDS = 10.0
ROUNDS = 200
TICK_SECONDS = 0.1
REPEATS = 3


def microseconds(call: Callable[[], Any], rounds: int = ROUNDS) -> float:
    """Return the best mean time of a call."""

    def once() -> float:
        started = time.perf_counter()
        for _ in range(rounds):
            call()
        return (time.perf_counter() - started) / rounds * 1e6

    return min(once() for _ in range(REPEATS))


def retained_kib(build: Callable[[], Any]) -> float:
    """Return the memory that a built value keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = build()
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del value
    return kept / 1024


def roster_of(size: int) -> Roster:
    """Return a settled roster."""
    members = tuple(Member(f"instance-{n:04}", 1) for n in range(size))
    return Roster(epoch=1, reconciled_epoch=1, members=members, joined=(1,) * size)


def measure_members() -> list[Series]:
    """Measure what grows with the number of instances."""
    rosters = {size: roster_of(size) for size in MEMBER_SIZES}
    names = {
        size: [one.instance for one in roster.members]
        for size, roster in rosters.items()
    }
    encode = msgspec.json.encode
    return [
        Series(
            "roster size",
            "instances",
            "B",
            {size: len(encode(roster)) for size, roster in rosters.items()},
        ),
        Series(
            "choice of one group's serving instances",
            "instances",
            "us",
            {
                size: microseconds(lambda own=own: serving_instances(own, "g"), 20)
                for size, own in names.items()
            },
        ),
        Series(
            "choice of vouchers",
            "instances",
            "us",
            {
                size: microseconds(
                    lambda own=own: choose_attesters(own.members, own.members[0]), 5
                )
                for size, own in rosters.items()
            },
        ),
        *measure_membership(),
    ]


def measure_membership() -> list[Series]:
    """Measure probing: bytes, processor time of one instance, memory."""
    sent: dict[float, float] = {}
    spent: dict[float, float] = {}
    kept: dict[float, float] = {}
    for size in MEMBER_SIZES:
        fleet = Fleet(size, seed=11)
        fleet.run(STEADY_SECONDS / 2)
        before = sum(fleet.bytes.values())
        fleet.run(1.5 * STEADY_SECONDS)
        sent[size] = (sum(fleet.bytes.values()) - before) / STEADY_SECONDS / size
        spent[size] = tick_cost(fleet)
        state = fleet.states[fleet.names[0]]
        kept[size] = retained_kib(lambda state=state: copy.deepcopy(state))
    return [
        Series("membership traffic of one instance", "instances", "B/s", sent),
        Series("membership tick", "instances", "us", spent),
        Series("membership state", "instances", "KiB", kept),
    ]


def tick_cost(fleet: Fleet) -> float:
    """Return one instance's mean time a tick, over a second's ticks."""
    state = fleet.states[fleet.names[0]]
    rng = random.Random(1)
    started = time.perf_counter()
    for number in range(ROUNDS):
        now = fleet.now + number * TICK_SECONDS
        state, _ = membership.step(MembershipTick(), state, now, rng)
    return (time.perf_counter() - started) / ROUNDS * 1e6


def capacity_of(organisations: int) -> rate_capacity.CapacityState:
    """Return a lone instance's capacity that knows its organisations."""
    me = Member("instance-0000", 1)
    rng = random.Random(1)
    state = rate_capacity.new_capacity(me)
    state, _ = rate_capacity.step(state, RosterReceived(roster_of(1)), 0.0, rng)
    terms = {f"organisation-{n}": RateLimit(100.0, 200.0) for n in range(organisations)}
    rate_capacity.apply_limits(state, terms, 0.0)
    return state


def capacity_tick_cost(state: rate_capacity.CapacityState) -> float:
    """Return the mean time of a tick over some virtual seconds."""
    rng = random.Random(1)
    started = time.perf_counter()
    for number in range(1, ROUNDS + 1):
        now = number * TICK_SECONDS
        state, _ = rate_capacity.step(state, CapacityTick(), now, rng)
    return (time.perf_counter() - started) / ROUNDS * 1e6


def measure_organisations() -> list[Series]:
    """Measure what grows with the organisations that one instance knows."""
    ticks: dict[float, float] = {}
    kept: dict[float, float] = {}
    for size in ORGANISATION_SIZES:
        ticks[size] = capacity_tick_cost(capacity_of(size))
        kept[size] = retained_kib(lambda size=size: capacity_of(size))
    return [
        Series("capacity tick", "organisations known", "us", ticks),
        Series("capacity state", "organisations known", "KiB", kept),
    ]


def measure_configuration() -> list[Series]:
    """Measure what grows with the bytes of the configuration."""
    index: dict[float, float] = {}
    split: dict[float, float] = {}
    kept: dict[float, float] = {}
    for groups in GROUP_SIZES:
        organisations = groups * ORGANISATIONS_PER_GROUP
        declaration = declare(organisations, groups, groups * KEYS_PER_GROUP)
        kib = len(msgspec.json.encode(declaration)) / 1024
        whole = Configuration(1, (), {}, declaration)
        index[kib] = microseconds(lambda own=declaration: build_index(own), 1) / 1e3
        split[kib] = microseconds(lambda own=whole: split_configuration(own), 1) / 1e3
        kept[kib] = retained_kib(lambda own=declaration: build_index(own))
    return [
        Series("index of a whole configuration", "KiB", "ms", index),
        Series("parts of a whole configuration", "KiB", "ms", split),
        Series("index of a configuration", "KiB", "KiB", kept),
    ]


def measure() -> list[Series]:
    """Measure all."""
    return [*measure_members(), *measure_organisations(), *measure_configuration()]
