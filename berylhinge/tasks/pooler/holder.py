"""Run the units of the whole fleet on one database that this instance holds."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from ...core.pooler import pool, queueing
from ...core.pooler.failover import answered, failed, Health, UNKNOWN_HEALTH
from ...core.pooler.statements import Code, Effect, refused, Result
from ...platform import lines
from ...types import Access, Role
from ...wire.pooling import Seen, UnitDone
from ..connection import ConnectionFailed
from .database import CONNECT_SECONDS, ConnectRefused, DatabaseConnection
from .view import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...core.pooler.queueing import Waiter
    from ...platform.lines import Exchange
    from ...types import InstanceId, LogPoint, OrganisationId, Seconds
    from ...wire.pooling import Abandon, RunUnit
    from ..logs import Log
    from .view import View

# A read that takes this many mean running times has probably lost its answer.
LOST_ANSWER_TIMES = 12.0
LOST_ANSWER_MIN_SECONDS = 0.25
# A database that answers nothing for this long while asked is looked at.
SILENCE_SECONDS = 0.2
# A database that refused one more connection is not asked again this soon.
CROWDED_SECONDS = 0.25
# Those that wait for a connection look again this often even if none came back.
LOOK_AGAIN_SECONDS = 0.05
# A status is asked for when nothing proved for this long that the primary leads.
PROOF_SECONDS = 0.6
STATUS_SECONDS = 0.3
# Codes by which a database says that a statement did not run.
NOT_RUN_CODES = (
    Code.BUSY,
    Code.LAGGING,
    Code.READ_ONLY,
    Code.UNKNOWN_STATEMENT,
    Code.MISDIRECTED,
    Code.TOO_MANY_CONNECTIONS,
)


class UnitFailed(Exception):
    """End a unit with a result and the reason for logs and counters."""

    def __init__(self, result: Result, reason: str) -> None:
        """Keep both."""
        super().__init__(reason)
        self.result = result
        self.reason = reason


class Pinned(NamedTuple):
    """Hold the connection of an open transaction."""

    connection: DatabaseConnection
    until: Seconds


class Proven(NamedTuple):
    """Hold when the last question was sent whose answer proved leadership."""

    asked_at: Seconds
    point: LogPoint


class DatabaseTask:
    """Own the connections, the queue and the evidence of one database."""

    def __init__(self, database: Database, view: View, log: Log) -> None:
        """Start without connections."""
        self.database = database
        self.view = view
        self.log = log
        self.queue = queueing.SlotQueue(database.slots)
        self.turns: dict[int, AsyncResult] = {}
        self.idle: dict[int, DatabaseConnection] = {}
        self.pinned: dict[tuple[InstanceId, int], Pinned] = {}
        self.held = 0
        self.numbers = 0
        self.crowded_until = 0.0
        self.returned: list[AsyncResult] = []
        self.point: LogPoint | None = None
        self.proven: Proven | None = None
        self.health: Health = UNKNOWN_HEALTH
        self.probing = False
        self.asked: dict[int, Seconds] = {}

    @property
    def limit(self) -> int:
        """Return how many connections this instance may hold."""
        declarations = self.view.declarations
        service = declarations.services.get(self.database.service)
        most = service.max_connections if service else 1
        return pool.held_limit(most, len(declarations.quotas))

    def run(self, sender: InstanceId, unit: RunUnit) -> UnitDone:
        """Run one unit and tell what it came to."""
        arrived_at = now_seconds()
        try:
            result, reason = self.run_unit(sender, unit, arrived_at), ""
        except UnitFailed as failure:
            result, reason = failure.result, failure.reason
        return self.done(result, reason, arrived_at)

    def done(self, result: Result, reason: str, arrived_at: Seconds) -> UnitDone:
        """Add what is known of the database."""
        proven = self.proven
        age = None if proven is None else arrived_at - proven.asked_at
        point = proven.point if proven else self.point
        wait = queueing.expected_wait(self.queue)
        return UnitDone(result, reason, point, age, wait)

    def seen(self) -> Seen:
        """Return what is known of the database."""
        done = self.done(Result(Effect.NONE), "", now_seconds())
        return Seen(
            self.database.id,
            done.point,
            done.proof_age,
            done.wait_seconds,
            self.health.failed_since > now_seconds(),
        )

    def run_unit(
        self, sender: InstanceId, unit: RunUnit, arrived_at: Seconds
    ) -> Result:
        """Run one unit in its turn; raise UnitFailed."""
        give_up_at = arrived_at + unit.give_up_seconds
        key = (sender, unit.transaction)
        pinned = None
        if unit.transaction and not unit.begin:
            pinned = self.pinned.pop(key, None)
            if pinned is None or pinned.connection.sock is None:
                result = refused(Code.ABORTED, "the transaction is not open here")
                raise UnitFailed(result, "transaction-lost")
        connection = pinned.connection if pinned else None
        started_at = None
        kept = False
        try:
            self.take_turn(unit, pinned is not None, arrived_at, give_up_at)
            started_at = now_seconds()
            ran_seconds = None
            try:
                connection = connection or self.lease(unit, give_up_at)
                result = self.run_on(connection, unit, give_up_at)
                ran_seconds = now_seconds() - started_at
            finally:
                self.end_turn(ran_seconds)
            if unit.transaction and not result.ended:
                until = now_seconds() + unit.idle_seconds
                self.pinned[key] = Pinned(connection, until)
                kept = True
            return result
        finally:
            if connection is not None and not kept:
                self.give_back(connection, clean=started_at is not None)

    def take_turn(
        self, unit: RunUnit, pinned: bool, arrived_at: Seconds, give_up_at: Seconds
    ) -> None:
        """Wait for a slot; raise UnitFailed when none comes in time."""
        if self.is_failing:
            raise self.unreachable(unit)
        waiter = queueing.enter(
            self.queue,
            pinned=pinned,
            priority=unit.priority,
            goal_at=arrived_at + unit.goal_seconds,
            give_up_at=give_up_at,
            now=arrived_at,
        )
        code = Code.ABORTED if unit.transaction else Code.BUSY
        if waiter is None:
            wait = queueing.expected_wait(self.queue)
            detail = f"{wait:.3f} s of work is ahead"
            result = refused(code, detail, retry_after_seconds=wait)
            raise UnitFailed(result, "queue-full")
        turn = self.turns[waiter.number] = AsyncResult()
        self.start_waiting()
        started = None
        try:
            started = turn.wait(max(0.0, give_up_at - now_seconds()))
        finally:
            if not started:
                self.drop_waiter(waiter)
        if started is False:
            raise self.unreachable(unit)
        if started is None:
            result = refused(code, "no slot came free in time")
            raise UnitFailed(result, "no-slot")

    @property
    def is_failing(self) -> bool:
        """Tell whether the database has been silent or away for a while."""
        return now_seconds() - self.health.failed_since >= SILENCE_SECONDS

    def unreachable(self, unit: RunUnit) -> UnitFailed:
        """Return the refusal of a unit while the database does not answer."""
        silent = now_seconds() - self.health.failed_since
        detail = f"{self.database.id} has not answered for {silent:.2f} s"
        return UnitFailed(self.not_run(unit, detail), "unreachable")

    def turn_away(self) -> None:
        """Let those that wait for a slot look for another place."""
        turns, self.turns = self.turns, {}
        for turn in turns.values():
            turn.set(False)
        queueing.clear(self.queue)

    def drop_waiter(self, waiter: Waiter) -> None:
        """Take a waiter out, or free the slot that it was just given."""
        if self.turns.pop(waiter.number, None) is not None:
            queueing.leave(self.queue, waiter)

    def start_waiting(self) -> None:
        """Give free slots to those who wait."""
        while (waiter := queueing.start_next(self.queue, now_seconds())) is not None:
            turn = self.turns.pop(waiter.number, None)
            if turn is None:
                queueing.finish(self.queue, None)
            else:
                turn.set(True)

    def end_turn(self, seconds: Seconds | None) -> None:
        """Free a slot."""
        queueing.finish(self.queue, seconds)
        self.start_waiting()

    def lease(self, unit: RunUnit, give_up_at: Seconds) -> DatabaseConnection:
        """Return a connection of the organisation; raise UnitFailed."""
        while (left := give_up_at - now_seconds()) > 0.0:
            if self.is_failing:
                raise self.unreachable(unit)
            crowded = now_seconds() < self.crowded_until
            choice = pool.choose(
                [entry.idle() for entry in self.idle.values()],
                unit.organisation,
                unit.values,
                held=self.held,
                limit=min(self.held, self.limit) if crowded else self.limit,
            )
            if isinstance(choice, pool.Take):
                connection = self.idle.pop(choice.number)
                if connection.is_quiet():
                    return connection
                self.drop(connection)
                continue
            if isinstance(choice, pool.Open):
                if choice.evicted is not None:
                    self.drop(self.idle.pop(choice.evicted))
                opened = self.connect(unit.organisation, min(left, CONNECT_SECONDS))
                if opened is not None:
                    return opened
                continue
            waiting = AsyncResult()
            self.returned.append(waiting)
            waiting.wait(min(left, LOOK_AGAIN_SECONDS))
        raise UnitFailed(self.not_run(unit, "no connection came free"), "no-connection")

    def not_run(self, unit: RunUnit, detail: str) -> Result:
        """Return a promise that nothing of the unit is kept."""
        return refused(Code.ABORTED if unit.transaction else Code.BUSY, detail)

    def connect(
        self, organisation: OrganisationId, timeout_seconds: Seconds
    ) -> DatabaseConnection | None:
        """Open a connection; return None when the database has too many."""
        self.numbers += 1
        connection = DatabaseConnection(self.numbers, organisation)
        self.held += 1
        asked_at = now_seconds()
        try:
            self.point = connection.open(self.database, timeout_seconds) or self.point
        except ConnectRefused as error:
            self.held -= 1
            if error.code is Code.TOO_MANY_CONNECTIONS:
                self.crowded_until = now_seconds() + CROWDED_SECONDS
                return None
            self.note_failure(asked_at, refused=error.refused)
            result = refused(Code.BUSY, f"{self.database.id}: {error}")
            raise UnitFailed(result, "unreachable") from error
        except BaseException:
            self.held -= 1
            connection.close()
            raise
        self.note_answer()
        return connection

    def run_on(
        self, connection: DatabaseConnection, unit: RunUnit, give_up_at: Seconds
    ) -> Result:
        """Run a unit on its connection; raise UnitFailed."""
        asked_at = now_seconds()
        try:
            connection.bring_to(unit, give_up_at - now_seconds())
            alone = not unit.transaction
            if unit.begin:
                self.begin(connection, unit, give_up_at)
            timeout = give_up_at - now_seconds()
            if alone and unit.access is Access.READ:
                timeout = min(timeout, self.answer_seconds)
            sent_at = now_seconds()
            after = unit.after if alone and not unit.begin else None
            self.asked[connection.number] = sent_at
            answer = connection.exchange(unit.request, unit.text, timeout, after=after)
            self.note_answer()
            result = self.take_answer(connection, unit, answer, sent_at)
        except ConnectionFailed as error:
            self.note_failure(asked_at, refused=False)
            raise self.lost(unit, error) from error
        finally:
            self.asked.pop(connection.number, None)
        if alone and unit.begin:
            self.end_by_rollback(connection)
        return result

    def end_by_rollback(self, connection: DatabaseConnection) -> None:
        """Roll back what is open on a connection; close it when that fails."""
        try:
            connection.run_own(lines.ROLLBACK_TEXT, STATUS_SECONDS)
        except ConnectionFailed as error:
            self.log.info(
                "A rollback had no answer; closed.",
                database=self.database.id,
                error=str(error),
            )

    @property
    def answer_seconds(self) -> Seconds:
        """Return after which silence the answer to a read is taken as lost."""
        usual = self.queue.mean_seconds * LOST_ANSWER_TIMES
        return max(LOST_ANSWER_MIN_SECONDS, usual)

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
        if not read_only and answer.point is not None:
            self.proven = Proven(sent_at, answer.point)

    def take_answer(
        self,
        connection: DatabaseConnection,
        unit: RunUnit,
        answer: Exchange,
        sent_at: Seconds,
    ) -> Result:
        """Return the result that an answer stands for; raise UnitFailed."""
        if answer.point is not None:
            self.point = answer.point
        if answer.code is None:
            wrote = unit.access is Access.WRITE and not unit.transaction
            if answer.point is not None and (wrote or unit.begin == "plain"):
                self.proven = Proven(sent_at, answer.point)
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
        raise UnitFailed(
            self.error_result(unit, answer.code, detail), f"answer-{answer.code.value}"
        )

    def error_result(self, unit: RunUnit, code: Code, detail: str) -> Result:
        """Return the truthful result of an error answer."""
        if code in NOT_RUN_CODES:
            if unit.transaction and code is not Code.READ_ONLY:
                return refused(Code.ABORTED, detail)
            return refused(code, detail)
        if unit.commits:
            return Result(Effect.UNKNOWN, Code.IN_DOUBT, detail, ended=True)
        if unit.transaction:
            return refused(Code.ABORTED, detail)
        if unit.access is Access.READ:
            return refused(Code.BUSY, detail)
        return Result(Effect.UNKNOWN, code, detail, ended=True)

    def lost(self, unit: RunUnit, error: ConnectionFailed) -> UnitFailed:
        """Return what is true after a connection failed under a unit."""
        detail = f"{self.database.id}: {error}"
        writes_alone = unit.access is Access.WRITE and not unit.transaction
        if error.sent and (unit.commits or writes_alone):
            result = Result(Effect.UNKNOWN, Code.IN_DOUBT, detail, ended=True)
            return UnitFailed(result, "answer-lost")
        reason = "answer-lost" if error.sent else "connection-lost"
        return UnitFailed(self.not_run(unit, detail), reason)

    def abandon(self, sender: InstanceId, message: Abandon) -> None:
        """Roll back a transaction and keep its connection."""
        pinned = self.pinned.pop((sender, message.transaction), None)
        if pinned is not None:
            gevent.spawn(self.roll_back, pinned.connection)

    def roll_back(self, connection: DatabaseConnection) -> None:
        """Roll back and give the connection back."""
        self.end_by_rollback(connection)
        self.give_back(connection, clean=True)

    def give_back(self, connection: DatabaseConnection, *, clean: bool) -> None:
        """Keep a usable connection and wake who waits for one."""
        if connection.sock is None or not clean:
            self.drop(connection)
        else:
            connection.since = now_seconds()
            self.idle[connection.number] = connection
        self.wake_one()

    def drop(self, connection: DatabaseConnection) -> None:
        """Close a connection for good."""
        connection.close()
        self.held -= 1

    def wake_one(self) -> None:
        """Let those who wait for a connection look again."""
        waiting, self.returned = self.returned, []
        for entry in waiting:
            entry.set(True)

    def note_answer(self) -> None:
        """Note that the database answered."""
        self.health = answered(self.health, now_seconds())

    def note_failure(self, asked_at: Seconds, *, refused: bool) -> None:
        """Note that a question had no answer, and look at the database soon."""
        self.health = failed(self.health, asked_at, refused=refused)
        if not self.probing:
            self.probing = True
            gevent.spawn(self.probe)

    def probe(self) -> None:
        """Ask for the status until it is answered or the database has gone."""
        try:
            while self.health.failed_since <= now_seconds():
                if self.database.id not in self.view.databases:
                    return
                self.ask_status()
                gevent.sleep(0.1)
        finally:
            self.probing = False

    def tend(self, *, holding: bool) -> None:
        """End what is overdue, and prove that a primary leads."""
        now = now_seconds()
        oldest = min(self.asked.values(), default=now)
        if now - oldest >= SILENCE_SECONDS and self.health.answered_at < oldest:
            self.note_failure(oldest, refused=False)
        if self.is_failing and self.turns:
            self.turn_away()
        for key, pinned in list(self.pinned.items()):
            if pinned.until <= now:
                del self.pinned[key]
                gevent.spawn(self.roll_back, pinned.connection)
        known = [entry.idle() for entry in self.idle.values()]
        for number in pool.expired(known, holding=holding, now=now):
            self.drop(self.idle.pop(number))
        if holding:
            proven_at = self.proven.asked_at if self.proven else float("-inf")
            leads = self.database.role is Role.PRIMARY
            if leads and now - proven_at >= PROOF_SECONDS and not self.probing:
                self.probing = True
                gevent.spawn(self.probe_once)

    def probe_once(self) -> None:
        """Ask for the status once."""
        try:
            self.ask_status()
        finally:
            self.probing = False

    def ask_status(self) -> None:
        """Ask for the status on any connection, and learn from the answer."""
        asked_at = now_seconds()
        try:
            connection = self.any_connection()
        except UnitFailed:
            return
        if connection is None:
            return
        try:
            answer = connection.run_own(lines.STATUS_TEXT, STATUS_SECONDS)
        except ConnectionFailed:
            self.note_failure(asked_at, refused=False)
        else:
            self.take_status(answer, asked_at)
        self.give_back(connection, clean=True)

    def any_connection(self) -> DatabaseConnection | None:
        """Return an idle connection, or open one; None when there may be no more."""
        while self.idle:
            _, connection = self.idle.popitem()
            if connection.is_quiet():
                return connection
            self.drop(connection)
        organisations = self.view.declarations.quotas
        if not organisations or self.held >= self.limit:
            return None
        return self.connect(next(iter(organisations)), STATUS_SECONDS)

    def take_status(self, answer: Exchange, asked_at: Seconds) -> None:
        """Note role and position."""
        self.note_answer()
        status = lines.parse_status(answer.rows[0]) if answer.rows else None
        if answer.point is not None:
            self.point = answer.point
        if status is None:
            return
        if status.role is Role.PRIMARY and status.point is not None:
            self.proven = Proven(asked_at, status.point)
        elif status.role is Role.REPLICA:
            self.proven = None

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.idle.values()):
            self.drop(connection)
        self.idle.clear()
        for pinned in self.pinned.values():
            self.drop(pinned.connection)
        self.pinned.clear()
