"""Play a fleet that follows the store through relays, on a virtual clock.

Load pattern: hundreds of instances that must stay current while relays die, freeze,
lose their way to the store, or leave.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import pytest

from berylhinge.core.pooler.assignment import InstanceAssignment
from berylhinge.core.pooler.store_feed import (
    ChangeHistory,
    changes_after,
    choose_relay,
    FLEET_CALLS_PER_SECOND,
    MAX_RELAY_AGE_SECONDS,
    own_call_interval,
    PASSED_OVER_SECONDS,
    record_changes,
    RelayCandidate,
)
from berylhinge.platform.store_replies import StoredItem

STEP_SECONDS = 0.1
HOLD_SECONDS = 0.5
# Time after which peers no longer count a lost instance.
DETECTION_SECONDS = 1.0
# A relay that failed is found out, passed over, and another one asked.
RECOVERY_SECONDS = 4.0
# A calm fleet calls the store for its relays only, which renew twice a second here.
CALM_CALLS_PER_RELAY_SECOND = 2.5


class Fault(NamedTuple):
    """Describe a fault of the relays of some failure domains."""

    kind: str
    domains: tuple[str, ...]
    seconds: float


class FollowingInstance:
    """Hold what one instance knows; its clock is the model's."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.revision = 0
        self.confirmed_at = 0.0
        self.history = ChangeHistory()
        self.passed_over: dict[str, float] = {}
        self.next_call_at = 0.0
        self.next_step_at = 0.0


class FollowingFleet:
    """Play instances, their store and faults."""

    def __init__(self, seed: int, instances: int, domains: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.calls = 0
        names = {f"n{number}": f"d{number % domains}" for number in range(instances)}
        self.domains = names
        self.instances = {
            name: FollowingInstance(name, domain) for name, domain in names.items()
        }
        self.store_revision = 0
        self.changed_at = [0.0]
        self.assignment = InstanceAssignment()
        self.assignment.set_instances(names, names)
        self.gone: dict[str, float] = {}
        self.frozen: set[str] = set()
        self.cut: set[str] = set()
        for instance in self.instances.values():
            instance.next_step_at = self.rng.uniform(0.0, HOLD_SECONDS)

    def change(self) -> None:
        """Change one key in the store."""
        self.store_revision += 1
        self.changed_at.append(self.now)

    def lose(self, name: str) -> None:
        """Take an instance away for good; its peers detect it later."""
        self.gone[name] = self.now + DETECTION_SECONDS

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            found = [name for name, at in self.gone.items() if at <= self.now]
            if any(name in self.assignment.failure_domains for name in found):
                self.assignment.set_instances(
                    self.domains,
                    {
                        name: domain
                        for name, domain in self.domains.items()
                        if name not in found
                    },
                )
            for instance in self.instances.values():
                is_running = instance.name not in self.gone.keys() | self.frozen
                if is_running and instance.next_step_at <= self.now:
                    self.follow(instance)
            self.check()

    def follow(self, instance: FollowingInstance) -> None:
        """Let one instance ask for changes once."""
        instance.next_step_at = self.now + HOLD_SECONDS
        relays = self.assignment.relays(instance.domain)
        relay = choose_relay(
            instance.name,
            [
                RelayCandidate(name, instance.passed_over.get(name, 0.0))
                for name in relays
            ],
            now=self.now,
            next_own_call_at=instance.next_call_at,
        )
        if relay is None:
            if relays[0] != instance.name:
                interval = own_call_interval(len(self.instances))
                instance.next_call_at = self.now + interval * self.rng.uniform(0.5, 1.5)
            self.call_store(instance)
        else:
            self.ask(instance, relay)

    def call_store(self, instance: FollowingInstance) -> None:
        """Read the changes and the newest revision from the store."""
        self.calls += 1
        if instance.name in self.cut:
            return
        new = range(instance.revision + 1, self.store_revision + 1)
        record_changes(instance.history, [StoredItem("k", b"", at) for at in new])
        instance.revision, instance.confirmed_at = self.store_revision, self.now

    def ask(self, instance: FollowingInstance, relay: str) -> None:
        """Ask a relay, which answers from what it knows."""
        other = self.instances[relay]
        if relay in self.gone or relay in self.frozen:
            instance.passed_over[relay] = self.now + PASSED_OVER_SECONDS
            return
        if self.now - other.confirmed_at > MAX_RELAY_AGE_SECONDS:
            instance.passed_over[relay] = self.now + PASSED_OVER_SECONDS
        items = changes_after(other.history, instance.revision)
        if items is None or other.revision < instance.revision:
            return
        record_changes(instance.history, items)
        instance.revision = other.revision
        instance.confirmed_at = max(instance.confirmed_at, other.confirmed_at)

    def check(self) -> None:
        """Assert that nobody takes its knowledge for newer than it is."""
        for instance in self.instances.values():
            if instance.revision < self.store_revision:
                missed_since = self.changed_at[instance.revision + 1]
                assert instance.confirmed_at <= missed_since, instance.name

    def oldest_age(self) -> float:
        """Return the greatest age of a running instance's confirmation."""
        return max(
            self.now - instance.confirmed_at
            for instance in self.instances.values()
            if instance.name not in self.gone.keys() | self.frozen | self.cut
        )

    def relays(self, domains: tuple[str, ...]) -> list[str]:
        """Return the relays of some failure domains."""
        return [self.assignment.relay(domain) for domain in domains]

    def begin(self, fault: Fault) -> list[str]:
        """Begin a fault and return whom it hits."""
        hit = self.relays(fault.domains)
        if fault.kind == "loss":
            for name in hit:
                self.lose(name)
        elif fault.kind == "freeze":
            self.frozen.update(hit)
        else:
            self.cut.update(hit)
        return hit


ALL_DOMAINS = tuple(f"d{number}" for number in range(6))


@pytest.mark.parametrize("instances", [195, 1_000])
def test_a_calm_fleet_calls_the_store_for_its_relays_only(instances: int) -> None:
    fleet = FollowingFleet(1, instances, 6)
    fleet.run(2.0)
    fleet.calls = 0
    for _ in range(10):
        fleet.change()
        fleet.run(1.0)
    assert fleet.calls <= 6 * CALM_CALLS_PER_RELAY_SECOND * 10
    assert fleet.oldest_age() <= MAX_RELAY_AGE_SECONDS


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "fault",
    [
        Fault("loss", ("d0",), 0.0),
        Fault("loss", ALL_DOMAINS, 0.0),
        Fault("freeze", ("d0", "d1"), 6.0),
        Fault("cut", ("d0",), 6.0),
        Fault("cut", ALL_DOMAINS, 6.0),
    ],
)
def test_a_fleet_stays_current_without_its_relays(fault: Fault, seed: int) -> None:
    fleet = FollowingFleet(seed, 195, 6)
    fleet.run(2.0)
    fleet.begin(fault)
    fleet.change()
    fleet.run(RECOVERY_SECONDS)
    fleet.calls = 0
    ages = []
    for _ in range(8):
        fleet.change()
        fleet.run(0.5)
        ages.append(fleet.oldest_age())
    # Without any relay each instance calls the store at the fleet's bounded rate.
    alone = fault.kind == "cut" and fault.domains == ALL_DOMAINS
    limit = 2.0 * own_call_interval(195) if alone else 2.0 * MAX_RELAY_AGE_SECONDS
    assert max(ages) <= limit
    assert fleet.calls <= 4.0 * (
        FLEET_CALLS_PER_SECOND * 1.5 + 6 * CALM_CALLS_PER_RELAY_SECOND
    )


def test_a_store_that_is_away_is_called_at_a_bounded_rate() -> None:
    fleet = FollowingFleet(4, 1_000, 6)
    fleet.run(2.0)
    fleet.cut.update(fleet.instances)
    fleet.run(2.0)
    fleet.calls = 0
    fleet.run(6.0)
    relayed = 6 * CALM_CALLS_PER_RELAY_SECOND
    assert fleet.calls <= 6.0 * (FLEET_CALLS_PER_SECOND * 1.5 + relayed)
    fleet.cut.clear()
    fleet.run(RECOVERY_SECONDS)
    assert fleet.oldest_age() <= 2.0 * MAX_RELAY_AGE_SECONDS
