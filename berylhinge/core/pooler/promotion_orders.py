"""Decide which promotions may follow an order that may still take effect.

A platform that does not check fencing tokens carries out every order it accepted, also
one whose answer was lost, and after a later order for another database. While that may
happen only the database of the earlier order may be recorded: to repeat an order for it
changes nothing.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ...types import DatabaseRole
from .failover import choose_successor, PROMOTION_TIMEOUT_SECONDS
from .leadership import LEASE_SECONDS, NO_LEADER

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from ...types import LogPoint, ReceivedPoint, Seconds, UpstreamId
    from .catalogue import Database
    from .leadership import LeadershipRecord

# After this time from its record a promoter orders no more, since others may count its
# order as over. It includes 1.5 s for the notices and for the check of the record.
LAST_ORDER_SECONDS = LEASE_SECONDS + PROMOTION_TIMEOUT_SECONDS + 1.5
# How long an order may take to be carried out after it was sent. A promotion takes up to
# 1 s; one without an answer may be carried out later, for which 2 s are assumed.
ORDER_EFFECT_SECONDS = 3.0
# An accepted promotion has taken effect after this time: 1 s at most, and a margin.
ACCEPTED_EFFECT_SECONDS = 1.2


class PendingOrder(NamedTuple):
    """Name the database whose promotion may still take effect, and until when."""

    leader: UpstreamId
    until: Seconds


class RefusedOrder(NamedTuple):
    """Describe an order whose calls were all refused, by the origin of its record.

    An order that it repeated may still take effect until ``earlier_until``.
    """

    origin: int
    earlier_until: Seconds


NO_REFUSED_ORDER = RefusedOrder(0, 0.0)


def pending_order(
    record: LeadershipRecord | None,
    primary: Database | None,
    *,
    refused: RefusedOrder,
    now: Seconds,
) -> PendingOrder | None:
    """Return the recorded order that may still take effect.

    It is over once its database leads or when its time has passed. Of an order that was
    ``refused``, only what it repeated counts.
    """
    if record is None or record.recorded.leader == NO_LEADER:
        return None
    if primary is not None and primary.id == record.recorded.leader:
        return None
    until = record.learned_at + LAST_ORDER_SECONDS + ORDER_EFFECT_SECONDS
    if record.origin == refused.origin:
        until = min(until, refused.earlier_until)
    return PendingOrder(record.recorded.leader, until) if now < until else None


def may_order(recorded_at: Seconds, now: Seconds) -> bool:
    """Tell whether the promoter of a record may still send its order."""
    return now - recorded_at < LAST_ORDER_SECONDS


def is_surely_refused(answers: Sequence[bool | None]) -> bool:
    """Tell whether no call of an order takes effect; None stands for a lost answer."""
    return bool(answers) and all(answer is False for answer in answers)


def term_to_exceed(
    chosen: Database, point: ReceivedPoint, record: LeadershipRecord | None
) -> int:
    """Return the term after which a chosen database must lead to be used; 0 for none.

    A former leader may take itself for the primary although another database replaced
    it, so that its answer as a primary proves nothing.
    """
    was_leader = chosen.role is DatabaseRole.PRIMARY
    if record is not None:
        recorded = record.recorded
        is_unproven = chosen.id == recorded.leader and recorded.after_term > 0
        was_leader |= is_unproven or chosen.id in recorded.former
    return point.term if was_leader else 0


def is_lead_proven(record: LeadershipRecord | None, point: LogPoint | None) -> bool:
    """Tell whether the recorded leader leads if it answers as a primary at a point."""
    after_term = 0 if record is None else record.recorded.after_term
    return after_term == 0 or (point is not None and point.term > after_term)


def choose_leader(
    candidates: Collection[Database],
    points: Mapping[UpstreamId, ReceivedPoint],
    record: LeadershipRecord | None,
    pending: PendingOrder | None,
    *,
    are_promotions_fenced: bool = False,
) -> Database | None:
    """Return the database to promote: that of a pending order, else the longest log.

    The database of a pending order is chosen also if its log is shorter or it leaves,
    since it may lead in any case.
    """
    if pending is None:
        recorded = None if record is None else record.recorded
        return choose_successor(
            candidates,
            points,
            preferred=recorded.leader if recorded else "",
            former=recorded.former if recorded and not are_promotions_fenced else (),
        )
    by_id = {entry.id: entry for entry in candidates if entry.id in points}
    return by_id.get(pending.leader)
