from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from ....core.pooler.catalogue import Quota
from ....core.pooler.token_buckets import RateTolerance, TokenBucket
from ....wire.pooling import TokenGrant, TokenRequest
from ...clock import now_seconds
from ...logs import Log
from ...peer_frames import PeerLost
from ..fleet_view import PEER_FAILOVER_SECONDS
from ..rates import Admission, RateLimiter

QUOTA = Quota(200.0, 200.0)
TOLERANCE = RateTolerance(5.0, 0.1, 20.0)
# More than a new bucket holds; an organisation inside its rate sends as many in 0.6 s.
OPERATIONS = 120


class Owners:
    """Stand in for the view and the links: the named owners never answer."""

    def __init__(self, owners: list[str], starting: int = 0) -> None:
        self.owners = owners
        self.starting = starting
        self.suspects: list[str] = []
        self.own_instance = "own"
        self.members = dict.fromkeys(["own", *owners])
        self.declarations = SimpleNamespace(quotas={"o": QUOTA})
        self.assignment = self

    def next_rate_owner(self, organisation: str, without: str) -> None:
        return None

    def reached_fraction(self) -> float:
        return 1.0

    def rate_owner(self, organisation: str) -> str:
        alive = [name for name in self.owners if name not in self.suspects]
        return alive[0] if alive else self.own_instance

    def mark_suspect(self, instance: str) -> None:
        self.suspects.append(instance)

    def may_have_stalled_since(self, moment: float) -> bool:
        return False

    def close_outbox(self, instance: str) -> None:
        pass

    def is_starting(self, instance: str) -> bool:
        self.starting -= 1
        return self.starting >= 0

    def call(self, instance: str, *arguments: Any, **options: Any) -> TokenGrant:
        raise PeerLost(instance, sent=True)


def make_limiter(owners: Owners) -> RateLimiter:
    view: Any = owners
    return RateLimiter(
        view,
        view,
        first_start=False,
        tolerance=TOLERANCE,
        is_starting=view.is_starting,
        reached_fraction=view.reached_fraction,
        log=Log("rates", "own"),
    )


@pytest.mark.parametrize(("goal_seconds", "all_admitted"), [(1.5, True), (0.0, False)])
def test_operations_wait_within_their_goal_for_a_new_owners_tokens(
    goal_seconds: float, all_admitted: bool
) -> None:
    # After a restart of the fleet, every organisation asks at once.
    limiter = make_limiter(Owners([]))
    asked = [gevent.spawn(limiter.admit, "o", goal_seconds) for _ in range(OPERATIONS)]
    gevent.joinall(asked, raise_error=True)
    refused = [job.value for job in asked if not job.value.admitted]
    assert (not refused) == all_admitted
    # An operation that asks again is not more demand, for which spare tokens are asked.
    assert limiter.demands["o"].operations == OPERATIONS
    hints = [admission.retry_after_seconds for admission in refused]
    assert len(set(hints)) == len(hints)


def test_the_next_owner_is_asked_when_one_is_lost() -> None:
    # The share of an isolated instance refuses nearly everything.
    owners = Owners(["lost"])
    assert make_limiter(owners).admit("o").admitted
    assert owners.suspects == ["lost"]


def test_an_owner_that_may_be_starting_is_not_passed_over() -> None:
    # Its bucket and that of the next one would both grant.
    owners = Owners(["late"], starting=3)
    make_limiter(owners).admit("o")
    assert owners.starting == -1


class GrantingOwner(Owners):
    """Stand in for a rate owner that grants all and keeps the requests."""

    def __init__(self) -> None:
        super().__init__(["owner"])
        self.requests: list[TokenRequest] = []

    def call(
        self, instance: str, message: TokenRequest, *arguments: Any, **options: Any
    ) -> TokenGrant:
        self.requests.append(message)
        return TokenGrant(message.requested, 0, 0.0, 0.0)


def test_operations_refused_for_room_leave_their_tokens_to_others() -> None:
    # Refused operations that came back took a token each time, and others were refused
    # for a rate that their organisation had not reached.
    limiter = make_limiter(Owners([]))
    now = now_seconds()
    limiter.owned_buckets["o"] = TokenBucket(3.0, now, now - 10.0)
    limiter.view.declarations.quotas["o"] = Quota(0.001, 10.0)
    for _ in range(20):
        admission = limiter.admit("o")
        assert admission.admitted
        limiter.return_token("o", admission)


def test_a_return_refills_no_more_than_the_part_of_the_rate_that_is_granted() -> None:
    # Parts of a partitioned fleet would have granted the whole rate each.
    limiter = make_limiter(Owners([]))
    limiter.reached_fraction = lambda: 0.02
    now = now_seconds()
    limiter.owned_buckets["o"] = TokenBucket(0.0, now - 1.0, now - 10.0)
    limiter.return_token("o", Admission(True, 0.0, owner="own", taken_at=now))
    # A token, and what a fiftieth of the rate adds in a second.
    expected = 1.0 + QUOTA.rate * 0.02
    assert limiter.owned_buckets["o"].tokens == pytest.approx(expected, abs=1.0)


def test_tokens_are_returned_to_their_owner_with_the_next_request() -> None:
    owner = GrantingOwner()
    limiter = make_limiter(owner)
    for _ in range(2):
        limiter.return_token("o", limiter.admit("o"))
    limiter.admit("o")
    limiter.admit("o")
    assert [request.returned for request in owner.requests] == [0, 1, 1, 0]
    # The owner must not take them for younger than they are.
    assert owner.requests[1].returned_age_seconds >= PEER_FAILOVER_SECONDS


def test_tokens_taken_without_the_owner_are_not_returned_to_it() -> None:
    # The owner never counted them; it would grant more than the rate.
    owner = GrantingOwner()
    limiter = make_limiter(owner)
    limiter.return_token("o", Admission(True, 0.0))
    limiter.admit("o")
    assert [request.returned for request in owner.requests] == [0]


@pytest.mark.parametrize(
    ("first_answer", "admitted"),
    [
        (KeyError("unexpected"), [False, True, True]),
        (TokenGrant(9, 0, 0.0, 0.0), [True, True, True]),
        (TokenGrant(-1, 0, 0.0, 0.1), [False, True, True]),
    ],
    ids=["error", "more-than-asked", "less-than-none"],
)
def test_operations_behind_an_unusable_answer_are_decided(
    first_answer: Any, admitted: list[bool]
) -> None:
    # The queue kept its place without a task, so later operations waited for ever.
    owners = Owners(["first"])
    answers: list[Any] = [first_answer, TokenGrant(2, 0, 0.0, 0.0)]

    def call(instance: str, *arguments: Any, **options: Any) -> TokenGrant:
        gevent.sleep(0.02)
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    owners.call = call  # type: ignore[method-assign]
    limiter = make_limiter(owners)
    jobs = [gevent.spawn(limiter.admit, "o")]
    gevent.sleep(0.01)
    jobs += [gevent.spawn(limiter.admit, "o") for _ in range(2)]
    gevent.joinall(jobs, timeout=2.0)
    assert [job.value and job.value.admitted for job in jobs] == admitted
    assert not limiter.waiting
