"""Run each statement on a slot and a connection of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ..types import AccessMode, StatementOutcome
from .upstream_exchange import (
    acquire_connection,
    exchange_request,
    FailedAttempt,
    TimedAnswer,
)

if TYPE_CHECKING:
    from ..types import OrganisationId
    from ..wire.upstream import StatementRequest
    from .member_link import MemberLink
    from .pending_writes import PendingWrite

LOST_ANSWER_SLOT_HOLD_SECONDS = 0.5


class StatementExchanger:
    """Exchange statements with the members of one group."""

    def exchange_statement(
        self,
        link: MemberLink,
        request: StatementRequest,
        organisation: OrganisationId,
        deadline: float,
        write: PendingWrite | None = None,
    ) -> TimedAnswer | FailedAttempt:
        """Exchange one statement on a slot and a connection of its own."""
        hold_seconds = 0.0
        ticket = link.slot_semaphore.acquire(
            organisation, AccessMode(request["access"]), deadline
        )
        try:
            connection = acquire_connection(link, deadline)
            if isinstance(connection, FailedAttempt):
                return connection
            if write is not None:
                write.connection = connection
            try:
                result = exchange_request(
                    link, connection, "/v1/statement", request, deadline
                )
            finally:
                if write is not None:
                    write.connection = None
                link.data_pool.release(connection)
            if (
                isinstance(result, FailedAttempt)
                and result.refusal.outcome is StatementOutcome.UNKNOWN
            ):
                hold_seconds = LOST_ANSWER_SLOT_HOLD_SECONDS
            return result
        finally:
            # A statement whose answer was lost may still occupy a slot of the upstream.
            if hold_seconds:
                gevent.spawn_later(
                    hold_seconds, link.slot_semaphore.release_unmeasured, ticket
                )
            else:
                link.slot_semaphore.release(ticket)
