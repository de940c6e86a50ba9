from __future__ import annotations

import itertools
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec

from ...tasks.http_connection import HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...tasks.http_server import Address
    from ..database import Database

CALL_SECONDS = 5.0
POLL_SECONDS = 0.005
TABLE = "CREATE TABLE visits (id INTEGER PRIMARY KEY, cat TEXT UNIQUE)"
INSERT = "INSERT INTO visits (cat) VALUES (?)"
SELECT = "SELECT cat FROM visits ORDER BY cat"
request_numbers = itertools.count(1)


class Answer(NamedTuple):
    status: int
    body: dict[str, Any]

    @property
    def error(self) -> str | None:
        return self.body.get("error")

    @property
    def cats(self) -> list[str]:
        return [row[0] for row in self.body["rows"]]


class Caller:
    def __init__(self, address: Address, name: str = "i1") -> None:
        self.connection = HttpConnection(address, headers={"Berylhinge-Instance": name})

    def call(
        self, path: str, message: object = None, seconds: float = CALL_SECONDS
    ) -> Answer:
        reply = self.connection.call_json(path, message or {}, seconds)
        return Answer(reply.status, msgspec.json.decode(reply.body))

    def read(self, statement: str = SELECT, **fields: Any) -> Answer:
        return self.run(statement, access="read", **fields)

    def write(self, statement: str, *parameters: Any, term: int | None = 1) -> Answer:
        return self.run(statement, *parameters, access="write", term=term)

    def run(self, statement: str, *parameters: Any, **fields: Any) -> Answer:
        message = {
            "request_id": f"r{next(request_numbers)}",
            "statement": statement,
            "parameters": parameters,
            **fields,
        }
        return self.call("/v1/statement", message)

    def transact(self, step: str, term: int | None = None) -> Answer:
        message = {"request_id": f"r{next(request_numbers)}", "term": term}
        return self.call(f"/v1/{step}", message)

    def close(self) -> None:
        self.connection.close()


def call(address: Address, path: str, message: object = None) -> Answer:
    caller = Caller(address)
    try:
        return caller.call(path, message)
    finally:
        caller.close()


def eventually(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition never held"
        gevent.sleep(POLL_SECONDS)


def cats_of(database: Database) -> list[str] | None:
    live = database.member.engine.live.connection
    # A replica has no table until it has received the statement that creates it.
    if not live.execute("PRAGMA table_info(visits)").fetchall():
        return None
    return [row[0] for row in live.execute(SELECT)]
