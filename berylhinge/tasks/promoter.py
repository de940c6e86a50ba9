"""Execute one instance's promotions in one group."""

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
    from .group_task import GroupTask
    from .member_link import MemberLink


# Members grant the vote for a term to a promoter's name. A promoter that has lost
# the record of its orders must not be granted the same term again, so each new
# promoter gets a new name.
PROMOTER_NUMBERS = count(1)


class Promoter:
    """Own a promotion's state and execute its effects."""

    def __init__(self, group_task: GroupTask, name: str, rank: int) -> None:
        """Start without a promotion."""
        self.group_task = group_task
        self.name = f"{name}.{next(PROMOTER_NUMBERS)}"
        self.state = promotion.PromotionState(
            group_task.group_id, self.name, group_task.view.members, rank
        )
        self.rng = random.Random(name + group_task.group_id)

    @property
    def is_idle(self) -> bool:
        """Tell whether no promotion is under way."""
        return self.state.stage == "idle"

    def set_rank(self, rank: int) -> None:
        """Set this instance's position in the order of promoters."""
        self.state = self.state._replace(rank=rank)

    def handle_event(self, event: Any, now: float) -> None:
        """Apply an event to the promotion and execute the resulting effects."""
        stage_before = self.state.stage
        self.state, effects = promotion.step(self.state, event, now, self.rng)
        if self.state.stage != stage_before:
            self.group_task.log.info(
                f"Promotion is {self.state.stage}.",
                group=self.group_task.group_id,
                term=self.state.term,
                cause=self.state.cause,
            )
            self.group_task.metrics.count("promotions_total", self.state.stage)
        for effect in effects:
            self.execute_effect(effect)

    def execute_effect(self, effect: Any) -> None:
        """Execute one effect; requests to members run in the background."""
        match effect:
            case RequestStatus(upstreams):
                for name in upstreams:
                    gevent.spawn(
                        self.group_task.fetch_status, self.group_task.member_links[name]
                    )
            case FenceMembers(upstreams, term):
                for name in upstreams:
                    gevent.spawn(
                        self.fence_member, self.group_task.member_links[name], term
                    )
            case PromoteMember(upstream, term):
                gevent.spawn(
                    self.promote_member, self.group_task.member_links[upstream], term
                )
            case QuiesceMember(upstream, term, seconds):
                request = QuiesceRequest(term=term, seconds=seconds)
                link = self.group_task.member_links[upstream]
                gevent.spawn(link.call_control, "/v1/quiesce", request, dict[str, Any])
            case AnnouncePrimary(upstream, term):
                self.group_task.log.info(
                    "A primary was promoted.",
                    group=self.group_task.group_id,
                    upstream=upstream,
                    term=term,
                )

    def fence_member(self, link: MemberLink, term: int) -> None:
        """Request one member's vote for a term."""
        request = FenceRequest(term=term, promoter=self.name)
        asked_at = time.monotonic()
        answer = link.call_control("/v1/fence", request, FenceAnswer)
        if answer is None:
            return
        self.group_task.on_status(link, answer["status"], asked_at)
        event = FenceAnswered(
            link.upstream_id, term, answer["granted"], answer["status"]
        )
        self.handle_event(event, time.monotonic())

    def promote_member(self, link: MemberLink, term: int) -> None:
        """Promote one member in a term that a majority granted."""
        members = [
            GroupMember(upstream=upstream["id"], control=upstream["control"])
            for upstream in self.group_task.upstreams
        ]
        request = PromoteRequest(term=term, promoter=self.name, members=members)
        asked_at = time.monotonic()
        answer = link.call_control("/v1/promote", request, PromoteAnswer)
        if answer is None:
            return
        event = PromoteAnswered(
            link.upstream_id, term, answer["promoted"], answer["status"]
        )
        self.handle_event(event, time.monotonic())
        self.group_task.on_status(link, answer["status"], asked_at)
