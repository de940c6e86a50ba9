"""Carry out one instance's promotions of one group."""

from __future__ import annotations

import random
import time
from itertools import count
from typing import Any, TYPE_CHECKING

import gevent

from ..core import promotion
from ..core.promotion_messages import (
    AnnouncePrimary,
    FenceAnswered,
    FenceMembers,
    PromoteAnswered,
    PromoteMember,
    QuiesceMember,
    RequestStatus,
)
from ..wire.upstream import (
    FenceAnswer,
    FenceRequest,
    GroupMember,
    PromoteAnswer,
    PromoteRequest,
    QuiesceRequest,
)

if TYPE_CHECKING:
    from .group import GroupTask
    from .member import MemberLink


# A vote is granted to a name for a term; a promoter that forgot what it ordered
# under a name must not be granted the same term again.
NUMBERS = count(1)


class Promoter:
    """Own the promotion's state and send its effects."""

    def __init__(self, group: GroupTask, name: str, rank: int) -> None:
        """Start idle."""
        self.group = group
        self.name = f"{name}.{next(NUMBERS)}"
        self.state = promotion.PromotionState(
            group.group, self.name, group.view.members, rank
        )
        self.rng = random.Random(name + group.group)

    @property
    def is_idle(self) -> bool:
        """Tell whether no promotion is under way."""
        return self.state.stage == "idle"

    def set_rank(self, rank: int) -> None:
        """Take a new place in the order of promoters."""
        self.state = self.state._replace(rank=rank)

    def step(self, event: Any, now: float) -> None:
        """Step the promoter and carry out its effects."""
        before = self.state.stage
        self.state, effects = promotion.step(self.state, event, now, self.rng)
        if self.state.stage != before:
            self.group.log.info(
                f"Promotion is {self.state.stage}.",
                group=self.group.group,
                term=self.state.term,
                cause=self.state.cause,
            )
            self.group.metrics.count("promotions_total", self.state.stage)
        for effect in effects:
            self.carry_out(effect)

    def carry_out(self, effect: Any) -> None:
        """Send one effect of the promoter in the background."""
        match effect:
            case RequestStatus(upstreams):
                for name in upstreams:
                    gevent.spawn(self.group.ask_status, self.group.links[name])
            case FenceMembers(upstreams, term):
                for name in upstreams:
                    gevent.spawn(self.fence, self.group.links[name], term)
            case PromoteMember(upstream, term):
                gevent.spawn(self.make_primary, self.group.links[upstream], term)
            case QuiesceMember(upstream, term, seconds):
                request = QuiesceRequest(term=term, seconds=seconds)
                link = self.group.links[upstream]
                gevent.spawn(link.ask, "/v1/quiesce", request, dict[str, Any])
            case AnnouncePrimary(upstream, term):
                self.group.log.info(
                    "A primary was promoted.",
                    group=self.group.group,
                    upstream=upstream,
                    term=term,
                )

    def fence(self, link: MemberLink, term: int) -> None:
        """Ask one member for its vote."""
        request = FenceRequest(term=term, promoter=self.name)
        asked_at = time.monotonic()
        answer = link.ask("/v1/fence", request, FenceAnswer)
        if answer is None:
            return
        self.group.on_status(link, answer["status"], asked_at)
        event = FenceAnswered(link.name, term, answer["granted"], answer["status"])
        self.step(event, time.monotonic())

    def make_primary(self, link: MemberLink, term: int) -> None:
        """Promote one member in a term that a majority granted."""
        members = [
            GroupMember(upstream=upstream["id"], control=upstream["control"])
            for upstream in self.group.upstreams
        ]
        request = PromoteRequest(term=term, promoter=self.name, members=members)
        asked_at = time.monotonic()
        answer = link.ask("/v1/promote", request, PromoteAnswer)
        if answer is None:
            return
        event = PromoteAnswered(link.name, term, answer["promoted"], answer["status"])
        self.step(event, time.monotonic())
        self.group.on_status(link, answer["status"], asked_at)
