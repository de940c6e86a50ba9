"""Send each unit to a database that can serve it, and try again where it may."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple, TYPE_CHECKING

from ...core.pooler.catalogue import Consistency, databases_of, primary_of, Route
from ...core.pooler.floors import floor_for, lag_of
from ...core.pooler.outcomes import after_loss, may_be_kept, not_run
from ...core.pooler.placement import read_order, ReadNeed
from ...core.pooler.statements import Effect, Result
from ...types import Access, Role
from ...wire.pooling import Abandon, RunUnit, UnitDone
from ..clock import now_seconds
from ..links import PeerLost
from .view import age_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...core.pooler.catalogue import Database
    from ...core.pooler.sessions import Session, Unit
    from ...types import InstanceId, LogPoint, OrganisationId, Seconds, UpstreamId
    from ..links import Links
    from ..logs import Log
    from ..metrics import Metrics
    from .holding import Holding
    from .view import View

# How long a replica that refused a read for its position is passed over.
AVOID_LAGGING_SECONDS = 0.15
# How long a database that was not reached is passed over for reads.
AVOID_UNREACHED_SECONDS = 0.5
# Longest pause before a unit looks for another place; a change wakes it sooner.
RETRY_MAX_PAUSE_SECONDS = 0.03
# An answer of a peer may take this much longer than the unit's own time.
PEER_ANSWER_MARGIN_SECONDS = 0.05
# Reasons after which a unit that did not run may be tried at another place.
RETRY_REASONS = frozenset(
    {
        "answer-lost",
        "connection-lost",
        "unreachable",
        "given-up",
        "not-holding",
        "late",
        "no-connection",
        "peer-lost",
        "answer-lagging",
        "answer-read-only",
        "answer-busy",
        "answer-misdirected",
        "answer-failed",
        "answer-timeout",
        "begin-lagging",
        "begin-read-only",
        "begin-busy",
        "begin-misdirected",
        "begin-aborted",
    }
)

# Reasons after which the next instance in line may reach the database.
NEXT_HOLDER_REASONS = frozenset({"given-up", "peer-lost", "not-holding"})


class Place(NamedTuple):
    """Tell where a unit is sent, which position it must see and how it begins."""

    holder: InstanceId
    database: Database
    after: LogPoint | None
    begin: str


class Binding(NamedTuple):
    """Name where an open transaction runs; its later statements need no beginning."""

    place: Place
    number: int


class Call(NamedTuple):
    """Hold what a unit needs besides its text."""

    route: Route
    organisation: OrganisationId
    session: Session
    unit: Unit
    number: int
    arrived_at: Seconds

    @property
    def give_up_at(self) -> Seconds:
        """Return when the route's timeout ends the unit."""
        return self.arrived_at + self.route.timeout_seconds


class Tried:
    """Remember where a unit did not run, until something may have changed."""

    def __init__(self) -> None:
        """Start with nothing tried."""
        self.places: set[tuple[InstanceId, UpstreamId]] = set()
        self.has_asked_for_proof = False
        self.skipped_holders: set[InstanceId] = set()

    def add(self, holder: InstanceId, database: UpstreamId, reason: str) -> None:
        """Note a place, and whether its holder leaves the database to others."""
        self.places.add((holder, database))
        if reason in NEXT_HOLDER_REASONS:
            self.skipped_holders.add(holder)

    def clear(self) -> None:
        """Try every place again."""
        self.places.clear()
        self.skipped_holders.clear()


class Routed(NamedTuple):
    """Hold a result, where the transaction runs from now on, and the last attempt."""

    result: Result
    reason: str
    binding: Binding | None
    attempts: int
    place: Place | None


class Router:
    """Run units for the callers of this instance."""

    def __init__(
        self,
        view: View,
        holding: Holding,
        links: Links,
        *,
        prove: Callable[[str], None],
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Keep what units are sent by."""
        self.view = view
        self.holding = holding
        self.links = links
        self.prove = prove
        self.metrics = metrics
        self.log = log

    def run(self, call: Call, binding: Binding | None) -> Routed:
        """Run a unit until it has a result that stands."""
        if binding is not None:
            message = self.message(call, binding.place, binding.number)
            done = self.send(binding.place.holder, message)
            kept = None if done.result.ended else binding
            return Routed(done.result, done.reason, kept, 1, binding.place)
        return self.run_unbound(call)

    def run_unbound(self, call: Call) -> Routed:
        """Run a statement on its own, or the first of a transaction."""
        attempts, asked = 0, None
        tried = Tried()
        last = UnitDone(not_run(call.unit, "no database is known"), "no-database")
        while True:
            place = self.choose(call, tried)
            if place is None:
                left = call.give_up_at - now_seconds()
                if left <= RETRY_MAX_PAUSE_SECONDS:
                    break
                self.view.changed.wait(min(left, RETRY_MAX_PAUSE_SECONDS))
                tried.clear()
                continue
            number = call.number if call.unit.transaction else 0
            attempts += 1
            sent_at = now_seconds()
            last = self.send(place.holder, self.message(call, place, number))
            self.learn(place.database, last, sent_at)
            result = last.result
            if result.effect is not Effect.NONE or last.reason not in RETRY_REASONS:
                binding = None
                if call.unit.transaction is not None and not result.ended:
                    binding = Binding(place._replace(after=None, begin=""), number)
                return Routed(result, last.reason, binding, attempts, place)
            self.record_retry(call, place, last)
            tried.add(place.holder, place.database.id, last.reason)
            asked = place
        return Routed(last.result, last.reason, None, attempts, asked)

    def record_retry(self, call: Call, place: Place, last: UnitDone) -> None:
        """Count and log an attempt that did not run."""
        self.metrics.count("retries_total", last.reason)
        sight = self.view.sights.get(place.database.id)
        self.log.info(
            "A statement did not run and is tried elsewhere.",
            request_id=call.unit.request,
            reason=last.reason,
            database=place.database.id,
            role=place.database.role.value,
            holder=place.holder,
            after=str(place.after or ""),
            sight_age=None if sight is None else age_of(sight.heard_at),
            detail=last.result.detail,
        )

    def choose(self, call: Call, tried: Tried) -> Place | None:
        """Return where to run a unit next, from which position, and how to begin."""
        reads = call.unit.access is Access.READ
        transaction = call.unit.transaction
        if transaction is not None:
            reads = transaction.read_only
        if not reads or call.route.consistency is Consistency.PRIMARY:
            return self.choose_primary(call, tried)
        return self.choose_read_destination(call, tried)

    def choose_primary(self, call: Call, tried: Tried) -> Place | None:
        """Return the primary's holder; a read proves by a transaction who leads."""
        database = primary_of(self.view.databases, call.route.service)
        if database is None or not self.view.may_take_work(database):
            return None
        lone_write = call.unit.transaction is None and call.unit.access is Access.WRITE
        begin = "" if lone_write else "plain"
        for holder in self.view.holders(database):
            if (holder, database.id) not in tried.places:
                return Place(holder, database, None, begin)
            if holder not in tried.skipped_holders:
                return None
        return None

    def choose_read_destination(self, call: Call, tried: Tried) -> Place | None:
        """Return the best database whose log is surely long enough, or the primary."""
        now = now_seconds()
        route = call.route
        self.view.want(route.service)
        floors = self.view.floors_of(route.service)
        floor = floor_for(floors, call.arrived_at, route.staleness_seconds)
        if floor is None and not tried.has_asked_for_proof:
            # A round trip to a peer is cheaper than a read at the primary.
            tried.has_asked_for_proof = True
            self.prove(route.service)
            floor = floor_for(floors, call.arrived_at, route.staleness_seconds)
        session = None
        if route.consistency is Consistency.SESSION:
            session = call.session.point
        need = ReadNeed(route.consistency, floor, session, route.staleness_seconds)
        order = read_order(
            [
                database
                for database in databases_of(self.view.databases, route.service)
                if not database.leaving
            ],
            self.view.sights,
            need,
            place=self.view.place,
            lag=lambda point: lag_of(floors, point, now),
            now=now,
        )
        points = [point for point in (floor, session) if point is not None]
        after = max(points) if floor is not None else None
        for database in order:
            holder = self.view.holders(database)[0]
            if (holder, database.id) in tried.places:
                continue
            if after is None or database.role is Role.PRIMARY:
                break
            begin = "read" if call.unit.transaction else ""
            return Place(holder, database, after, begin)
        return self.choose_primary(call, tried)

    def message(self, call: Call, place: Place, number: int) -> RunUnit:
        """Return the message that runs a unit."""
        now = now_seconds()
        goal_at = call.arrived_at + call.route.goal_seconds
        return RunUnit(
            database=place.database.id,
            organisation=call.organisation,
            request=call.unit.request,
            text=call.unit.text,
            access=call.unit.access,
            after=place.after,
            transaction=number,
            begin=place.begin,
            commits=call.unit.commits,
            values=call.session.values,
            prepared=call.unit.prepared,
            priority=call.route.priority,
            goal_seconds=goal_at - now,
            give_up_seconds=call.give_up_at - now,
            idle_seconds=self.view.declarations.idle_transaction_seconds,
        )

    def send(self, holder: InstanceId, message: RunUnit) -> UnitDone:
        """Run a unit at its holder, which may be this instance."""
        if holder == self.view.me:
            return self.holding.run(self.view.me, message)
        timeout = message.give_up_seconds + PEER_ANSWER_MARGIN_SECONDS
        # An answer that says whether a write was kept is worth waiting for.
        kept = may_be_kept(message)
        is_lost = None if kept else partial(self.view.is_suspect, holder)
        try:
            with self.links.expecting(holder):
                done: UnitDone = self.links.call(holder, message, timeout, is_lost)
        except PeerLost as error:
            self.view.suspect(holder)
            self.links.forget(holder)
            result = after_loss(message, str(error), sent=error.sent)
            return UnitDone(result, "peer-lost")
        return done

    def learn(self, database: Database, done: UnitDone, sent_at: Seconds) -> None:
        """Note what an answer showed of its database."""
        reason = done.reason
        if reason in ("answer-lagging", "begin-lagging"):
            self.view.avoid(database.id, seconds=AVOID_LAGGING_SECONDS, lagging=True)
        elif reason in ("unreachable", "answer-lost", "connection-lost"):
            self.view.avoid(database.id, seconds=AVOID_UNREACHED_SECONDS, lagging=False)
        self.view.see(
            database,
            done.point,
            wait_seconds=done.wait_seconds,
            proved=done.proved,
            asked_at=sent_at,
        )

    def abandon(self, binding: Binding) -> None:
        """Let the holder roll back a transaction."""
        message = Abandon(binding.place.database.id, binding.number)
        if binding.place.holder == self.view.me:
            self.holding.abandon(self.view.me, message)
        else:
            self.links.send(binding.place.holder, message)
