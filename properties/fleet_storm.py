"""Throw faults and bursts of requests at a fleet, all drawn from one seed."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from berylhinge.core import rate_capacity
from berylhinge.core.buckets import RateLimit

from .fleet_world import Faults, World, worst_excess

if TYPE_CHECKING:
    from collections.abc import Callable

# Bursts worth 4 s, 0.2 s and 20 s of the rate.
TERMS = {
    "bursty": RateLimit(25.0, 100.0),
    "steady": RateLimit(60.0, 12.0),
    "slow": RateLimit(5.0, 100.0),
}
SIZE = 5
SIZE_LIMIT = 8
KINDS = {
    "all": ("pause", "split", "cut_store", "kill", "replace", "store_down", "grow"),
    "members": ("kill", "replace", "grow"),
    "network": ("pause", "split", "cut_store", "store_down"),
    "isolate": ("isolate", "pause"),
    "grow": ("grow",),
    "banish": ("banish", "banish", "pause"),
    "expel": ("expel",),
}


class Storm:
    """Drive one world through random faults and report the worst excess."""

    def __init__(self, seed: int, kind: str = "all", *, seconds: float = 60.0) -> None:
        self.rng = Random(seed)
        self.seconds = seconds
        self.pace = self.rng.uniform(3.0, 12.0)
        self.world = World(
            self.rng,
            TERMS,
            size=SIZE,
            faults=Faults(loss=0.05, duplicate=0.2, slow=0.05, slow_seconds=4.0),
        )
        self.faults: list[Callable[[], None]] = [
            getattr(self, name) for name in KINDS[kind]
        ]

    def run(self) -> dict[str, float]:
        """Return the worst excess over rate and burst of each organisation."""
        for name in TERMS:
            self.world.at(4.0, lambda name=name: self.burst(name))
        self.world.at(6.0, self.fault)
        self.world.run(self.seconds)
        return {
            name: worst_excess(
                self.world.admitted.get(name, []), terms.rate, terms.burst
            )
            for name, terms in TERMS.items()
        }

    def burst(self, organisation: str) -> None:
        """Offer more than the whole burst to many instances, then rest until full."""
        names = self.rng.sample(sorted(self.world.nodes), self.rng.randint(3, SIZE))
        terms = TERMS[organisation]
        count = int(terms.burst * self.rng.uniform(0.2, 2.5))
        seconds = self.rng.uniform(0.05, 1.0)
        rest = terms.burst / terms.rate * self.rng.uniform(0.5, 2.0)
        for _ in range(count):
            name = self.rng.choice(names)
            self.world.at(
                self.rng.uniform(0.0, seconds),
                lambda name=name: self.world.request(name, organisation),
            )
        self.world.at(seconds + rest, lambda: self.burst(organisation))

    def fault(self) -> None:
        """Begin one fault, and another a little later, often while the first lasts."""
        self.rng.choice(self.faults)()
        self.world.at(self.rng.expovariate(1 / self.pace), self.fault)

    def one(self) -> str:
        return self.rng.choice(sorted(self.world.nodes))

    def pause(self) -> None:
        node = self.world.nodes[self.one()]
        node.paused_until = self.world.now + self.rng.uniform(0.2, 7.0)

    def split(self) -> None:
        names = sorted(self.world.nodes)
        side = set(self.rng.sample(names, self.rng.randint(1, len(names) - 1)))
        pairs = {
            frozenset({one, other})
            for one in side
            for other in names
            if other not in side
        }
        self.world.cut |= pairs
        self.world.at(self.rng.uniform(0.5, 7.0), lambda: self.heal(pairs))

    def heal(self, pairs: set[frozenset[str]]) -> None:
        self.world.cut -= pairs

    def cut_store(self) -> None:
        name = self.one()
        self.world.store_cut.add(name)
        self.world.at(
            self.rng.uniform(1.0, 10.0), lambda: self.world.store_cut.discard(name)
        )

    def isolate(self) -> None:
        """Cut one instance off from all others and from the store."""
        name = self.one()
        pairs = {frozenset({name, other}) for other in self.world.nodes} - {
            frozenset({name})
        }
        seconds = self.rng.uniform(3.0, 12.0)
        self.world.cut |= pairs
        self.world.store_cut.add(name)
        self.world.at(seconds, lambda: self.heal(pairs))
        self.world.at(seconds, lambda: self.world.store_cut.discard(name))

    def expel(self, name: str = "") -> None:
        """Remove one at the moment in which it is cut off from everyone."""
        name = name or self.one()
        pairs = {
            frozenset({name, other}) for other in self.world.nodes if other != name
        }
        self.world.cut |= pairs
        self.world.at(3.0, lambda: self.heal(pairs))
        self.banish(name)

    def banish(self, name: str = "") -> None:
        """Remove one that others still hear, but that cannot read the store."""
        name = name or self.one()
        seconds = self.rng.uniform(4.0, 10.0)
        self.world.banned.add(name)
        self.world.store_cut.add(name)
        self.world.at(seconds, lambda: self.world.banned.discard(name))
        self.world.at(seconds, lambda: self.world.store_cut.discard(name))

    def store_down(self) -> None:
        self.world.store_up = False
        self.world.at(self.rng.uniform(0.5, 6.0), self.store_back)

    def store_back(self) -> None:
        self.world.store_up = True

    def kill(self) -> None:
        name = self.one()
        self.world.kill(name)
        self.world.at(self.rng.uniform(0.0, 6.0), lambda: self.world.restart(name))

    def grow(self) -> None:
        if len(self.world.nodes) < SIZE_LIMIT:
            self.world.start(f"i{len(self.world.nodes)}", 1)

    def replace(self) -> None:
        """Hand everything back, then start anew, as on a planned stop."""
        node = self.world.nodes[self.one()]
        node.state = rate_capacity.begin_leaving(node.state)
        name = node.member.instance
        self.world.at(self.rng.uniform(0.5, 3.0), lambda: self.world.restart(name))


def expelled_hog(seed: int) -> float:
    """Expel the instance that holds nearly all units while all instances want them."""
    terms = RateLimit(100.0, 40.0)
    storm = Storm(seed, "expel")
    world = World(storm.rng, {"a": terms}, size=SIZE)
    storm.world = world

    def press(name: str) -> None:
        world.request(name, "a")
        world.at(world.rng.expovariate(300.0), lambda: press(name))

    world.at(4.0, lambda: press("i0"))
    world.at(8.0, lambda: storm.expel("i0"))
    for name in ("i1", "i2", "i3", "i4"):
        world.at(8.0, lambda name=name: press(name))
    world.run(12.0)
    return worst_excess(world.admitted["a"], *terms)


def worst(seed: int, kind: str = "all") -> float:
    """Return the greatest excess of any organisation in one storm."""
    if kind == "hog":
        return expelled_hog(seed)
    return max(Storm(seed, kind).run().values())
