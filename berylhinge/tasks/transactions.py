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
from .attempts import exchange, Exchanged, Failed, lease
from .pending import PendingWrite
from .signal import Broadcast

if TYPE_CHECKING:
    from ..core.group_view import Primary
    from ..core.requests import TransactionCall
    from ..types import KeyId, OrganisationId
    from .connection import Connection
    from .execution import Executor
    from .member import MemberLink

REAP_SECONDS = 0.25
UNCLAIMED_SECONDS = 2.0
IDLE_SECONDS = 10.0
SEPARATOR = "."


def owner_of(transaction: str) -> str:
    """Return the instance that holds a transaction."""
    return transaction.partition(SEPARATOR)[0]


class OpenTransaction:
    """Represent an open transaction with its pinned connection and time limits.

    Only a transaction that may write has a primary.
    """

    def __init__(
        self,
        transaction_id: str,
        *,
        executor: Executor,
        link: MemberLink,
        connection: Connection,
        primary: Primary | None,
        organisation: OrganisationId,
        key_id: KeyId,
        expires_at: float,
    ) -> None:
        """Start the time within which the caller must send its first statement."""
        self.name = transaction_id
        self.executor = executor
        self.link = link
        self.connection = connection
        self.target = primary
        self.organisation = organisation
        self.key = key_id
        self.ends_at = expires_at
        self.idle_until = time.monotonic() + UNCLAIMED_SECONDS
        self.turn = BoundedSemaphore(1)
        self.closed = False

    def is_over(self, now: float) -> bool:
        """Tell whether the transaction was idle for too long, or is past its limit.

        The first statement is due sooner than later ones, because a caller that did
        not get the answer to its begin never sends any.
        """
        if now >= self.ends_at:
            return True
        return not self.turn.locked() and now >= self.idle_until

    def release(self) -> None:
        """Return the connection to its pool, once.

        If the connection is closed, the upstream rolls back.
        """
        if not self.closed:
            self.closed = True
            self.link.data.give_back(self.connection)

    def abandon(self) -> None:
        """Close the connection, so that the upstream rolls back.

        A connection that was returned to its pool may be in use by another request
        and stays open.
        """
        if not self.closed:
            self.connection.close()
            self.release()


class Transactions:
    """Begin, run, commit and roll back transactions of this instance."""

    def __init__(self, instance: str, *, limit_seconds: float) -> None:
        """Start without transactions."""
        self.instance = instance
        self.limit_seconds = limit_seconds
        self.open: dict[str, OpenTransaction] = {}
        self.ended = Broadcast()
        self.reaper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start aborting expired transactions."""
        self.reaper = gevent.spawn(self.run_reaper)

    def stop(self) -> None:
        """Abort every open transaction."""
        if self.reaper is not None:
            self.reaper.kill()
        for transaction in list(self.open.values()):
            self.forget(transaction)
            transaction.abandon()

    def run_reaper(self) -> None:
        """Abort expired transactions until killed."""
        while True:
            gevent.sleep(REAP_SECONDS)
            now = time.monotonic()
            for transaction in list(self.open.values()):
                if transaction.is_over(now):
                    self.forget(transaction)
                    transaction.abandon()

    def count(self, executor: Executor) -> int:
        """Count the open transactions of one group's executor."""
        return sum(
            transaction.executor is executor for transaction in self.open.values()
        )

    def abandon_keys(self, is_withdrawn: Any) -> None:
        """Abort every transaction whose key was withdrawn."""
        for transaction in list(self.open.values()):
            if is_withdrawn(transaction.key):
                self.forget(transaction)
                transaction.abandon()

    def forget(self, transaction: OpenTransaction) -> None:
        """Remove a transaction and wake the calls that wait for one to end."""
        self.open.pop(transaction.name, None)
        self.ended.notify()

    def await_room(self, link: MemberLink, deadline: float) -> bool:
        """Wait until transactions may hold one more connection of a link.

        Return false at the deadline.
        """
        while self.held(link) >= link.transaction_limit:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not self.ended.wait(remaining):
                return False
        return True

    def held(self, link: MemberLink) -> int:
        """Count the transactions that hold a connection of a link."""
        return sum(transaction.link is link for transaction in self.open.values())

    def begin(
        self,
        executor: Executor,
        call: TransactionCall,
        arrived_at: float,
        *,
        organisation: OrganisationId,
        key: KeyId,
    ) -> CallResult:
        """Begin a transaction; raise RefusedError, always with outcome not run."""
        deadline = arrived_at + call.timeout_seconds

        def attempt() -> CallResult | Failed:
            return self.try_begin(
                executor, call, deadline, organisation=organisation, key=key
            )

        return executor.persist(attempt, deadline, True)

    def try_begin(
        self,
        executor: Executor,
        call: TransactionCall,
        deadline: float,
        *,
        organisation: OrganisationId,
        key: KeyId,
    ) -> CallResult | Failed:
        """Try once to begin: on the primary, or on any suitable member for reads."""
        target, upstream = self.place(executor, call, deadline)
        link = executor.group.links[upstream]
        if not self.await_room(link, deadline):
            detail = f"no connection to {link.name} is left for transactions"
            return Failed(None, make_refusal(RefusalReason.DEADLINE_TOO_SHORT, detail))
        connection = lease(link, deadline)
        if isinstance(connection, Failed):
            return connection
        transaction = OpenTransaction(
            f"{self.instance}{SEPARATOR}{uuid.uuid4().hex}",
            executor=executor,
            link=link,
            connection=connection,
            primary=target,
            organisation=organisation,
            key_id=key,
            expires_at=time.monotonic() + self.limit_seconds,
        )
        self.open[transaction.name] = transaction
        request = TransactionRequest(
            request_id=call.request_id, term=target.term if target else None
        )
        floor = call.floor or LogPoint(0, 0)
        try:
            result: Any = exchange(link, connection, "/v1/begin", request, deadline)
            if isinstance(result, Exchanged):
                result = executor.reader.judge(upstream, result, floor, deadline)
        except BaseException:
            self.forget(transaction)
            transaction.abandon()
            raise
        if isinstance(result, Failed):
            self.forget(transaction)
            transaction.abandon()
            return not_run(result)
        return result._replace(transaction=transaction.name)

    def place(
        self, executor: Executor, call: TransactionCall, deadline: float
    ) -> tuple[Primary | None, str]:
        """Return the primary, for writes only, and the upstream; raise RefusedError."""
        if call.access is AccessMode.WRITE:
            target = executor.writer.await_target(deadline)
            if isinstance(target, Failed):
                raise RefusedError(target.refusal)
            return target, target.upstream
        floor = call.floor
        if floor is None:
            floor = executor.group.floor(time.monotonic(), 0.0, deadline)
        if floor is None:
            detail = f"no majority of {executor.group.group} answered in time"
            raise RefusedError(make_refusal(RefusalReason.NO_PRIMARY, detail))
        chosen = executor.reader.choose(floor, FloorSource.TOKEN, deadline, set())
        if isinstance(chosen, Failed):
            raise RefusedError(chosen.refusal)
        return None, chosen

    def act(
        self, call: TransactionCall, arrived_at: float, *, organisation: OrganisationId
    ) -> CallResult:
        """Run a statement, commit or roll back; raise RefusedError."""
        transaction = self.open.get(call.transaction)
        if transaction is None or transaction.organisation != organisation:
            detail = "the transaction ended, or was never begun here"
            raise RefusedError(make_refusal(RefusalReason.UNKNOWN_TRANSACTION, detail))
        deadline = arrived_at + call.timeout_seconds
        if not transaction.turn.acquire(timeout=call.timeout_seconds):
            detail = "another statement of the transaction still runs"
            raise RefusedError(make_refusal(RefusalReason.DEADLINE_TOO_SHORT, detail))
        try:
            if transaction.closed:
                raise RefusedError(lost_transaction("it ended while the call waited"))
            return self.run_action(transaction, call, deadline)
        finally:
            transaction.idle_until = time.monotonic() + IDLE_SECONDS
            transaction.turn.release()

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
            access="write" if transaction.target else "read",
            statement=call.statement,
            parameters=call.parameters,
            term=transaction.target.term if transaction.target else None,
        )
        result: Any = self.send(transaction, "/v1/statement", request, deadline)
        if isinstance(result, Exchanged):
            floor = call.floor or LogPoint(0, 0)
            executor = transaction.executor
            result = executor.reader.judge(
                transaction.link.name, result, floor, deadline
            )
        if isinstance(result, CallResult):
            return result
        if result.retry is None and transaction.connection.is_open:
            # Only the statement failed; the transaction is still open.
            raise RefusedError(result.refusal)
        self.forget(transaction)
        transaction.abandon()
        raise RefusedError(lost_transaction(result.refusal.detail))

    def commit(
        self, transaction: OpenTransaction, call: TransactionCall, deadline: float
    ) -> CallResult:
        """Commit and wait until a majority confirms; raise RefusedError."""
        self.forget(transaction)
        target = transaction.target
        request = TransactionRequest(
            request_id=call.request_id, term=target.term if target else None
        )
        executor = transaction.executor
        write = PendingWrite(target.term if target else 0, idempotent=False)
        write.connection = transaction.connection
        write_number = executor.group.writes.begin(write)
        try:
            result: Any = self.send(transaction, "/v1/commit", request, deadline)
            write.connection = None
            transaction.release()
            if isinstance(result, Exchanged) and target is not None:
                result = executor.writer.acknowledge(target, result, deadline)
            elif isinstance(result, Exchanged):
                floor = call.floor or LogPoint(0, 0)
                name = transaction.link.name
                result = executor.reader.judge(name, result, floor, deadline)
        finally:
            transaction.abandon()
            executor.group.writes.end(write_number)
        if isinstance(result, CallResult):
            return result
        if result.refusal.outcome is StatementOutcome.NOT_RUN:
            raise RefusedError(lost_transaction(result.refusal.detail))
        raise RefusedError(result.refusal)

    def roll_back(
        self, transaction: OpenTransaction, call: TransactionCall, deadline: float
    ) -> CallResult:
        """Roll back; if that fails, close the connection, which rolls back too."""
        self.forget(transaction)
        request = TransactionRequest(request_id=call.request_id)
        result = self.send(transaction, "/v1/rollback", request, deadline)
        if isinstance(result, Failed):
            transaction.abandon()
        transaction.release()
        name = transaction.link.name
        return CallResult([], [], 0, None, name, "primary", transaction.name)

    def send(
        self, transaction: OpenTransaction, path: str, message: Any, deadline: float
    ) -> Exchanged | Failed:
        """Exchange a request on the pinned connection; on an exception close it."""
        link, connection = transaction.link, transaction.connection
        try:
            return exchange(link, connection, path, message, deadline)
        except BaseException:
            transaction.abandon()
            raise


def lost_transaction(detail: str) -> Refusal:
    """Build the refusal of a transaction that was rolled back."""
    return make_refusal(RefusalReason.TRANSACTION_LOST, detail)


def not_run(result: Failed) -> Failed:
    """Return a failed begin as retryable and not run: a begin changes no data."""
    refusal = result.refusal._replace(outcome=StatementOutcome.NOT_RUN)
    return Failed(result.retry or RetryReason.CONNECTION_LOST, refusal)
