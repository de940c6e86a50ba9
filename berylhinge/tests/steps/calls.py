from __future__ import annotations

import itertools
import secrets
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
import pytest
from gevent.event import Event
from geventhttpclient import HTTPClient
from pytest_bdd import given, parsers, when

from ...core.api_keys import grant_key
from ...core.configuration import GrantKey
from .system import FAILOVER_SECONDS, ROUTE

if TYPE_CHECKING:
    from .system import System

NETWORK_SECONDS = 60.0
FLOOD_CALLERS = 4
FLOOD_TIMEOUT_SECONDS = 0.1
STATEMENT_SECONDS = FAILOVER_SECONDS
table_numbers = itertools.count(1)
request_numbers = itertools.count(1)


class Result(NamedTuple):
    request_id: str
    status: int
    body: dict[str, Any]
    session: str | None
    kind: str = "read"
    idempotent: bool = False

    @property
    def reason(self) -> str | None:
        return self.body.get("reason")

    @property
    def outcome(self) -> str:
        return self.body.get("outcome", "done")

    @property
    def cats(self) -> list[str]:
        return [row[0] for row in self.body["rows"]]


class Caller:
    def __init__(self, world: World, name: str, key: str | None) -> None:
        self.world = world
        self.name = name
        self.key = key
        self.key_id = ""
        self.session: str | None = None
        self.transaction = ""
        self.transaction_instance = 0
        self.clients: dict[int, HTTPClient] = {}

    def client(self, instance: int) -> HTTPClient:
        if instance not in self.clients:
            record = self.world.system.proxies[instance].live_list.own_record
            self.clients[instance] = HTTPClient.from_url(
                f"http://{record['callers']}",
                network_timeout=NETWORK_SECONDS,
                concurrency=1,
            )
        return self.clients[instance]

    def post(
        self, instance: int, path: str, body: dict[str, Any], **options: Any
    ) -> Result:
        request_id = f"{self.name}-{next(request_numbers)}"
        headers = {"Berylhinge-Request-Id": request_id}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if self.session and options.pop("with_session", True):
            headers["Berylhinge-Session"] = self.session
        route = options.pop("route", ROUTE)
        response = self.client(instance).post(
            f"/v1/routes/{route}/{path}", msgspec.json.encode(body), headers
        )
        answer = msgspec.json.decode(response.read())
        session = response.get("Berylhinge-Session")
        options.pop("with_session", None)
        result = Result(request_id, response.status_code, answer, session, **options)
        return self.world.take(self, result)

    def write(self, instance: int, cat: str, **options: Any) -> Result:
        idempotent = options.get("idempotent", False)
        body = {
            "statement": f"INSERT INTO {self.world.table} (cat) VALUES (?)",
            "parameters": [cat],
            "access": "write",
            "idempotent": idempotent,
            "timeout_seconds": options.pop("timeout_seconds", STATEMENT_SECONDS),
        }
        return self.post(instance, "statements", body, kind="write", **options)

    def read(self, instance: int, **options: Any) -> Result:
        body = {
            "statement": f"SELECT cat FROM {self.world.table} ORDER BY id",
            "access": "read",
            "timeout_seconds": options.pop("timeout_seconds", STATEMENT_SECONDS),
        }
        if "max_age_seconds" in options:
            body["max_age_seconds"] = options.pop("max_age_seconds")
        return self.post(instance, "statements", body, **options)

    def read_one(self, instance: int, cat: str) -> Result:
        body = {
            "statement": f"SELECT cat FROM {self.world.table} WHERE cat = ? LIMIT 1",
            "parameters": [cat],
            "access": "read",
            "timeout_seconds": STATEMENT_SECONDS,
        }
        return self.post(instance, "statements", body)

    def begin(self, instance: int, access: str = "write") -> Result:
        result = self.post(instance, "transactions", {"access": access}, kind="begin")
        self.transaction = result.body.get("transaction", "")
        self.transaction_instance = instance
        return result

    def write_inside(self, cat: str, instance: int = 0) -> Result:
        body = {
            "statement": f"INSERT INTO {self.world.table} (cat) VALUES (?)",
            "parameters": [cat],
        }
        path = f"transactions/{self.transaction}/statements"
        return self.post(
            instance or self.transaction_instance, path, body, kind="inner"
        )

    def end(self, how: str, instance: int = 0) -> Result:
        path = f"transactions/{self.transaction}/{how}"
        kind = "write" if how == "commit" else "rollback"
        return self.post(instance or self.transaction_instance, path, {}, kind=kind)

    def close(self) -> None:
        for client in self.clients.values():
            client.close()


class World:
    def __init__(self) -> None:
        self.system: System = None
        self.table = ""
        self.callers: dict[str, Caller] = {}
        self.results: list[Result] = []
        self.last: Result = None
        self.pending: list[gevent.Greenlet] = []
        self.led_before: Any = None
        self.flood: list[Result] = []
        self.flood_seconds = 0.0
        self.stopping: gevent.Greenlet | None = None
        self.watcher: gevent.Greenlet | None = None
        self.versions: dict[int, list[int]] = {}
        self.echoes: list[Any] = []
        self.gone: set[int] = set()
        self.loading = False
        self.paused_term: int | None = None
        self.paused: Any = None
        self.wake = Event()

    def caller(self, name: str, organisation: str = "kattevakt") -> Caller:
        if name not in self.callers:
            key = self.system.keys[organisation]
            self.callers[name] = Caller(self, name, key)
        return self.callers[name]

    def take(self, caller: Caller, result: Result) -> Result:
        self.results.append(result)
        self.last = result
        if result.session:
            caller.session = result.session
        return result

    def start(self, run: Any, *arguments: Any, **options: Any) -> None:
        self.pending.append(gevent.spawn(run, *arguments, **options))

    def wait_pending(self, seconds: float) -> list[Result]:
        gevent.joinall(self.pending, timeout=seconds)
        assert all(one.ready() for one in self.pending), f"not within {seconds} s"
        found = [one.get() for one in self.pending]
        self.pending = []
        return found

    def close(self) -> None:
        gevent.killall([*self.pending, *filter(None, [self.watcher])])
        for caller in self.callers.values():
            caller.close()


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


@given("a table of visits")
def create_table(world: World, system: System) -> None:
    world.system = system
    world.table = f"visits_{next(table_numbers)}"
    keeper = world.caller("keeper")
    body = {
        "statement": f"CREATE TABLE IF NOT EXISTS {world.table}"
        " (id INTEGER PRIMARY KEY, cat TEXT)",
        "access": "write",
        "idempotent": True,
    }
    result = keeper.post(1, "statements", body, kind="write")
    assert result.status == 200, result


@given(parsers.parse('{who} holds a new key of "{organisation}"'))
def hold_new_key(world: World, who: str, organisation: str) -> None:
    granted = grant_key(organisation, secrets.token_bytes)
    caller = world.caller(who)
    caller.key, caller.key_id = granted.text.reveal(), granted.record["id"]
    version = world.system.apply(GrantKey(granted.record))
    world.system.await_version(version)


@given(parsers.parse('{who} holds a key of "{organisation}"'))
def hold_key(world: World, who: str, organisation: str) -> None:
    world.caller(who, organisation)


@given(parsers.parse("{who} holds no key"))
def hold_no_key(world: World, who: str) -> None:
    world.caller(who).key = None


@given(parsers.parse("{who} holds a key that was never granted"))
def hold_forged_key(world: World, who: str) -> None:
    forged = grant_key("kattevakt", secrets.token_bytes)
    world.caller(who).key = forged.text.reveal()


@given(parsers.parse('{who} wrote "{cat}" through instance {number:d}'))
@when(parsers.parse('{who} writes "{cat}" through instance {number:d}'))
def write(world: World, who: str, cat: str, number: int) -> None:
    world.caller(who).write(number, cat)


@when(parsers.parse('{who} writes "{cat}" as idempotent through instance {number:d}'))
def write_idempotent(world: World, who: str, cat: str, number: int) -> None:
    world.caller(who).write(number, cat, idempotent=True)


@when(
    parsers.parse(
        '{who} writes "{cat}" through instance {number:d} within {seconds:g} seconds'
    )
)
def write_within(world: World, who: str, cat: str, number: int, seconds: float) -> None:
    world.caller(who).write(number, cat, timeout_seconds=seconds)


@when(
    parsers.parse(
        '{who} begins to write "{cat}" through instance {number:d}'
        " within {seconds:g} seconds"
    )
)
def begin_write_within(
    world: World, who: str, cat: str, number: int, seconds: float
) -> None:
    caller = world.caller(who)
    world.start(caller.write, number, cat, timeout_seconds=seconds)


@when(parsers.parse('{who} begins to write "{cat}" through instance {number:d}'))
def begin_write(world: World, who: str, cat: str, number: int) -> None:
    world.start(world.caller(who).write, number, cat)


@when(parsers.parse("{who} floods every instance with reads for {seconds:g} seconds"))
def flood(world: World, who: str, seconds: float) -> None:
    started_at = time.monotonic()
    end = started_at + seconds
    before = len(world.results)
    key = world.caller(who).key
    for number in sorted(world.system.proxies):
        for turn in range(FLOOD_CALLERS):
            caller = world.callers.setdefault(
                f"{who}-{number}-{turn}", Caller(world, f"{who}-{number}-{turn}", key)
            )
            world.start(read_until, caller, number, end)
    world.wait_pending(NETWORK_SECONDS)
    world.flood = world.results[before:]
    world.flood_seconds = time.monotonic() - started_at


def read_until(caller: Caller, number: int, end: float) -> None:
    while time.monotonic() < end:
        caller.read(number, timeout_seconds=FLOOD_TIMEOUT_SECONDS)


@when(parsers.parse('{who} reads through "{route}" at instance {number:d}'))
def read_route(world: World, who: str, route: str, number: int) -> None:
    world.caller(who).read(number, route=route)


@when(parsers.parse("{who} reads through instance {number:d}"))
def read(world: World, who: str, number: int) -> None:
    world.caller(who).read(number)


@given(parsers.parse("{who} began a transaction through instance {number:d}"))
@when(parsers.parse("{who} begins a transaction through instance {number:d}"))
def begin(world: World, who: str, number: int) -> None:
    result = world.caller(who).begin(number)
    assert result.status == 200, result


@given(parsers.parse('{who} wrote "{cat}" in the transaction'))
@when(parsers.parse('{who} writes "{cat}" in the transaction'))
def write_inside(world: World, who: str, cat: str) -> None:
    world.caller(who).write_inside(cat)


@when(parsers.parse('{who} writes "{cat}" in the transaction of {other}'))
def write_in_foreign(world: World, who: str, cat: str, other: str) -> None:
    owner = world.caller(other)
    thief = world.caller(who)
    thief.transaction = owner.transaction
    thief.transaction_instance = owner.transaction_instance
    thief.write_inside(cat)


@when(parsers.parse("{who} commits through instance {number:d}"))
def commit_through(world: World, who: str, number: int) -> None:
    world.caller(who).end("commit", number)


@when(parsers.parse("{who} commits"))
def commit(world: World, who: str) -> None:
    world.caller(who).end("commit")


@when(parsers.parse("{who} rolls back"))
def roll_back(world: World, who: str) -> None:
    world.caller(who).end("rollback")
