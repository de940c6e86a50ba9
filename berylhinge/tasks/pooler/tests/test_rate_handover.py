from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from ....core.pooler.token_buckets import TokenBucket
from ....standins.metadata_store import wait_until
from ...clock import now_seconds
from ...logs import Log
from ...peer_frames import PeerLost
from ..rate_handover import NextOwner, RateHandover
from .conftest import DECLARATIONS, Fleet

# Practically nothing refills, so what is granted after a change of owner is new.
TENANTS: list[dict[str, Any]] = [
    {"name": f"t{number}", "api-keys": [f"t{number}"], "rate-per-s": 0.001, "burst": 3}
    for number in range(12)
]


def count_admitted(fleet: Fleet) -> int:
    return sum(
        pooler.rate_limiter.admit(tenant["name"]).admitted
        for tenant in TENANTS
        for pooler in fleet.instances
        for _ in range(3)
    )


@pytest.mark.parametrize("change", ["leave", "join", "both"])
def test_a_planned_change_of_rate_owner_brings_no_tokens(
    fleet: Fleet, change: str
) -> None:
    # Several owners in turn, each with tokens of its own, exceeded a rate together.
    fleet.declare({**DECLARATIONS, "version": 4, "tenants": TENANTS})
    wait_until(
        lambda: all("t0" in item.view.declarations.quotas for item in fleet.instances)
    )
    assert count_admitted(fleet) == 3 * len(TENANTS)
    first, second = fleet.instances
    former = [first.view.rate_owner(tenant["name"]) for tenant in TENANTS]
    assert set(former) == {"n0", "n1"}
    if change != "leave":
        fleet.first_start = False
        fleet.add_instance()
    leaving = gevent.spawn(second.shut_down) if change != "join" else None
    assert count_admitted(fleet) == 0
    gevent.sleep(0.3)
    assert count_admitted(fleet) == 0
    owners = [first.view.rate_owner(tenant["name"]) for tenant in TENANTS]
    assert owners != former
    if leaving is not None:
        leaving.join()


class OtherOwner:
    """Stand in for the view and the links of an instance that owns nothing."""

    own_instance = "own"
    stop = None

    def __init__(self, *, owner: str = "other", reached: bool = True) -> None:
        self.members: dict[str, Any] = {}
        self.owner = owner
        self.reached = reached
        self.suspects: set[str] = set()
        self.sent: list[Any] = []
        self.assignment = self

    def next_rate_owner(self, organisation: str, without: str) -> str:
        return "other"

    def call(self, instance: str, message: Any, *arguments: Any) -> Any:
        self.sent.append(message)
        raise PeerLost(instance, sent=True)

    def rate_owner(self, organisation: str) -> str:
        return self.owner

    def is_suspect(self, instance: str) -> bool:
        return instance in self.suspects

    def connect(self, instance: str) -> bool:
        return self.reached

    def send(self, instance: str, message: Any) -> bool:
        self.sent.append(message)
        return True


def make_handover(
    view: Any, buckets: dict[str, TokenBucket], *, first_start: bool = True
) -> RateHandover:
    log = Log("rates", view.own_instance)
    return RateHandover(view, view, buckets, first_start=first_start, log=log)


@pytest.mark.parametrize(
    ("handed_seconds_ago", "suspects", "owner"),
    [
        pytest.param(0.5, set(), "other", id="view-may-lag"),
        pytest.param(1.5, set(), "own", id="view-is-current"),
        pytest.param(0.5, {"other"}, "own", id="next-owner-is-lost"),
    ],
)
def test_the_next_owner_counts_before_the_view_knows_it(
    handed_seconds_ago: float, suspects: set[str], owner: str
) -> None:
    # The former owner would count in a bucket of its own.
    view = OtherOwner(owner="own")
    view.suspects = suspects
    handover = make_handover(view, {})
    handover.next_owners["o"] = NextOwner("other", now_seconds() - handed_seconds_ago)
    assert handover.rate_owner("o") == owner


@pytest.mark.parametrize("reached", [True, False])
def test_a_bucket_that_cannot_be_sent_is_kept(reached: bool) -> None:
    # Its owner would start anew, with more tokens than there were.
    view, buckets = OtherOwner(reached=reached), {"o": TokenBucket(1.0, now_seconds())}
    make_handover(view, buckets).hand_over()
    gevent.sleep(0.01)
    assert (list(buckets), len(view.sent)) == (([], 1) if reached else (["o"], 0))


def test_a_leaving_instance_gets_no_bucket_back() -> None:
    # The view of who received it may not know yet that the sender leaves.
    view, buckets = OtherOwner(), {"o": TokenBucket(1.0, now_seconds())}
    handover = make_handover(view, buckets)
    handover.leaving_incarnations["other"] = 7
    for incarnation, kept in [(7, ["o"]), (8, [])]:
        view.members = {"other": SimpleNamespace(incarnation=incarnation)}
        handover.hand_over()
        gevent.sleep(0.01)
        assert list(buckets) == kept


@pytest.mark.parametrize(
    ("first_start", "owner", "asked"),
    [(True, "own", 0), (False, "own", 1), (False, "other", 0)],
)
def test_a_silent_former_owner_is_asked_once(
    first_start: bool, owner: str, asked: int
) -> None:
    # After a restart of the fleet each organisation's first operation waited for it.
    view = OtherOwner(owner=owner)
    handover = make_handover(view, {}, first_start=first_start)
    for organisation in ("o", "p"):
        handover.take_over(organisation)
    assert len(view.sent) == asked
