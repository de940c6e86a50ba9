"""Run the units of the whole fleet on one database that this instance holds."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ...core.pooler import queueing
from ...core.pooler.floors import newest
from ...core.pooler.outcomes import (
    after_error,
    after_loss,
    may_be_kept,
    not_run,
    NOT_RUN_CODES,
)
from ...core.pooler.statements import Code, Effect, refused, Result
from ...platform import lines
from ...types import Access, Role
from ...wire.pooling import Seen, UnitDone
from ..clock import now_seconds
from ..connection import ConnectionFailed
from .connections import Connections, UnitFailed
from .evidence import Evidence, told
from .view import age_of

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.queueing import Waiter
    from ...platform.lines import Exchange
    from ...types import InstanceId, Seconds
    from ...wire.pooling import Abandon, Proved, RunUnit
    from ..logs import Log
    from .database import DatabaseConnection
    from .view import View

# A status is asked for when nothing proved for this long that the primary leads.
PROOF_SECONDS = 0.6
STATUS_SECONDS = 0.3
# Pause between status questions to a database that does not answer.
PROBE_SECONDS = 0.1


class Pinned(NamedTuple):
    """Hold the connection of an open transaction."""

    connection: DatabaseConnection
    until: Seconds


class DatabaseTask:
    """Own the queue, the connections and the evidence of one database."""

    def __init__(self, database: Database, view: View, log: Log) -> None:
        """Start without connections."""
        self.database = database
        self.view = view
        self.log = log
        self.queue = queueing.SlotQueue(database.slots)
        self.turns: dict[int, AsyncResult] = {}
        self.pinned: dict[tuple[InstanceId, int], Pinned] = {}
        self.evidence = Evidence()
        self.connections = Connections(
            database, view, self.evidence, on_failure=self.look
        )
        self.probing = False

    def run(self, sender: InstanceId, unit: RunUnit, delay: Seconds) -> UnitDone:
        """Run one unit that was this long on its way, and tell what it came to."""
        arrived_at = now_seconds()
        try:
            result = self.run_in_slot(sender, unit, arrived_at, arrived_at - delay)
            reason = ""
        except UnitFailed as failure:
            result, reason = failure.result, failure.reason
        return self.done(result, reason, arrived_at)

    def done(self, result: Result, reason: str, arrived_at: Seconds) -> UnitDone:
        """Add what is known of the database and its service."""
        wait = queueing.expected_wait(self.queue)
        proved = self.proved(arrived_at)
        return UnitDone(result, reason, self.evidence.newest_point, wait, proved)

    def proved(self, arrived_at: Seconds) -> Proved | None:
        """Return the newest proof that the service's primary leads."""
        proof = self.evidence.proven
        if proof is None and self.database.role is not Role.PRIMARY:
            self.view.want(self.database.service)
            proof = newest(self.view.floors_of(self.database.service))
        return told(proof, arrived_at)

    def seen(self) -> Seen:
        """Return what is known of the database."""
        wait = queueing.expected_wait(self.queue)
        proved = told(self.evidence.proven, now_seconds())
        reached = not self.evidence.has_failed
        point = self.evidence.newest_point
        return Seen(self.database.id, point, wait, proved, reached, 0.0)

    def run_in_slot(
        self, sender: InstanceId, unit: RunUnit, arrived_at: Seconds, sent_at: Seconds
    ) -> Result:
        """Run one unit in its turn; raise UnitFailed."""
        give_up_at = arrived_at + unit.give_up_seconds
        key = (sender, unit.transaction)
        connection = None
        if unit.continues:
            connection = self.unpin(key)
        pinned, usable, kept = connection is not None, False, False
        try:
            self.wait_for_slot(unit, pinned, arrived_at, give_up_at)
            usable = True
            started_at, ran_seconds = now_seconds(), None
            try:
                connection = connection or self.connections.lease(unit, give_up_at)
                result = self.run_on_connection(connection, unit, sent_at, give_up_at)
                ran_seconds = now_seconds() - started_at
            finally:
                self.release_slot(ran_seconds)
            if unit.transaction and not result.ended:
                until = now_seconds() + unit.idle_seconds
                self.pinned[key] = Pinned(connection, until)
                kept = True
            return result
        finally:
            if connection is not None and not kept:
                self.connections.give_back(connection, clean=usable)

    def check_not_stalled(
        self, connection: DatabaseConnection, unit: RunUnit, sent_at: Seconds
    ) -> None:
        """Raise UnitFailed if the sender may have run the unit elsewhere meanwhile."""
        if may_be_kept(unit) or not self.view.has_slept_since(sent_at):
            return
        if unit.transaction or unit.begin:
            connection.close()
        raise UnitFailed(not_run(unit, "the instance stood still"), "late")

    def unpin(self, key: tuple[InstanceId, int]) -> DatabaseConnection:
        """Return the connection of an open transaction; raise UnitFailed."""
        pinned = self.pinned.pop(key, None)
        if pinned is None or pinned.connection.sock is None:
            if pinned is not None:
                self.connections.drop(pinned.connection)
            result = refused(Code.ABORTED, "the transaction is not open here")
            raise UnitFailed(result, "transaction-lost")
        return pinned.connection

    def wait_for_slot(
        self, unit: RunUnit, pinned: bool, arrived_at: Seconds, give_up_at: Seconds
    ) -> None:
        """Wait for a slot; raise UnitFailed when none comes in time."""
        if self.evidence.is_failing:
            raise self.connections.unreachable(unit)
        waiter = queueing.enter(
            self.queue,
            pinned=pinned,
            priority=unit.priority,
            goal_at=arrived_at + unit.goal_seconds,
            give_up_at=give_up_at,
            now=arrived_at,
        )
        if waiter is None:
            wait = queueing.expected_wait(self.queue)
            detail = f"{wait:.3f} s of work is ahead"
            result = not_run(unit, detail, retry_after_seconds=wait)
            raise UnitFailed(result, "queue-full")
        turn = self.turns[waiter.number] = AsyncResult()
        self.assign_free_slots()
        started = None
        try:
            started = turn.wait(max(0.0, give_up_at - now_seconds()))
        finally:
            if not started:
                self.remove_waiter(waiter, turn)
        if started is False:
            raise self.connections.unreachable(unit)
        if started is None:
            raise UnitFailed(not_run(unit, "no slot came free in time"), "no-slot")

    def remove_waiter(self, waiter: Waiter, turn: AsyncResult) -> None:
        """Take a waiter out, or free the slot that it was just given."""
        if self.turns.pop(waiter.number, None) is not None:
            queueing.leave(self.queue, waiter)
        elif turn.ready() and turn.value:
            self.release_slot(None)

    def assign_free_slots(self) -> None:
        """Give free slots to those who wait."""
        while (waiter := queueing.start_next(self.queue, now_seconds())) is not None:
            turn = self.turns.pop(waiter.number, None)
            if turn is None:
                queueing.finish(self.queue, None)
            else:
                turn.set(True)

    def release_slot(self, seconds: Seconds | None) -> None:
        """Free a slot."""
        queueing.finish(self.queue, seconds)
        self.assign_free_slots()

    def reject_waiters(self) -> None:
        """Let those that wait for a slot look for another place."""
        turns, self.turns = self.turns, {}
        queueing.clear(self.queue)
        for turn in turns.values():
            turn.set(False)

    def run_on_connection(
        self,
        connection: DatabaseConnection,
        unit: RunUnit,
        unit_sent_at: Seconds,
        give_up_at: Seconds,
    ) -> Result:
        """Run a unit on its connection; raise UnitFailed."""
        asked_at = now_seconds()
        alone = not unit.transaction
        try:
            connection.bring_to(unit, give_up_at - now_seconds())
            if unit.begin:
                self.begin(connection, unit, give_up_at)
            self.check_not_stalled(connection, unit, unit_sent_at)
            timeout = give_up_at - now_seconds()
            if alone and unit.access is Access.READ:
                timeout = min(timeout, queueing.answer_seconds(self.queue))
            sent_at = now_seconds()
            after = unit.after if alone and not unit.begin else None
            self.evidence.asked[connection.number] = sent_at
            answer = connection.exchange(unit.request, unit.text, timeout, after=after)
            self.evidence.note_answer()
            result = self.interpret_answer(connection, unit, answer, sent_at)
        except ConnectionFailed as error:
            self.evidence.note_failure(asked_at, refused=False)
            self.look()
            raise self.lost(unit, error) from error
        finally:
            self.evidence.asked.pop(connection.number, None)
        if alone and unit.begin:
            self.roll_back_connection(connection)
        return result

    def begin(
        self, connection: DatabaseConnection, unit: RunUnit, give_up_at: Seconds
    ) -> None:
        """Begin a transaction; raise UnitFailed when the database does not."""
        read_only = unit.begin == "read"
        text = lines.begin_text(read_only=read_only)
        sent_at = now_seconds()
        after = unit.after if read_only else None
        answer = connection.exchange("", text, give_up_at - sent_at, after=after)
        if answer.code is not None:
            code = answer.code if answer.code in NOT_RUN_CODES else Code.ABORTED
            result = refused(code, f"{self.database.id}: {answer.detail}")
            raise UnitFailed(result, f"begin-{answer.code.value}")
        if not read_only:
            self.evidence.prove(sent_at, answer.point)

    def interpret_answer(
        self,
        connection: DatabaseConnection,
        unit: RunUnit,
        answer: Exchange,
        sent_at: Seconds,
    ) -> Result:
        """Return the result that an answer stands for; raise UnitFailed."""
        self.evidence.point = answer.point or self.evidence.point
        if answer.code is None:
            wrote = unit.access is Access.WRITE and not unit.transaction
            if wrote or unit.begin == "plain":
                self.evidence.prove(sent_at, answer.point)
            return Result(
                Effect.DONE,
                rows=answer.rows,
                signature=answer.signature,
                point=answer.point,
                ended=not unit.transaction or unit.commits,
            )
        if unit.transaction or unit.begin:
            connection.close()
        detail = f"{self.database.id}: {answer.detail}"
        result = after_error(unit, answer.code, detail)
        raise UnitFailed(result, f"answer-{answer.code.value}")

    def lost(self, unit: RunUnit, error: ConnectionFailed) -> UnitFailed:
        """Return what is true after a connection failed under a unit."""
        result = after_loss(unit, f"{self.database.id}: {error}", sent=error.sent)
        reason = "answer-lost" if error.sent else "connection-lost"
        return UnitFailed(result, reason)

    def abandon(self, sender: InstanceId, message: Abandon) -> None:
        """Roll back a transaction and keep its connection."""
        pinned = self.pinned.pop((sender, message.transaction), None)
        if pinned is not None:
            gevent.spawn(self.roll_back_and_return, pinned.connection)

    def roll_back_and_return(self, connection: DatabaseConnection) -> None:
        """Roll back and give the connection back."""
        self.roll_back_connection(connection)
        self.connections.give_back(connection, clean=True)

    def roll_back_connection(self, connection: DatabaseConnection) -> None:
        """Roll back what is open on a connection; close it when that fails."""
        try:
            connection.run_own(lines.ROLLBACK_TEXT, STATUS_SECONDS)
        except ConnectionFailed as error:
            self.log.info(
                "A rollback had no answer; closed.",
                database=self.database.id,
                error=str(error),
            )

    def look(self) -> None:
        """Ask for the status until it is answered or the database has gone."""
        if not self.probing:
            self.probing = True
            gevent.spawn(self.probe)

    def probe(self) -> None:
        """Ask for the status, and again while the database has failed."""
        silent = False
        try:
            self.request_status()
            while self.evidence.has_failed and self.database.id in self.view.databases:
                if not silent and self.evidence.is_failing:
                    silent = True
                    self.log_unresponsive()
                gevent.sleep(PROBE_SECONDS)
                self.request_status()
            if silent and not self.evidence.has_failed:
                self.log.info("A database answers again.", database=self.database.id)
        finally:
            self.probing = False

    def log_unresponsive(self) -> None:
        """Log that the database is lost to this instance."""
        health = self.evidence.health
        self.log.info(
            "A database does not answer.",
            database=self.database.id,
            silent_seconds=age_of(health.failed_since),
            refused=health.refused,
        )

    def request_status(self) -> None:
        """Ask for the status on any connection, and learn from the answer."""
        asked_at = now_seconds()
        try:
            connection = self.connections.any_connection(STATUS_SECONDS)
        except UnitFailed:
            # The failure is noted as evidence where the connection was opened.
            return
        if connection is None:
            return
        try:
            answer = connection.run_own(lines.STATUS_TEXT, STATUS_SECONDS)
        except ConnectionFailed:
            self.evidence.note_failure(asked_at, refused=False)
        else:
            self.evidence.take_status(answer, asked_at)
        self.connections.give_back(connection, clean=True)

    def tend(self, *, holding: bool) -> None:
        """End what is overdue, and prove that a primary leads."""
        now = now_seconds()
        silent_since = self.evidence.silent_since()
        if silent_since is not None:
            self.evidence.note_failure(silent_since, refused=False)
            self.look()
        if self.evidence.is_failing and self.turns:
            self.reject_waiters()
        for key, pinned in list(self.pinned.items()):
            if pinned.until <= now:
                del self.pinned[key]
                gevent.spawn(self.roll_back_and_return, pinned.connection)
        self.connections.expire(holding=holding)
        if holding and self.database.role is Role.PRIMARY:
            proven = self.evidence.proven
            if proven is None or now - proven.asked_at >= PROOF_SECONDS:
                self.look()

    def close(self) -> None:
        """Close every connection."""
        self.connections.close_idle()
        for pinned in self.pinned.values():
            self.connections.drop(pinned.connection)
        self.pinned.clear()
