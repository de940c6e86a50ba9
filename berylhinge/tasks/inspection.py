"""Send requests to the operators' listeners of the listed instances."""

from __future__ import annotations

import time
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent.pool import Pool
from geventhttpclient import HTTPClient
from returns.result import Failure, Result, Success

from ..wire.operators import (
    DRAIN_PATH,
    InstanceStatus,
    STATUS_PATH,
    WITHDRAWALS_PATH,
    WithdrawalsRequest,
)
from .http import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..types import KeyId
    from ..wire.platform import InstanceRecord
    from .platform import PlatformClient, StoreError

ASK_SECONDS = 1.0
ASKED_AT_ONCE = 50
POLL_SECONDS = 0.2


class InstanceView(NamedTuple):
    """Describe an instance: its record and its status, or why that is missing."""

    record: InstanceRecord
    status: InstanceStatus | None
    error: str | None


class Delivery(NamedTuple):
    """Describe the result of an operator's action; no error means success."""

    instance: str
    error: str | None


def list_instances(
    client: PlatformClient,
) -> Result[list[InstanceRecord], StoreError]:
    """Return the platform's list, which may be out of date, sorted by identifier."""
    result = client.instances()
    if isinstance(result, Failure):
        return result
    records = result.unwrap()["instances"]
    return Success(sorted(records, key=lambda record: record["instance"]))


def view_instances(records: Sequence[InstanceRecord]) -> list[InstanceView]:
    """Return every instance's status, asked in parallel."""
    return list(Pool(ASKED_AT_ONCE).map(view_instance, records))


def view_instance(record: InstanceRecord) -> InstanceView:
    """Return one instance's status."""
    try:
        body = ask(record, lambda client: client.get(STATUS_PATH))
        status = msgspec.json.decode(body, type=InstanceStatus)
    except (OSError, ValueError, gevent.Timeout) as error:
        return InstanceView(record, None, str(error) or type(error).__name__)
    return InstanceView(record, status, None)


def withdraw_keys(
    records: Sequence[InstanceRecord], keys: Sequence[KeyId]
) -> list[Delivery]:
    """Withdraw keys at every instance, ahead of the store."""
    body = msgspec.json.encode(WithdrawalsRequest(keys=list(keys)))

    def deliver(record: InstanceRecord) -> Delivery:
        return post(record, WITHDRAWALS_PATH, body)

    return list(Pool(ASKED_AT_ONCE).map(deliver, records))


def drain_instance(record: InstanceRecord) -> Delivery:
    """Ask an instance for a planned stop."""
    return post(record, DRAIN_PATH, b"{}")


def post(record: InstanceRecord, path: str, body: bytes) -> Delivery:
    """Request one operator's action from one instance."""
    headers = {"Content-Type": "application/json"}
    try:
        ask(record, lambda client: client.post(path, body, headers))
    except (OSError, ValueError, gevent.Timeout) as error:
        return Delivery(record["instance"], str(error) or type(error).__name__)
    return Delivery(record["instance"], None)


def ask(record: InstanceRecord, call: Callable[[HTTPClient], Any]) -> bytes:
    """Send one request; raise OSError, ValueError or Timeout when it fails."""
    address = parse_address(record["operators"])
    client = HTTPClient(
        address.host,
        address.port,
        connection_timeout=ASK_SECONDS,
        network_timeout=ASK_SECONDS,
    )
    try:
        with gevent.Timeout(2 * ASK_SECONDS):
            response = call(client)
            body = bytes(response.read())
        if response.status_code != 200:
            raise OSError(f"status {response.status_code}: {body[:200]!r}")
        return body
    finally:
        client.close()


def await_version(
    client: PlatformClient, version: int, timeout_seconds: float
) -> Result[list[InstanceView], StoreError]:
    """Poll until every live instance holds a version; return those behind."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        listed = list_instances(client)
        if isinstance(listed, Failure):
            return listed
        behind = instances_behind(view_instances(listed.unwrap()), version)
        if not behind or time.monotonic() >= deadline:
            return Success(behind)
        gevent.sleep(POLL_SECONDS)


def instances_behind(views: Sequence[InstanceView], version: int) -> list[InstanceView]:
    """Return the instances below a version, those without an answer included."""
    return [view for view in views if held_version(view) < version]


def held_version(view: InstanceView) -> int:
    """Return the version an instance reported, -1 if it did not answer."""
    return view.status["config_version"] if view.status else -1
