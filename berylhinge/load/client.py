"""Call the instances over kept-alive HTTP."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from .records import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

SESSION_HEADER = "Berylhinge-Session"
REQUEST_HEADER = "Berylhinge-Request-Id"
CONNECT_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 1.0
POOL_CONNECTIONS = 400
READINESS_SECONDS = 0.25
CONNECT_ATTEMPTS = 3


class Answer(NamedTuple):
    """Hold one answer; status 0 means that none came."""

    status: int
    verdict: Verdict
    reason: str
    body: dict[str, Any]
    token: str | None
    instance: int
    echoed: bool


class Request(NamedTuple):
    """Hold one request to any instance."""

    path: str
    body: dict[str, Any]
    key: str
    token: str | None
    request_id: str


class Instance:
    """Keep the connections to one instance and whether it is ready."""

    def __init__(self, base: str, *, timeout_seconds: float) -> None:
        """Connect lazily."""
        self.base = base
        self.ready = True
        self.client = HTTPClient.from_url(
            base,
            concurrency=POOL_CONNECTIONS,
            connection_timeout=CONNECT_SECONDS,
            network_timeout=timeout_seconds + ANSWER_MARGIN_SECONDS,
        )

    def post(self, request: Request, number: int) -> Answer:
        """Send once; ConnectionRefusedError alone means that nothing was sent."""
        headers = {
            "Authorization": f"Bearer {request.key}",
            "Content-Type": "application/json",
            REQUEST_HEADER: request.request_id,
        }
        if request.token is not None:
            headers[SESSION_HEADER] = request.token
        data = msgspec.json.encode(request.body)
        try:
            response = self.client.request("POST", request.path, data, headers)
            body = response.read()
        except ConnectionRefusedError:
            raise
        except socket.timeout:
            return no_answer("client-timeout", number)
        except (OSError, HTTPParseError):
            return no_answer("connection-lost", number)
        return read_answer(request, response, body, number)


def no_answer(reason: str, number: int, verdict: Verdict = Verdict.UNKNOWN) -> Answer:
    """Describe a request whose answer never came."""
    return Answer(0, verdict, reason, {}, None, number, True)


def read_answer(request: Request, response: Any, data: bytes, number: int) -> Answer:
    """Classify a whole answer; an unreadable one leaves the outcome unknown."""
    try:
        body = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return no_answer("unreadable-answer", number)
    echoed = response.get(REQUEST_HEADER) == request.request_id
    token = response.get(SESSION_HEADER)
    if response.status_code == 200:
        return Answer(200, Verdict.OK, "", body, token, number, echoed)
    not_run = body.get("outcome") == Verdict.NOT_RUN.value
    verdict = Verdict.NOT_RUN if not_run else Verdict.UNKNOWN
    reason = body.get("reason", "unnamed")
    return Answer(response.status_code, verdict, reason, body, token, number, echoed)


class Balancer:
    """Stand in for the platform's balancer: send only to ready instances."""

    def __init__(
        self,
        callers: Sequence[str],
        operators: Sequence[str],
        *,
        timeout_seconds: float,
    ) -> None:
        """Know every instance; watch readiness where operators' URLs are given."""
        self.instances = [
            Instance(base, timeout_seconds=timeout_seconds) for base in callers
        ]
        self.probes = [
            gevent.spawn(self.probe, instance, base)
            for instance, base in zip(self.instances, operators, strict=False)
        ]

    def probe(self, instance: Instance, base: str) -> None:
        """Poll one instance's readiness for ever."""
        client = HTTPClient.from_url(
            base, connection_timeout=CONNECT_SECONDS, network_timeout=CONNECT_SECONDS
        )
        while True:
            try:
                response = client.request("GET", "/readyz")
                response.read()
                instance.ready = response.status_code == 200
            except (OSError, HTTPParseError):
                instance.ready = False
            gevent.sleep(READINESS_SECONDS)

    def close(self) -> None:
        """Stop the probes and close the connections."""
        gevent.killall(self.probes)
        for instance in self.instances:
            instance.client.close()

    def choose(self, roam: float) -> int:
        """Pick an instance for a number in [0, 1), the first one below 0."""
        ready = [
            number for number, instance in enumerate(self.instances) if instance.ready
        ] or list(range(len(self.instances)))
        return ready[0] if roam < 0 else ready[int(roam * len(ready))]

    def send(self, request: Request, roam: float) -> Answer:
        """Send to one instance, and to the next where the connect is refused."""
        number = self.choose(roam)
        for _ in range(CONNECT_ATTEMPTS):
            try:
                return self.instances[number].post(request, number)
            except ConnectionRefusedError:
                number = (number + 1) % len(self.instances)
        return no_answer("connect-refused", number, Verdict.NOT_RUN)

    def send_to(self, request: Request, number: int) -> Answer:
        """Send to one instance only."""
        try:
            return self.instances[number].post(request, number)
        except ConnectionRefusedError:
            return no_answer("connect-refused", number, Verdict.NOT_RUN)
