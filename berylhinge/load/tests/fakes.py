from __future__ import annotations

import sqlite3
from typing import TYPE_CHECKING

import msgspec

from ...tasks.http_server import Address, respond_json, server_address, start_server

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...tasks.http_server import Environ, StartResponse

REQUEST_HEADER = "Berylhinge-Request-Id"
SESSION_HEADER = "Berylhinge-Session"


class FakeInstance:
    """Answer the callers' API over one sqlite database, with faults to order."""

    def __init__(self, *, fault: str = "") -> None:
        """Listen on a free port."""
        self.fault = fault
        self.database = sqlite3.connect(":memory:", isolation_level=None)
        self.open: dict[str, list[tuple[str, list[object]]]] = {}
        self.writes = 0
        self.server = start_server(Address("127.0.0.1", 0), self)
        self.base = f"http://{server_address(self.server)}"

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run one request."""
        raw = environ["wsgi.input"].read()
        body = msgspec.json.decode(raw) if raw else {}
        segments = environ["PATH_INFO"].strip("/").split("/")[3:]
        request_id = environ.get("HTTP_BERYLHINGE_REQUEST_ID", "")
        headers = [(REQUEST_HEADER, request_id), (SESSION_HEADER, "token")]
        if environ["HTTP_AUTHORIZATION"] != "Bearer good":
            problem = {"reason": "invalid-key", "outcome": "not-run"}
            return respond_json(start_response, 401, problem, headers=headers)
        refusal, answer = self.run(segments, body, request_id)
        if refusal:
            problem = {"reason": "no-primary", "outcome": refusal}
            return respond_json(start_response, 503, problem, headers=headers)
        return respond_json(start_response, 200, answer, headers=headers)

    def run(
        self, segments: list[str], body: dict, request_id: str
    ) -> tuple[str, dict[str, object]]:
        """Return a refusal's outcome, if any, and the answer."""
        if segments == ["statements"]:
            return self.statement(body)
        if segments == ["transactions"]:
            self.open[request_id] = []
            return "", {"transaction": request_id}
        _, name, action = segments
        if action == "statements":
            self.open[name].append((body["statement"], body["parameters"]))
        elif action == "commit":
            pending = self.open.pop(name)
            halves = pending[:1] if self.fault == "tear" else pending
            for statement, parameters in halves:
                self.database.execute(statement, parameters)
        return "", {}

    def statement(self, body: dict) -> tuple[str, dict[str, object]]:
        """Run one statement under the ordered fault."""
        text, parameters = body["statement"], body["parameters"]
        if body["access"] == "read":
            rows = self.database.execute(text, parameters).fetchall()
            if self.fault == "stale" and parameters and rows:
                rows = [(rows[0][0], 0)]
            role = "replica" if parameters else "primary"
            return "", {"rows": rows, "served_by": role}
        self.writes += 1
        struck = text.startswith("INSERT") and self.writes % 3 == 0
        if struck and self.fault == "lose":
            return "", {"rows": []}
        self.database.execute(text, parameters)
        if struck and self.fault == "twice":
            self.database.execute(text, parameters)
        lied = struck and self.fault == "lie"
        return ("not-run" if lied else ""), {"rows": []}
