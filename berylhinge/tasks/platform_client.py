"""Call the platform's key-value service and instance list."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from ..wire.platform import (
    GetRequest,
    InstanceList,
    InstanceRecord,
    StoredValue,
    SwapAnswer,
    SwapRequest,
    WatchKeyRequest,
)
from .http_connection import ConnectionFailed, HttpConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .http_connection import HttpReply
    from .http_server import Address

GET_PATH = "/v1/get"
SWAP_PATH = "/v1/swap"
WATCH_PATH = "/v1/watch"
INSTANCES_PATH = "/v1/instances/list"
ANNOUNCE_PATH = "/v1/instances/announce"

CALL_TIMEOUT_SECONDS = 1.0
WATCH_MARGIN_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 4
OVERLOADED_STATUSES = (429, 503)


class StoreErrorKind(StrEnum):
    """Classify a failed call by what is known of its effect."""

    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"
    OVERLOADED = "overloaded"
    MALFORMED = "malformed"


class StoreError(NamedTuple):
    """Report a failed call; only ``UNKNOWN`` may have changed the store."""

    kind: StoreErrorKind
    detail: str
    remedy: str


PERMANENT_ERROR_KINDS = (StoreErrorKind.OVERLOADED, StoreErrorKind.MALFORMED)
REMEDIES = {
    StoreErrorKind.NOT_APPLIED: "try again; the store was not reached",
    StoreErrorKind.UNKNOWN: "read the value back before trying again",
    StoreErrorKind.OVERLOADED: "try again after a pause",
    StoreErrorKind.MALFORMED: "check that the address is the platform's",
}


def ignore_outcome(result: str) -> None:
    """Discard a call's outcome."""


class PlatformClient:
    """Call one platform, which has several addresses, over kept connections."""

    def __init__(
        self,
        addresses: Sequence[Address],
        *,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        on_call: Callable[[str], None] = ignore_outcome,
    ) -> None:
        """Prepare without connecting."""
        self.addresses = list(addresses)
        self.timeout_seconds = timeout_seconds
        self.on_call = on_call
        self.idle_connections: dict[Address, list[HttpConnection]] = {}

    def get(self, key: str) -> Result[StoredValue, StoreError]:
        """Read one key."""
        return self.call_repeatable(GET_PATH, GetRequest(key=key), StoredValue)

    def swap(
        self,
        key: str,
        value: str | None,
        *,
        expected_revision: int,
        lease: str | None = None,
    ) -> Result[SwapAnswer, StoreError]:
        """Replace a value if its revision still is the expected one."""
        request = SwapRequest(key=key, value=value, expected_revision=expected_revision)
        if lease is not None:
            request["lease"] = lease
        return self.call_unrepeatable(SWAP_PATH, request, SwapAnswer)

    def watch(
        self, key: str, *, after_revision: int, timeout_seconds: float
    ) -> Result[StoredValue, StoreError]:
        """Wait until a key's revision exceeds the given one or the timeout ends."""
        request = WatchKeyRequest(
            key=key, after_revision=after_revision, timeout_seconds=timeout_seconds
        )
        call_timeout = timeout_seconds + WATCH_MARGIN_SECONDS
        return self.call_repeatable(
            WATCH_PATH, request, StoredValue, timeout_seconds=call_timeout
        )

    def list_instances(self) -> Result[InstanceList, StoreError]:
        """Read the list of live and leaving instances."""
        return self.call_repeatable(INSTANCES_PATH, {}, InstanceList)

    def announce_instance(self, record: InstanceRecord) -> Result[Any, StoreError]:
        """Announce this instance, to be listed for some seconds; may be repeated."""
        return self.call_repeatable(ANNOUNCE_PATH, record, dict[str, Any])

    def call_repeatable(
        self,
        path: str,
        request: Any,
        answer_type: Any,
        *,
        timeout_seconds: float | None = None,
    ) -> Result[Any, StoreError]:
        """Make a call that may be repeated, at each address in turn."""
        return self.call_any_address(
            path, request, answer_type, timeout_seconds, repeatable=True
        )

    def call_unrepeatable(
        self, path: str, request: Any, answer_type: Any
    ) -> Result[Any, StoreError]:
        """Make a call that is repeated only if no byte of it was sent."""
        return self.call_any_address(path, request, answer_type, None, repeatable=False)

    def call_any_address(
        self,
        path: str,
        request: Any,
        answer_type: Any,
        timeout_seconds: float | None,
        *,
        repeatable: bool,
    ) -> Result[Any, StoreError]:
        """Try each address at most once, moving a failed one to the end of the list."""
        body = msgspec.json.encode(request)
        timeout = self.timeout_seconds if timeout_seconds is None else timeout_seconds
        result: Result[Any, StoreError] = store_failure(
            StoreErrorKind.NOT_APPLIED, "no address of the platform is known"
        )
        for _ in range(len(self.addresses)):
            result = self.call_address(
                self.addresses[0], path, body, answer_type, timeout
            )
            self.on_call(call_outcome(result))
            if isinstance(result, Success):
                return result
            error_kind = result.failure().kind
            # All addresses belong to one service, which would give the same answer.
            if error_kind in PERMANENT_ERROR_KINDS:
                return result
            self.addresses.append(self.addresses.pop(0))
            if error_kind is StoreErrorKind.UNKNOWN and not repeatable:
                return result
        return result

    def call_address(
        self, address: Address, path: str, body: bytes, answer_type: Any, timeout: float
    ) -> Result[Any, StoreError]:
        """Make one call at one address."""
        idle = self.idle_connections.setdefault(address, [])
        connection = idle.pop() if idle else HttpConnection(address, headers={})
        if not connection.is_reusable():
            connection.close()
        try:
            if not connection.is_open:
                connection.open(min(timeout, self.timeout_seconds))
            reply = connection.exchange(path, body, timeout)
        except ConnectionFailed as error:
            kinds = StoreErrorKind
            error_kind = kinds.UNKNOWN if error.may_have_sent else kinds.NOT_APPLIED
            return store_failure(error_kind, f"{address}: {error}")
        finally:
            if connection.is_open and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
            else:
                connection.close()
        return decode_reply(address, reply, answer_type)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self.idle_connections.values():
            while idle:
                idle.pop().close()


def decode_reply(
    address: Address, reply: HttpReply, answer_type: Any
) -> Result[Any, StoreError]:
    """Decode a reply, or return the failure that it reports."""
    if reply.status in OVERLOADED_STATUSES:
        detail = f"{address}: status {reply.status}"
        return store_failure(StoreErrorKind.OVERLOADED, detail)
    if reply.status >= 500:
        detail = f"{address}: status {reply.status}"
        return store_failure(StoreErrorKind.UNKNOWN, detail)
    if reply.status != 200:
        detail = f"{address}: status {reply.status}: {reply.body[:200]!r}"
        return store_failure(StoreErrorKind.MALFORMED, detail)
    try:
        return Success(msgspec.json.decode(reply.body, type=answer_type))
    except msgspec.MsgspecError as error:
        # A write whose answer can't be decoded may have been applied.
        return store_failure(StoreErrorKind.UNKNOWN, f"{address}: {error}")


def store_failure(kind: StoreErrorKind, detail: str) -> Failure[StoreError]:
    """Build a failed result with its remedy."""
    return Failure(StoreError(kind, detail, REMEDIES[kind]))


def call_outcome(result: Result[Any, StoreError]) -> str:
    """Return the counter label of a call's result."""
    return "ok" if isinstance(result, Success) else str(result.failure().kind)
