"""Decide which commits are acknowledged around a promotion.

Where commits have to be received by replicas, an acknowledged one must be in the log of
each later leader. So a promoter first stops the commits of all instances, by a record
without a leader and by waiting out the leases of those that do not confirm it, and only
then asks for the logs. An instance acknowledges a commit only if its answer arrives
while the lease under which it was sent is valid; a later one has an unknown outcome.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .leadership import lease_end

if TYPE_CHECKING:
    from ...types import Seconds
    from .leadership import LeadershipRecord


class CommitLease(NamedTuple):
    """Describe the lease under which a commit was sent to a primary.

    ``origin`` is that of the newest record of a leader which was known then.
    """

    origin: int
    until: Seconds


def lease_commit(
    record: LeadershipRecord | None, *, confirmed_at: Seconds
) -> CommitLease:
    """Return the lease under which a commit is sent now."""
    return CommitLease(_origin_of(record), lease_end(confirmed_at))


def may_acknowledge(
    lease: CommitLease,
    record: LeadershipRecord | None,
    *,
    confirmed_origin: int,
    may_use_primary: bool,
    now: Seconds,
) -> bool:
    """Tell whether no later leader can lack a commit whose answer arrives now.

    ``confirmed_origin`` is that of the newest record which this instance confirmed to
    its promoter, who asks for the logs without waiting for this instance's lease. A
    newer lease on the same leadership counts as well as the one of the commit.
    """
    if lease.origin < confirmed_origin:
        return False
    is_renewed = may_use_primary and _origin_of(record) == lease.origin
    return now < lease.until or is_renewed


def _origin_of(record: LeadershipRecord | None) -> int:
    return 0 if record is None else record.origin
