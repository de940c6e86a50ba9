from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import pytest

from berylhinge.core import promotion
from berylhinge.core.promotion_messages import (
    FenceAnswered,
    FenceMembers,
    PrimaryLeaving,
    PromoteMember,
    QuiesceMember,
    RequestStatus,
    StatusReceived,
    Tick,
)
from berylhinge.core.tests.samples_group import sample_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylhinge.core.promotion_messages import Event
    from berylhinge.wire.upstream import UpstreamStatus

MEMBERS = ("a", "b", "c")
LINK_SECONDS = 0.001
MEAN_LAG_SECONDS = 0.003
TICK_SECONDS = 0.02
MAX_WRITE_GAP_SECONDS = 0.1
HORIZON_SECONDS = 2.0


class Handover:
    """Simulate a leaving primary, two lagging replicas and one promoter."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = count()
        self.lags = {
            name: self.rng.expovariate(1 / MEAN_LAG_SECONDS) for name in MEMBERS
        }
        self.quiesced_at: float | None = None
        self.promoted: tuple[float, str] | None = None
        self.state = promotion.PromotionState("g", "i#1", MEMBERS, 0)

    def send(self, action: Callable[[], None]) -> None:
        arrives_at = self.now + LINK_SECONDS * self.rng.uniform(1.0, 1.5)
        heappush(self.queue, (arrives_at, next(self.event_numbers), action))

    def process_event(self, event: Event) -> None:
        self.state, effects = promotion.step(self.state, event, self.now, self.rng)
        for effect in effects:
            if isinstance(effect, QuiesceMember):
                self.send(self.quiesce)
            elif isinstance(effect, RequestStatus):
                for name in effect.upstreams:
                    self.send(lambda name=name: self.answer_status(name))
            elif isinstance(effect, FenceMembers):
                for name in effect.upstreams:
                    self.send(
                        lambda name=name, term=effect.term: self.answer_fence(
                            name, term
                        )
                    )
            elif isinstance(effect, PromoteMember):
                self.send(lambda name=effect.upstream: self.promote(name))

    def quiesce(self) -> None:
        if self.quiesced_at is None:
            self.quiesced_at = self.now

    def status(self, name: str, term: int = 1) -> UpstreamStatus:
        quiesced_at = self.quiesced_at
        if name == "a":
            quiesced = quiesced_at is not None
            fields = {"role": "primary", "leaving": True, "quiesced": quiesced}
            return sample_status(name, term=term, last=(1, 10), **fields)
        caught_up = (
            quiesced_at is not None and self.now >= quiesced_at + self.lags[name]
        )
        return sample_status(name, term=term, last=(1, 10 if caught_up else 9))

    def answer_status(self, name: str) -> None:
        reported = self.status(name)
        self.send(lambda: self.process_event(StatusReceived(name, reported)))

    def answer_fence(self, name: str, term: int) -> None:
        reported = self.status(name, term)
        self.send(lambda: self.process_event(FenceAnswered(name, term, True, reported)))

    def promote(self, name: str) -> None:
        if self.promoted is None:
            self.promoted = (self.now, name)

    def run(self) -> Handover:
        self.process_event(PrimaryLeaving(1, "a"))
        tick = 0.0
        while self.promoted is None and tick < HORIZON_SECONDS:
            if self.queue and self.queue[0][0] <= tick:
                self.now, _, action = heappop(self.queue)
                action()
            else:
                self.now = tick
                self.process_event(Tick(3))
                tick += TICK_SECONDS
        return self


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_a_handover_stops_writes_for_less_than_the_gap_limit(first: int) -> None:
    for seed in range(first, first + 50):
        run = Handover(seed).run()
        assert run.promoted is not None
        assert run.quiesced_at is not None
        promoted_at, name = run.promoted
        assert promoted_at - run.quiesced_at < MAX_WRITE_GAP_SECONDS
        assert name != "a"
