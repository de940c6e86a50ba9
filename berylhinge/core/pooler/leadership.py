"""Decide which database leads a service, and who may still use it as primary.

Where the platform does not protect a service from a deposed primary, each instance uses
a primary only under a lease (Gray and Cheriton, 1989): a confirmation that no other
leader had been recorded in the store when it was asked for. A promoter records the new
leader first, tells the other instances, and waits out the lease of those that do not
answer before it asks for the promotion.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from ...types import DatabaseRole, InstanceId, Seconds, UpstreamId
from .failover import PROMOTION_TIMEOUT_SECONDS
from .floors import CLOCK_DRIFT_FRACTION
from .store_eras import era_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...types import FailureDomainId
    from .catalogue import Database

# How long a confirmation of the known state allows the use of a primary. It is shorter
# than the time for which an instance that lost its registration remains a member
# elsewhere, so that a promoter waits for every instance that holds a lease.
LEASE_SECONDS = 2.4
# Former leaders that a record names. A former leader may announce itself as primary
# until it reaches its successor.
MAX_FORMER_LEADERS = 4
# Recorded in place of a leader while commits are stopped and none is chosen yet.
NO_LEADER = ""
# Time left for a promotion under way before a service without a primary gets another
# one, and the additional time for each rank in line.
MISSING_PRIMARY_SECONDS = 0.5
MISSING_PRIMARY_RANK_SECONDS = 1.0
# Number of instances asked whether they reach a database that this one cannot.
WITNESS_COUNT = 3


class RecordedLeader(NamedTuple):
    """Describe the promotion that ``promoter`` recorded in the store.

    ``former`` are the databases that led before, newest last. ``replaces_at_once`` is
    set if the former leader must not be used from the record on; otherwise it serves
    until the new leader announces itself. ``era`` is that of the store when this was
    written. ``origin`` is the revision of the first record of this promotion, 0 in that
    record itself; a record that a restored store lost is written again. A leader with
    an ``after_term`` led before and is used only once it leads in a later term.
    Besides the leader of an ``is_exclusive`` record no database is used as primary,
    whatever it announces.
    """

    promoter: InstanceId
    leader: UpstreamId
    former: tuple[UpstreamId, ...]
    replaces_at_once: bool
    era: int = 0
    origin: int = 0
    after_term: int = 0
    is_exclusive: bool = False


class LeadershipRecord(NamedTuple):
    """Hold a recorded leader, the revision of its record and when it became known.

    ``origin`` is the revision of the promotion's first record, which orders records and
    is the promotion's fencing token.
    """

    recorded: RecordedLeader
    revision: int
    learned_at: Seconds
    origin: int


def primary_of(
    databases: Mapping[UpstreamId, Database],
    service: str,
    record: LeadershipRecord | None,
) -> Database | None:
    """Return the database that leads a service, if one is known.

    It is the recorded leader, or one that announced itself as primary after the record;
    among several the newest. A former leader does not count, whatever it announces, but
    for one that serves until the new leader announces itself.
    """
    announced = [
        entry
        for entry in databases.values()
        if entry.service == service and entry.role is DatabaseRole.PRIMARY
    ]
    found = [entry for entry in announced if _may_lead(entry, record)]
    if not found and record is not None and not record.recorded.replaces_at_once:
        found = announced
    return max(found, key=lambda entry: (entry.led_since, entry.id), default=None)


def next_leader_of(
    databases: Mapping[UpstreamId, Database],
    service: str,
    record: LeadershipRecord | None,
) -> Database | None:
    """Return the recorded leader of a service that no database is known to lead."""
    if record is None or primary_of(databases, service, record) is not None:
        return None
    return databases.get(record.recorded.leader)


def _may_lead(database: Database, record: LeadershipRecord | None) -> bool:
    """Tell whether a record allows a database that announces itself as primary."""
    if record is None:
        return True
    if database.id == record.recorded.leader:
        # It may have announced itself before; what proved its lead names the record.
        is_proven = database.led_since == record.revision
        return record.recorded.after_term == 0 or is_proven
    if record.recorded.is_exclusive:
        return False
    is_newer = database.led_since > record.revision
    return is_newer and database.id not in record.recorded.former


def encode_recorded_leader(recorded: RecordedLeader) -> bytes:
    """Encode a recorded leader for the store."""
    # Instances of former versions decode records of their fields only.
    kept = len(recorded)
    if not recorded.is_exclusive:
        kept -= 1 if recorded.after_term else 2
    return msgspec.json.encode(recorded[:kept])


def decode_recorded_leader(value: bytes) -> Result[RecordedLeader, str]:
    """Decode a recorded leader, or return what is wrong with it."""
    try:
        return Success(msgspec.json.decode(value, type=RecordedLeader))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))


def next_recorded_leader(
    known: LeadershipRecord | None,
    *,
    promoter: InstanceId,
    leader: UpstreamId,
    current: UpstreamId | None,
    replaces_at_once: bool,
    era: int,
    after_term: int = 0,
    is_exclusive: bool = False,
) -> RecordedLeader:
    """Return the record of a promotion of ``leader`` in place of ``current``."""
    former = list(known.recorded.former) if known is not None else []
    if current is not None:
        former.append(current)
    kept = [name for name in dict.fromkeys(reversed(former)) if name != leader]
    return RecordedLeader(
        promoter,
        leader,
        tuple(reversed(kept[:MAX_FORMER_LEADERS])),
        replaces_at_once,
        era,
        after_term=after_term,
        is_exclusive=is_exclusive,
    )


def is_record_lost(record: LeadershipRecord, *, stored_origin: int, era: int) -> bool:
    """Tell whether a restored store lacks the record of a promotion.

    A record of the present era may only not have been delivered yet.
    """
    return era_of(record.origin) < era and stored_origin < record.origin


def is_lease_valid(*, confirmed_at: Seconds, valid_from: Seconds, now: Seconds) -> bool:
    """Tell whether an instance may use primaries.

    A promoter knows only registered instances, and a restored store may lack its record
    at first, so a confirmation that was asked for before ``valid_from`` does not count.
    """
    return confirmed_at >= valid_from and now < lease_end(confirmed_at)


def lease_end(confirmed_at: Seconds) -> Seconds:
    """Return until when a confirmation allows the use of primaries."""
    return confirmed_at + LEASE_SECONDS * (1.0 - CLOCK_DRIFT_FRACTION)


def lease_wait(recorded_at: Seconds, now: Seconds) -> Seconds:
    """Return how long leases that precede a record may still be in use."""
    end = recorded_at + LEASE_SECONDS * (1.0 + CLOCK_DRIFT_FRACTION)
    return max(0.0, end - now)


def is_promotion_due(
    record: LeadershipRecord | None,
    *,
    missing_since: Seconds,
    rank: int,
    is_promoter_at_work: bool,
    waits_for_leases: bool,
    now: Seconds,
) -> bool:
    """Tell whether a service without a primary gets a promotion from this instance.

    A recorded promotion has as long as another promoter may have to wait for leases and
    for the platform, unless that promoter is lost.
    """
    delay = MISSING_PRIMARY_SECONDS + MISSING_PRIMARY_RANK_SECONDS * rank
    if record is not None and is_promoter_at_work:
        limit = PROMOTION_TIMEOUT_SECONDS
        if waits_for_leases:
            limit += LEASE_SECONDS
        if now - record.learned_at < limit:
            return False
    return now - missing_since >= delay


def choose_witnesses(
    ranked: Iterable[InstanceId],
    failure_domains: Mapping[InstanceId, FailureDomainId],
    *,
    count: int = WITNESS_COUNT,
) -> list[InstanceId]:
    """Return the instances to ask about a database, from different failure domains.

    ``ranked`` has the instances in an order that differs by database.
    """
    by_domain: dict[FailureDomainId, list[InstanceId]] = {}
    for name in ranked:
        if name in failure_domains:
            by_domain.setdefault(failure_domains[name], []).append(name)
    rounds = max((len(names) for names in by_domain.values()), default=0)
    found = [
        names[position]
        for position in range(rounds)
        for names in by_domain.values()
        if position < len(names)
    ]
    return found[:count]


def may_replace_unreached(
    answers: Mapping[InstanceId, bool | None], *, has_peers: bool
) -> bool:
    """Tell whether a primary that this instance does not reach may be replaced.

    ``answers`` tells for each witness whether it reaches the database, None if it did
    not answer. A missing answer proves nothing: an instance that no witness answers may
    itself be cut off. Only an instance without registered peers decides alone.
    """
    if any(answers.values()):
        return False
    return not has_peers or any(answer is False for answer in answers.values())
