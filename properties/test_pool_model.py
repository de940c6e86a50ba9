"""Drive sessions and the pool's decisions against a model of database connections."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
)

from berylhinge.core.pooler import connection_pool
from berylhinge.core.pooler.sessions import new_session, plan, PlannedStatement, Session
from berylhinge.core.pooler.statements import (
    DataStatement,
    Deallocate,
    Execute,
    Prepare,
    PreparedStatement,
    SetValue,
)
from berylhinge.types import AccessMode

ORGANISATIONS = ("o1", "o2", "o3")
NAMES = ("a", "b")
SHAPES = tuple(
    PreparedStatement(access, form) for access in AccessMode for form in ("q1", "q2")
)
LIMIT = 3
SESSIONS = 5


class Upstream:
    """Hold what a database knows of a connection, and what the pool believes."""

    def __init__(self, number: int, organisation: str) -> None:
        """Start empty."""
        self.number = number
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.believed_values: dict[str, str] = {}
        self.believed_prepared: frozenset[str] = frozenset()
        self.since = 0.0

    def idle(self) -> connection_pool.IdleConnection:
        """Describe it as the pool sees it."""
        return connection_pool.IdleConnection(
            self.number,
            self.organisation,
            self.believed_values,
            self.believed_prepared,
            self.since,
        )

    def bring_to(
        self, values: dict[str, str], prepared: dict[str, PreparedStatement]
    ) -> None:
        """Carry out the steps that the pool asks for."""
        steps = connection_pool.plan_setup(
            self.believed_values,
            self.believed_prepared,
            wanted_values=values,
            wanted_prepared=prepared,
        )
        if steps.reset:
            self.values, self.prepared = {}, {}
            self.believed_values, self.believed_prepared = {}, frozenset()
        self.values = {**self.values, **dict(steps.values)}
        self.believed_values = dict(self.values)
        for name, shape in steps.prepared:
            assert name not in self.prepared, "a known name is prepared again"
            self.prepared[name] = shape
        self.believed_prepared |= {name for name, _ in steps.prepared}


class PoolModel(RuleBasedStateMachine):
    """Run units of several sessions over few connections."""

    @initialize(data=st.data())
    def open_sessions(self, data: st.DataObject) -> None:
        """Open sessions of several organisations."""
        self.now = 0.0
        self.numbers = 0
        self.idle: dict[int, Upstream] = {}
        self.lent: dict[int, Upstream] = {}
        self.sessions: list[Session] = [new_session() for _ in range(SESSIONS)]
        drawn = st.sampled_from(ORGANISATIONS)
        self.owners = [data.draw(drawn) for _ in self.sessions]
        self.values: list[dict[str, str]] = [{} for _ in self.sessions]
        self.shapes: list[dict[str, PreparedStatement]] = [{} for _ in self.sessions]

    indexes = st.integers(0, SESSIONS - 1)

    @rule(index=indexes, name=st.sampled_from(NAMES), value=st.sampled_from("12"))
    def set_value(self, index: int, name: str, value: str) -> None:
        """Set a session's value."""
        statement = SetValue("q", name, value)
        self.sessions[index], _ = plan(statement, self.sessions[index])
        self.values[index][name] = value

    @rule(index=indexes, name=st.sampled_from(NAMES), shape=st.sampled_from(SHAPES))
    def bind(self, index: int, name: str, shape: PreparedStatement) -> None:
        """Prepare a name, perhaps for another shape than before."""
        statement = Prepare("q", name, shape)
        self.sessions[index], _ = plan(statement, self.sessions[index])
        self.shapes[index][name] = shape

    @rule(index=indexes, name=st.sampled_from(NAMES))
    def unbind(self, index: int, name: str) -> None:
        """Give a name up."""
        self.sessions[index], _ = plan(Deallocate("q", name), self.sessions[index])
        self.shapes[index].pop(name, None)

    @rule(index=indexes, keeps=st.booleans(), breaks=st.booleans())
    def run(self, index: int, keeps: bool, breaks: bool) -> None:
        """Run a plain read; keep the connection, break it or give it back."""
        statement = DataStatement("q", AccessMode.READ, "READ item")
        self.sessions[index], planned = plan(statement, self.sessions[index])
        assert isinstance(planned, PlannedStatement)
        upstream = self.lease(index, planned)
        if upstream is not None:
            self.hand_on(upstream, keeps=keeps, breaks=breaks)

    @rule(index=indexes, name=st.sampled_from(NAMES), breaks=st.booleans())
    def execute(self, index: int, name: str, breaks: bool) -> None:
        """Run a prepared name; it must be what its own session prepared."""
        known = self.shapes[index].get(name)
        statement = Execute("q", name, "item")
        self.sessions[index], planned = plan(statement, self.sessions[index])
        assert isinstance(planned, PlannedStatement) is (known is not None)
        if not isinstance(planned, PlannedStatement):
            return
        upstream = self.lease(index, planned)
        if upstream is not None:
            assert upstream.prepared[planned.text.split(" ")[1]] == known
            self.hand_on(upstream, keeps=False, breaks=breaks)

    def lease(self, index: int, unit: PlannedStatement) -> Upstream | None:
        """Take a connection as the pool decides, and bring it to the session."""
        self.now += 1.0
        session, owner = self.sessions[index], self.owners[index]
        held = len(self.idle) + len(self.lent)
        choice = connection_pool.choose_connection(
            [entry.idle() for entry in self.idle.values()],
            owner,
            session.values,
            held=held,
            limit=LIMIT,
        )
        if isinstance(choice, connection_pool.WaitForIdle):
            assert not self.idle
            assert held >= LIMIT
            return None
        if isinstance(choice, connection_pool.OpenNew):
            if choice.evicted is not None:
                del self.idle[choice.evicted]
            self.numbers += 1
            upstream = Upstream(self.numbers, owner)
        else:
            upstream = self.idle.pop(choice.number)
        upstream.bring_to(session.values, unit.prepared)
        assert upstream.organisation == owner
        assert upstream.values == self.values[index]
        self.lent[upstream.number] = upstream
        return upstream

    def hand_on(self, upstream: Upstream, *, keeps: bool, breaks: bool) -> None:
        """Keep a connection lent, drop it, or give it back."""
        if not keeps:
            del self.lent[upstream.number]
            if not breaks:
                upstream.since = self.now
                self.idle[upstream.number] = upstream

    @precondition(lambda self: self.lent)
    @rule(breaks=st.booleans())
    def end_transaction(self, breaks: bool) -> None:
        """Give back the connection that was lent first."""
        upstream = next(iter(self.lent.values()))
        self.hand_on(upstream, keeps=False, breaks=breaks)

    @rule(holding=st.booleans(), passed=st.floats(0.0, 60.0))
    def expire(self, holding: bool, passed: float) -> None:
        """Close what was idle for too long."""
        self.now += passed
        entries = [entry.idle() for entry in self.idle.values()]
        for number in connection_pool.expired_connections(
            entries, is_holder=holding, now=self.now
        ):
            del self.idle[number]

    @invariant()
    def few_connections(self) -> None:
        """Never hold more than the limit."""
        if hasattr(self, "idle"):
            assert len(self.idle) + len(self.lent) <= LIMIT


TestPoolModel = PoolModel.TestCase
TestPoolModel.settings = settings(max_examples=150, deadline=None)
