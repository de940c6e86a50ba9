"""Keep open transactions, each pinned to one upstream connection."""

from __future__ import annotations

import time
import uuid
from typing import Any, TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

from ..core.read_routing import FloorSource
from ..core.requests import CallResult
from ..errors import make_refusal, Refusal, RefusedError
from ..reasons import RefusalReason, RetryReason
from ..types import AccessMode, LogPoint, StatementOutcome
from ..wire.upstream import StatementRequest, TransactionRequest
from .broadcast import Broadcast
from .pending_writes import PendingWrite
from .upstream_exchange import (
    acquire_connection,
    exchange_request,
    FailedAttempt,
    TimedAnswer,
)

if TYPE_CHECKING:
    from ..core.group_view import Primary
    from ..core.requests import TransactionCall
    from ..types import KeyId, OrganisationId
    from .http_connection import HttpConnection
    from .member_link import MemberLink
    from .statement_executor import StatementExecutor

REAP_INTERVAL_SECONDS = 0.25
UNCLAIMED_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 10.0
TRANSACTION_ID_SEPARATOR = "."


def find_transaction_owner(transaction: str) -> str:
    """Return the instance that holds a transaction."""
    return transaction.partition(TRANSACTION_ID_SEPARATOR)[0]


class OpenTransaction:
    """Represent an open transaction with its pinned connection and time limits.

    Only a transaction that may write has a primary.
    """

    def __init__(
        self,
        transaction_id: str,
        *,
        executor: StatementExecutor,
        link: MemberLink,
        connection: HttpConnection,
        primary: Primary | None,
        organisation: OrganisationId,
        key_id: KeyId,
        expires_at: float,
    ) -> None:
        """Start the time within which the caller must send its first statement."""
        self.transaction_id = transaction_id
        self.executor = executor
        self.link = link
        self.connection = connection
        self.primary = primary
        self.organisation = organisation
        self.key_id = key_id
        self.expires_at = expires_at
        self.idle_deadline = time.monotonic() + UNCLAIMED_TIMEOUT_SECONDS
        self.statement_lock = BoundedSemaphore(1)
        self.is_released = False

    def is_expired(self, now: float) -> bool:
        """Tell whether the transaction was idle for too long, or is past its limit.

        The first statement is due sooner than later ones, because a caller that did
        not get the answer to its begin never sends any.
        """
        if now >= self.expires_at:
            return True
        return not self.statement_lock.locked() and now >= self.idle_deadline

    def release_connection(self) -> None:
        """Return the connection to its pool, once.

        If the connection is closed, the upstream rolls back.
        """
        if not self.is_released:
            self.is_released = True
            self.link.data_pool.release(self.connection)

    def abort(self) -> None:
        """Close the connection, so that the upstream rolls back.

        A connection that was returned to its pool may be in use by another request
        and stays open.
        """
        if not self.is_released:
            self.connection.close()
            self.release_connection()


class TransactionTable:
    """Begin, run, commit and roll back transactions of this instance."""

    def __init__(self, instance: str, *, limit_seconds: float) -> None:
        """Start without transactions."""
        self.instance = instance
        self.limit_seconds = limit_seconds
        self.open_transactions: dict[str, OpenTransaction] = {}
        self.transaction_ended = Broadcast()
        self.reaper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start aborting expired transactions."""
        self.reaper = gevent.spawn(self.abort_expired)

    def stop(self) -> None:
        """Abort every open transaction."""
        if self.reaper is not None:
            self.reaper.kill()
        for transaction in list(self.open_transactions.values()):
            self.remove_transaction(transaction)
            transaction.abort()

    def abort_expired(self) -> None:
        """Abort expired transactions until killed."""
        while True:
            gevent.sleep(REAP_INTERVAL_SECONDS)
            now = time.monotonic()
            for transaction in list(self.open_transactions.values()):
                if transaction.is_expired(now):
                    self.remove_transaction(transaction)
                    transaction.abort()

    def count_open(self, executor: StatementExecutor) -> int:
        """Count the open transactions of one group's executor."""
        return sum(
            transaction.executor is executor
            for transaction in self.open_transactions.values()
        )

    def abort_withdrawn(self, is_withdrawn: Any) -> None:
        """Abort every transaction whose key was withdrawn."""
        for transaction in list(self.open_transactions.values()):
            if is_withdrawn(transaction.key_id):
                self.remove_transaction(transaction)
                transaction.abort()

    def remove_transaction(self, transaction: OpenTransaction) -> None:
        """Remove a transaction and wake the calls that wait for one to end."""
        self.open_transactions.pop(transaction.transaction_id, None)
        self.transaction_ended.notify()

    def await_connection_quota(self, link: MemberLink, deadline: float) -> bool:
        """Wait until transactions may hold one more connection of a link.

        Return false at the deadline.
        """
        while self.count_held_connections(link) >= link.transaction_limit:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.transaction_ended.wait(remaining):
                return False
        return True

    def count_held_connections(self, link: MemberLink) -> int:
        """Count the transactions that hold a connection of a link."""
        return sum(
            transaction.link is link for transaction in self.open_transactions.values()
        )

    def begin_transaction(
        self,
        executor: StatementExecutor,
        call: TransactionCall,
        arrived_at: float,
        *,
        organisation: OrganisationId,
        key: KeyId,
    ) -> CallResult:
        """Begin a transaction; raise RefusedError, always with outcome not run."""
        deadline = arrived_at + call.timeout_seconds

        def attempt() -> CallResult | FailedAttempt:
            return self.try_begin(
                executor, call, deadline, organisation=organisation, key=key
            )

        return executor.run_with_retries(attempt, deadline, True)

    def try_begin(
        self,
        executor: StatementExecutor,
        call: TransactionCall,
        deadline: float,
        *,
        organisation: OrganisationId,
        key: KeyId,
    ) -> CallResult | FailedAttempt:
        """Try once to begin: on the primary, or on any suitable member for reads."""
        target, upstream = self.choose_upstream(executor, call, deadline)
        link = executor.group_task.member_links[upstream]
        if not self.await_connection_quota(link, deadline):
            detail = f"no connection to {link.upstream_id} is left for transactions"
            return FailedAttempt(
                None, make_refusal(RefusalReason.DEADLINE_TOO_SHORT, detail)
            )
        connection = acquire_connection(link, deadline)
        if isinstance(connection, FailedAttempt):
            return connection
        transaction = OpenTransaction(
            f"{self.instance}{TRANSACTION_ID_SEPARATOR}{uuid.uuid4().hex}",
            executor=executor,
            link=link,
            connection=connection,
            primary=target,
            organisation=organisation,
            key_id=key,
            expires_at=time.monotonic() + self.limit_seconds,
        )
        self.open_transactions[transaction.transaction_id] = transaction
        request = TransactionRequest(
            request_id=call.request_id, term=target.term if target else None
        )
        floor = call.floor or LogPoint(0, 0)
        try:
            result: Any = exchange_request(
                link, connection, "/v1/begin", request, deadline
            )
            if isinstance(result, TimedAnswer):
                result = executor.reader.confirm_answer(
                    upstream, result, floor, deadline
                )
        except BaseException:
            self.remove_transaction(transaction)
            transaction.abort()
            raise
        if isinstance(result, FailedAttempt):
            self.remove_transaction(transaction)
            transaction.abort()
            return mark_not_run(result)
        return result._replace(transaction=transaction.transaction_id)

    def choose_upstream(
        self, executor: StatementExecutor, call: TransactionCall, deadline: float
    ) -> tuple[Primary | None, str]:
        """Return the primary, for writes only, and the upstream; raise RefusedError."""
        if call.access is AccessMode.WRITE:
            target = executor.writer.await_primary(deadline)
            if isinstance(target, FailedAttempt):
                raise RefusedError(target.refusal)
            return target, target.upstream
        floor = call.floor
        if floor is None:
            floor = executor.group_task.await_floor(time.monotonic(), 0.0, deadline)
        if floor is None:
            detail = f"no majority of {executor.group_task.group_id} answered in time"
            raise RefusedError(make_refusal(RefusalReason.NO_PRIMARY, detail))
        chosen = executor.reader.choose_member(
            floor, FloorSource.TOKEN, deadline, set()
        )
        if isinstance(chosen, FailedAttempt):
            raise RefusedError(chosen.refusal)
        return None, chosen

    def perform_action(
        self, call: TransactionCall, arrived_at: float, *, organisation: OrganisationId
    ) -> CallResult:
        """Run a statement, commit or roll back; raise RefusedError."""
        transaction = self.open_transactions.get(call.transaction)
        if transaction is None or transaction.organisation != organisation:
            detail = "the transaction ended, or was never begun here"
            raise RefusedError(make_refusal(RefusalReason.UNKNOWN_TRANSACTION, detail))
        deadline = arrived_at + call.timeout_seconds
        if not transaction.statement_lock.acquire(timeout=call.timeout_seconds):
            detail = "another statement of the transaction still runs"
            raise RefusedError(make_refusal(RefusalReason.DEADLINE_TOO_SHORT, detail))
        try:
            if transaction.is_released:
                raise RefusedError(make_lost_refusal("it ended while the call waited"))
            return self.run_action(transaction, call, deadline)
        finally:
            transaction.idle_deadline = time.monotonic() + IDLE_TIMEOUT_SECONDS
            transaction.statement_lock.release()

    def run_action(
        self, transaction: OpenTransaction, call: TransactionCall, deadline: float
    ) -> CallResult:
        """Run the call's action in a transaction that no other call uses."""
        match call.action:
            case "statement":
                return self.run_statement(transaction, call, deadline)
            case "commit":
                return self.commit(transaction, call, deadline)
            case _:
                return self.roll_back(transaction, call, deadline)

    def run_statement(
        self, transaction: OpenTransaction, call: TransactionCall, deadline: float
    ) -> CallResult:
        """Run a statement on the pinned connection; raise RefusedError."""
        request = StatementRequest(
            request_id=call.request_id,
            access="write" if transaction.primary else "read",
            statement=call.statement,
            parameters=call.parameters,
            term=transaction.primary.term if transaction.primary else None,
        )
        result: Any = self.exchange_pinned(
            transaction, "/v1/statement", request, deadline
        )
        if isinstance(result, TimedAnswer):
            floor = call.floor or LogPoint(0, 0)
            executor = transaction.executor
            result = executor.reader.confirm_answer(
                transaction.link.upstream_id, result, floor, deadline
            )
        if isinstance(result, CallResult):
            return result
        if result.retry_reason is None and transaction.connection.is_open:
            # Only the statement failed; the transaction is still open.
            raise RefusedError(result.refusal)
        self.remove_transaction(transaction)
        transaction.abort()
        raise RefusedError(make_lost_refusal(result.refusal.detail))

    def commit(
        self, transaction: OpenTransaction, call: TransactionCall, deadline: float
    ) -> CallResult:
        """Commit and wait until a majority confirms; raise RefusedError."""
        self.remove_transaction(transaction)
        target = transaction.primary
        request = TransactionRequest(
            request_id=call.request_id, term=target.term if target else None
        )
        executor = transaction.executor
        write = PendingWrite(target.term if target else 0, idempotent=False)
        write.connection = transaction.connection
        write_number = executor.group_task.pending_writes.add_write(write)
        try:
            result: Any = self.exchange_pinned(
                transaction, "/v1/commit", request, deadline
            )
            write.connection = None
            transaction.release_connection()
            if isinstance(result, TimedAnswer) and target is not None:
                result = executor.writer.await_acknowledgement(target, result, deadline)
            elif isinstance(result, TimedAnswer):
                floor = call.floor or LogPoint(0, 0)
                name = transaction.link.upstream_id
                result = executor.reader.confirm_answer(name, result, floor, deadline)
        finally:
            transaction.abort()
            executor.group_task.pending_writes.remove_write(write_number)
        if isinstance(result, CallResult):
            return result
        if result.refusal.outcome is StatementOutcome.NOT_RUN:
            raise RefusedError(make_lost_refusal(result.refusal.detail))
        raise RefusedError(result.refusal)

    def roll_back(
        self, transaction: OpenTransaction, call: TransactionCall, deadline: float
    ) -> CallResult:
        """Roll back; if that fails, close the connection, which rolls back too."""
        self.remove_transaction(transaction)
        request = TransactionRequest(request_id=call.request_id)
        result = self.exchange_pinned(transaction, "/v1/rollback", request, deadline)
        if isinstance(result, FailedAttempt):
            transaction.abort()
        transaction.release_connection()
        name = transaction.link.upstream_id
        return CallResult([], [], 0, None, name, "primary", transaction.transaction_id)

    def exchange_pinned(
        self, transaction: OpenTransaction, path: str, message: Any, deadline: float
    ) -> TimedAnswer | FailedAttempt:
        """Exchange a request on the pinned connection; on an exception close it."""
        link, connection = transaction.link, transaction.connection
        try:
            return exchange_request(link, connection, path, message, deadline)
        except BaseException:
            transaction.abort()
            raise


def make_lost_refusal(detail: str) -> Refusal:
    """Build the refusal of a transaction that was rolled back."""
    return make_refusal(RefusalReason.TRANSACTION_LOST, detail)


def mark_not_run(result: FailedAttempt) -> FailedAttempt:
    """Return a failed begin as retryable and not run: a begin changes no data."""
    refusal = result.refusal._replace(outcome=StatementOutcome.NOT_RUN)
    return FailedAttempt(result.retry_reason or RetryReason.CONNECTION_LOST, refusal)
