"""Run instances' capacity cores on a virtual clock with faults in between."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple, TYPE_CHECKING

from berylhinge.core import rate_capacity, roster as rosters
from berylhinge.core.permits import (
    FetchRoster,
    ReadRoster,
    RosterRead,
    RosterReceived,
    SendMessage,
    Tick,
)
from berylhinge.core.rates import Admitted, RateRefused, WaitForUnits
from berylhinge.core.roster import Member, Roster

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from berylhinge.core.buckets import RateLimit

LINK_SECONDS = 0.001
STORE_SECONDS = 0.003
TICK_SECONDS = 0.1
DETECT_SECONDS = 1.5
PROPOSE_SECONDS = 0.5


class Faults(NamedTuple):
    """Set the chances of message faults."""

    loss: float = 0.0
    duplicate: float = 0.0
    jitter: float = 0.0005
    slow: float = 0.0
    slow_seconds: float = 2.0


class Node:
    """Hold one instance with its own clock."""

    def __init__(self, member: Member, speed: float, offset: float) -> None:
        self.member = member
        self.speed = speed
        self.offset = offset
        self.state = rate_capacity.new_capacity(member)
        self.alive = True
        self.paused_until = 0.0
        self.silent_since: float | None = None

    def clock(self, now: float) -> float:
        return self.offset + now * self.speed


class World:
    """Deliver messages, ticks and arrivals in order of virtual time."""

    def __init__(
        self,
        rng: Random,
        terms: Mapping[str, RateLimit],
        *,
        size: int = 7,
        faults: Faults = Faults(),
        skewed_clocks: bool = True,
    ) -> None:
        self.rng = rng
        self.terms = dict(terms)
        self.faults = faults
        self.skewed_clocks = skewed_clocks
        self.now = 0.0
        self.numbers = count()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.roster = Roster()
        self.store_up = True
        self.cut: set[frozenset[str]] = set()
        self.store_cut: set[str] = set()
        self.banned: set[str] = set()
        self.nodes: dict[str, Node] = {}
        self.admitted: dict[str, list[tuple[float, float]]] = {}
        self.refused: list[tuple[float, str, RateRefused]] = []
        self.sent: dict[str, int] = {}
        self.on_message: Callable[[object], None] | None = None
        self.auto_propose = True
        for index in range(size):
            self.start(f"i{index}", 1)
        self.at(0.01, self.propose)

    def start(self, name: str, incarnation: int) -> Node:
        speed = self.rng.choice((0.99, 1.0, 1.01)) if self.skewed_clocks else 1.0
        node = Node(Member(name, incarnation), speed, self.rng.uniform(0, 1000))
        self.nodes[name] = node
        rate_capacity.apply_limits(node.state, self.terms, node.clock(self.now))
        self.at(self.rng.uniform(0, TICK_SECONDS), lambda: self.tick(node))
        return node

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heappush(self.heap, (self.now + delay, next(self.numbers), action))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action = heappop(self.heap)
            action()
        self.now = until

    def tick(self, node: Node) -> None:
        if not node.alive:
            return
        self.deliver(node, Tick())
        self.at(TICK_SECONDS, lambda: self.tick(node))

    def deliver(self, node: Node, event: object) -> None:
        if not node.alive or self.nodes.get(node.member.instance) is not node:
            return
        if node.paused_until > self.now:
            self.at(node.paused_until - self.now, lambda: self.deliver(node, event))
            return
        clock = node.clock(self.now)
        node.state, effects = rate_capacity.step(node.state, event, clock, self.rng)
        self.perform(node, effects)

    def perform(self, node: Node, effects: list[rate_capacity.CapacityEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.send(node, effect)
            elif isinstance(effect, ReadRoster):
                self.read_roster(node)
            elif isinstance(effect, FetchRoster):
                self.fetch(node, effect)
            elif self.reaches_store(node):
                self.settle(effect.epoch)

    def send(self, node: Node, effect: SendMessage) -> None:
        name = type(effect.message).__name__
        self.sent[name] = self.sent.get(name, 0) + 1
        if self.on_message:
            self.on_message(effect.message)
        target = self.nodes.get(effect.to.instance)
        if target is None or not self.linked(node, target):
            return
        copies = 1 + (self.rng.random() < self.faults.duplicate)
        for _ in range(copies):
            if self.rng.random() >= self.faults.loss:
                self.carry(node, target, effect.message)

    def carry(self, source: Node, target: Node, message: object) -> None:
        self.at(self.delay(), lambda: self.arrive(source, target, message))

    def arrive(self, source: Node, target: Node, message: object) -> None:
        if self.linked(source, target):
            self.deliver(target, message)

    def delay(self) -> float:
        delay = LINK_SECONDS + self.rng.expovariate(1 / self.faults.jitter)
        if self.rng.random() < self.faults.slow:
            delay += self.rng.uniform(0, self.faults.slow_seconds)
        return delay

    def linked(self, one: Node, other: Node) -> bool:
        pair = frozenset({one.member.instance, other.member.instance})
        return pair not in self.cut

    def reaches_store(self, node: Node) -> bool:
        return self.store_up and node.member.instance not in self.store_cut

    def read_roster(self, node: Node) -> None:
        sent_at = node.clock(self.now)

        def answer() -> None:
            if self.reaches_store(node):
                event = RosterRead(self.roster, sent_at)
                self.at(STORE_SECONDS, lambda: self.deliver(node, event))

        self.at(STORE_SECONDS, answer)

    def fetch(self, node: Node, effect: FetchRoster) -> None:
        peer = self.nodes.get(effect.peer.instance)
        if peer is None or not peer.alive or not self.linked(node, peer):
            return
        event = RosterReceived(peer.state.permit.roster)
        self.at(2 * self.delay(), lambda: self.deliver(node, event))

    def settle(self, epoch: int) -> None:
        self.roster = rosters.drop_reconciled_changes(self.roster, epoch)

    def propose(self) -> None:
        """Let one instance with a working store act on whom it hears."""
        self.at(PROPOSE_SECONDS, self.propose)
        able = [n for n in self.nodes.values() if n.alive and self.reaches_store(n)]
        able = [node for node in able if node.paused_until <= self.now]
        if not able or not self.auto_propose:
            return
        self.notice()
        proposer = self.rng.choice(able)
        live = [
            node.member
            for node in self.nodes.values()
            if not self.is_suspected(node)
            and self.linked(proposer, node)
            and node.member.instance not in self.banned
        ]
        changed = rosters.build_next_roster(self.roster, live)
        if changed is not None:
            self.roster = changed
            event = RosterRead(changed, proposer.clock(self.now))
            self.deliver(proposer, event)

    def notice(self) -> None:
        for node in self.nodes.values():
            silent = not node.alive or node.paused_until > self.now
            if not silent:
                node.silent_since = None
            elif node.silent_since is None:
                node.silent_since = self.now

    def is_suspected(self, node: Node) -> bool:
        since = node.silent_since
        return since is not None and self.now - since >= DETECT_SECONDS

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False

    def restart(self, name: str) -> Node:
        old = self.nodes[name]
        old.alive = False
        return self.start(name, old.member.incarnation + 1)

    def request(
        self,
        name: str,
        organisation: str,
        cost: float = 1.0,
        *,
        waited: float = 0.0,
        done: Callable[[bool], None] | None = None,
    ) -> None:
        """Ask one instance to admit one request, again while it says to wait."""
        node = self.nodes[name]
        if not node.alive or node.paused_until > self.now:
            if done:
                done(False)
            return
        answer = rate_capacity.admit(
            node.state, organisation, cost, node.clock(self.now), waited=waited
        )
        node.state, sends = rate_capacity.take_outbox(node.state, node.clock(self.now))
        self.perform(node, list(sends))
        if isinstance(answer, WaitForUnits):
            waited += answer.seconds
            self.at(
                answer.seconds,
                lambda: self.request(
                    name, organisation, cost, waited=waited, done=done
                ),
            )
            return
        if isinstance(answer, Admitted):
            self.admitted.setdefault(organisation, []).append((self.now, cost))
        else:
            self.refused.append((self.now, organisation, answer))
        if done:
            done(isinstance(answer, Admitted))


def worst_excess(
    admitted: list[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return by how much the worst of all windows exceeds rate times length plus burst.

    A meter that drains at the rate and holds every admitted cost rises over the
    burst exactly when some window exceeds its bound.
    """
    level, last, worst = 0.0, 0.0, float("-inf")
    for moment, cost in admitted:
        level = max(0.0, level - rate * (moment - last)) + cost
        last = moment
        worst = max(worst, level - burst)
    return worst
