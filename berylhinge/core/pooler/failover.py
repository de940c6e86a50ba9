"""Decide when a database leads no longer and which one takes over.

Only the duty's holder asks for a promotion, with the revision of the duty's key as
its fencing token. A database that others reach isn't replaced: the instance that
lost it alone gives up its connections instead.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...types import LogPoint, Seconds, UpstreamId
    from .catalogue import Database

# A refused connection shows a stopped process; others are asked soon after.
REFUSED_SECONDS = 0.1
# Silence that outlasts nearly every statement; a check by new connections follows.
SILENT_SECONDS = 0.25
# Each further instance in line for the duty waits this much longer.
STAND_BY_SECONDS = 0.6
# A promotion is over within this time, or it is asked for again.
PROMOTION_SECONDS = 2.0


class Health(NamedTuple):
    """Hold what an instance saw of a primary; infinity for never."""

    answered_at: Seconds
    failed_since: Seconds
    refused: bool


class Verdict(StrEnum):
    """Tell what to do about a primary."""

    KEEP = "keep"
    CHECK = "check"
    REPLACE = "replace"


UNKNOWN_HEALTH = Health(float("-inf"), float("inf"), False)


def answered(health: Health, now: Seconds) -> Health:
    """Note an answer."""
    return Health(max(now, health.answered_at), float("inf"), False)


def failed(health: Health, now: Seconds, *, refused: bool) -> Health:
    """Note a failure to connect, or a silence since ``now``."""
    since = min(health.failed_since, now)
    return Health(health.answered_at, since, refused or health.refused)


def judge(
    health: Health, primary: Database | None, *, place_in_line: int, now: Seconds
) -> Verdict:
    """Tell whether a primary must be replaced, or looked at by others first."""
    patience = STAND_BY_SECONDS * place_in_line
    if primary is None or primary.leaving:
        return Verdict.REPLACE
    limit = REFUSED_SECONDS if health.refused else SILENT_SECONDS
    if now - health.failed_since >= limit + patience:
        return Verdict.CHECK
    return Verdict.KEEP


def successor(
    candidates: Iterable[Database], points: Mapping[UpstreamId, LogPoint]
) -> Database | None:
    """Return the reachable database with the longest log; ties go by id."""
    usable = [entry for entry in candidates if entry.id in points and not entry.leaving]
    return max(usable, key=lambda entry: (points[entry.id], entry.id), default=None)
