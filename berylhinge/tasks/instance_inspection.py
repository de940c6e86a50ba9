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
from .http_server import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..types import KeyId
    from ..wire.platform import InstanceRecord
    from .platform_client import PlatformClient, StoreError

REQUEST_TIMEOUT_SECONDS = 1.0
PARALLEL_REQUESTS = 50
VERSION_POLL_SECONDS = 0.2


class InstanceReport(NamedTuple):
    """Describe an instance: its record and its status, or why that is missing."""

    record: InstanceRecord
    status: InstanceStatus | None
    error: str | None


class ActionResult(NamedTuple):
    """Describe the result of an operator's action; no error means success."""

    instance: str
    error: str | None


def list_instances(
    client: PlatformClient,
) -> Result[list[InstanceRecord], StoreError]:
    """Return the platform's list, which may be out of date, sorted by identifier."""
    result = client.list_instances()
    if isinstance(result, Failure):
        return result
    records = result.unwrap()["instances"]
    return Success(sorted(records, key=lambda record: record["instance"]))


def fetch_statuses(records: Sequence[InstanceRecord]) -> list[InstanceReport]:
    """Return every instance's status, asked in parallel."""
    return list(Pool(PARALLEL_REQUESTS).map(fetch_status, records))


def fetch_status(record: InstanceRecord) -> InstanceReport:
    """Return one instance's status."""
    try:
        body = send_request(record, lambda client: client.get(STATUS_PATH))
        status = msgspec.json.decode(body, type=InstanceStatus)
    except (OSError, ValueError, gevent.Timeout) as error:
        return InstanceReport(record, None, str(error) or type(error).__name__)
    return InstanceReport(record, status, None)


def withdraw_keys(
    records: Sequence[InstanceRecord], keys: Sequence[KeyId]
) -> list[ActionResult]:
    """Withdraw keys at every instance, ahead of the store."""
    body = msgspec.json.encode(WithdrawalsRequest(keys=list(keys)))

    def deliver(record: InstanceRecord) -> ActionResult:
        return post_action(record, WITHDRAWALS_PATH, body)

    return list(Pool(PARALLEL_REQUESTS).map(deliver, records))


def drain_instance(record: InstanceRecord) -> ActionResult:
    """Ask an instance for a planned stop."""
    return post_action(record, DRAIN_PATH, b"{}")


def post_action(record: InstanceRecord, path: str, body: bytes) -> ActionResult:
    """Request one operator's action from one instance."""
    headers = {"Content-Type": "application/json"}
    try:
        send_request(record, lambda client: client.post(path, body, headers))
    except (OSError, ValueError, gevent.Timeout) as error:
        return ActionResult(record["instance"], str(error) or type(error).__name__)
    return ActionResult(record["instance"], None)


def send_request(record: InstanceRecord, call: Callable[[HTTPClient], Any]) -> bytes:
    """Send one request; raise OSError, ValueError or Timeout when it fails."""
    address = parse_address(record["operators"])
    client = HTTPClient(
        address.host,
        address.port,
        connection_timeout=REQUEST_TIMEOUT_SECONDS,
        network_timeout=REQUEST_TIMEOUT_SECONDS,
    )
    try:
        with gevent.Timeout(2 * REQUEST_TIMEOUT_SECONDS):
            response = call(client)
            body = bytes(response.read())
        if response.status_code != 200:
            raise OSError(f"status {response.status_code}: {body[:200]!r}")
        return body
    finally:
        client.close()


def await_version(
    client: PlatformClient, version: int, timeout_seconds: float
) -> Result[list[InstanceReport], StoreError]:
    """Poll until every live instance holds a version; return those behind."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        listed = list_instances(client)
        if isinstance(listed, Failure):
            return listed
        behind = find_instances_behind(fetch_statuses(listed.unwrap()), version)
        if not behind or time.monotonic() >= deadline:
            return Success(behind)
        gevent.sleep(VERSION_POLL_SECONDS)


def find_instances_behind(
    views: Sequence[InstanceReport], version: int
) -> list[InstanceReport]:
    """Return the instances below a version, those without an answer included."""
    return [view for view in views if reported_version(view) < version]


def reported_version(view: InstanceReport) -> int:
    """Return the version an instance reported, -1 if it did not answer."""
    return view.status["config_version"] if view.status else -1
