"""Define the types of the log lines about promotions."""

from __future__ import annotations

from .log_lines import InstanceLogLine


class ServiceLogLine(InstanceLogLine):
    """Define the fields of lines about one service."""

    service: str


class NoPromotableReplica(ServiceLogLine):
    """Count the replicas reached when none of them could be promoted.

    While an order for ``pending`` may still take effect, only that database could be.
    """

    reached: int
    pending: str | None
    pending_seconds: float | None


class FormerLeadersReached(ServiceLogLine):
    """Report that only former leaders are reached, whose logs have diverged.

    They lack ``newest_term``; one of them may lead again after a while.
    """

    points: dict[str, str]
    newest_term: int
    waited_seconds: float


class PrimaryReturned(ServiceLogLine):
    """Report that a missing primary is known again and is not replaced."""

    database: str


class DutyClaimFailed(ServiceLogLine):
    """Report why the store call that claims the promotion duty failed."""

    error: str


class LeaderRecordReplaced(ServiceLogLine):
    """Report a promotion that is given up since its record does not stand any more.

    ``revision`` is that of the present record, 0 if there is none or it was not read.
    """

    revision: int
    written: int
    error: str


class LeaderRecordedAgain(ServiceLogLine):
    """Report the repeated write of a record that a restored store had lost."""

    database: str
    origin: int
    outcome: str


class LogsMissing(ServiceLogLine):
    """Report that a lost primary is not replaced until more logs are known."""

    replicas: list[str]
    received: dict[str, str]
    waited_seconds: float


class PromotionRequested(ServiceLogLine):
    """Report a promotion's fencing token and the received logs compared.

    ``took_seconds`` is the time from the decision to the platform's answer.
    ``repeats_pending`` is set if an earlier order for the database may take effect too;
    ``after_term`` is that of a record.
    """

    database: str
    replaced: str | None
    fence: int
    repeats_pending: bool
    after_term: int
    points: dict[str, str]
    applied: dict[str, str]
    outcome: str
    took_seconds: float
