"""Call the platform's metadata store and its promotion endpoint."""

from __future__ import annotations

import base64
import binascii
from typing import Any, NamedTuple, NotRequired, TYPE_CHECKING, TypedDict
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from ..tasks.http_connection import ConnectionFailed, HttpConnection
from ..tasks.platform_client import (
    OVERLOADED_STATUSES,
    store_failure,
    StoreError,
    StoreErrorKind,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from ..tasks.http_connection import HttpReply
    from ..tasks.http_server import Address

KEY_PATH = "/berylhinge/kv-key"
RANGE_PATH = "/berylhinge/kv-range"
WATCH_PATH = "/berylhinge/kv-watch"
CHANGE_PATH = "/berylhinge/kv-txn"
LEASE_PATH = "/berylhinge/kv-lease"
KEEP_PATH = "/berylhinge/kv-keep"
PROMOTIONS_PATH = "/promotions"
CALL_NAMES = {
    KEY_PATH: "read-key",
    RANGE_PATH: "read-range",
    WATCH_PATH: "watch",
    CHANGE_PATH: "change",
    LEASE_PATH: "open-lease",
    KEEP_PATH: "renew-lease",
    PROMOTIONS_PATH: "promote",
}
HOLDER_HEADER = "Berylhinge-Duty-Holder"
FENCE_HEADER = "Berylhinge-Fence-Token"
# Grows each time the store is restored from a copy.
ERA_HEADER = "Store-Era"

# The store answers in milliseconds; an answer that takes this long is lost.
CALL_TIMEOUT_SECONDS = 1.0
# How much longer than its wait a watch may take before its answer is taken as lost.
WATCH_MARGIN_SECONDS = 0.7
MAX_IDLE_CONNECTIONS = 3
# A read of an absent key has status 404 and also carries the store's revision.
ACCEPTED_STATUSES = (200, 201, 202, 204, 404, 412)


class ItemDocument(TypedDict):
    """Describe one stored item; ``value`` is base64, ``deleted`` marks a removal."""

    key: str
    revision: int
    value: NotRequired[str]
    lease: NotRequired[int]
    deleted: NotRequired[bool]


# `store-revision` is the revision of the whole store at the time of the answer.
RangeDocument = TypedDict(
    "RangeDocument",
    {"items": list[ItemDocument], "has-more": bool, "store-revision": int},
)
WatchDocument = TypedDict(
    "WatchDocument", {"events": list[ItemDocument], "store-revision": int}
)


RevisionDocument = TypedDict("RevisionDocument", {"store-revision": int})


class ConflictDocument(TypedDict, total=False):
    """Describe the answer to a change whose condition does not hold."""

    items: list[ItemDocument]


class ChangeDocument(TypedDict):
    """Describe the answer to a change: its revision."""

    revision: int


class LeaseDocument(TypedDict):
    """Describe the answer to a grant: the lease's number."""

    lease: int


class StoredItem(NamedTuple):
    """Hold one key's value and revision; the value is None after a removal."""

    key: str
    value: bytes | None
    revision: int


class Snapshot(NamedTuple):
    """Hold items and the revision of the store at which they were read."""

    items: tuple[StoredItem, ...]
    revision: int


class HistoryLost(NamedTuple):
    """Report that the revision to watch from is gone; read all keys first."""


class Conflict(NamedTuple):
    """Report that a key was not at the revision that a change required.

    ``items`` are the keys of the conditions as they are.
    """

    items: tuple[StoredItem, ...] = ()


class LeaseGone(NamedTuple):
    """Report that a change's lease has ended."""


def ignore_call(call: str, result: str) -> None:
    """Discard a call's name and result."""


class MetadataStore:
    """Call the platform's store on a small pool of connections."""

    def __init__(
        self, address: Address, *, on_call: Callable[[str, str], None] = ignore_call
    ) -> None:
        """Start unconnected.

        ``on_call`` gets each call's name and its status or ``failed``.
        """
        self.address = address
        self.on_call = on_call
        self.idle: list[HttpConnection] = []
        self.era = 0

    def read_all(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[Snapshot, StoreError]:
        """Read every key under a prefix, page by page.

        A stale read is cheap and may be seconds old. Its snapshot has the revision of
        the newest item, so that a watch from there delivers every later change.
        """
        items: list[StoredItem] = []
        after, revision = "", 0
        while True:
            query = {"prefix": prefix}
            if allow_stale:
                query["allow-stale"] = "1"
            if after:
                query["after"] = after
            reply = self.call("GET", f"{RANGE_PATH}?{urlencode(query)}")
            page = reply.bind(lambda found: decode_reply(found, RangeDocument))
            if isinstance(page, Failure):
                return page
            document = page.unwrap()
            items += [decode_item(entry) for entry in document["items"]]
            # Changes made while later pages are read arrive again by a watch from the
            # first page's revision.
            revision = revision or document["store-revision"]
            if not document["has-more"] or not items:
                if allow_stale:
                    revision = max((item.revision for item in items), default=0)
                return Success(Snapshot(tuple(items), revision))
            after = items[-1].key

    def newest_revision(self, key: str) -> Result[int, StoreError]:
        """Return the store's revision by a linearizable read of a small key."""
        reply = self.call("GET", f"{KEY_PATH}?{urlencode({'key': key})}")
        return reply.bind(lambda found: decode_reply(found, RevisionDocument)).map(
            lambda document: document["store-revision"]
        )

    def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[Snapshot | HistoryLost, StoreError]:
        """Wait for changes after a revision, up to ``wait_seconds``."""
        query = urlencode(
            {"prefix": prefix, "after": after, "wait-ms": int(wait_seconds * 1000)}
        )
        reply = self.call(
            "GET",
            f"{WATCH_PATH}?{query}",
            timeout_seconds=wait_seconds + WATCH_MARGIN_SECONDS,
        )
        if isinstance(reply, Success) and reply.unwrap().status == 410:
            return Success(HistoryLost())
        return reply.bind(lambda found: decode_reply(found, WatchDocument)).map(
            lambda document: Snapshot(
                tuple(decode_item(entry) for entry in document["events"]),
                document["store-revision"],
            )
        )

    def put_if_unchanged(
        self,
        *,
        conditions: Mapping[str, int],
        puts: Mapping[str, bytes],
        lease: int = 0,
        unleased: Collection[str] = (),
    ) -> Result[int | Conflict | LeaseGone, StoreError]:
        """Write keys if each key of ``conditions`` is at its revision.

        The keys end with the lease, except for ``unleased`` ones. Return the revision of
        the change.
        """
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "lease": 0 if key in unleased else lease,
            }
            for key, value in puts.items()
        ]
        body = {
            "precondition": [
                {"key": key, "revision": revision}
                for key, revision in conditions.items()
            ],
            "puts": entries,
            "deletes": [],
        }
        reply = self.call("POST", CHANGE_PATH, body)
        if isinstance(reply, Success):
            if reply.unwrap().status == 412:
                conflict = decode_reply(reply.unwrap(), ConflictDocument)
                return conflict.map(
                    lambda document: Conflict(
                        tuple(decode_item(item) for item in document.get("items", []))
                    )
                )
            if reply.unwrap().status == 404:
                return Success(LeaseGone())
        return reply.bind(lambda found: decode_reply(found, ChangeDocument)).map(
            lambda document: document["revision"]
        )

    def open_lease(self, ttl_seconds: float) -> Result[int, StoreError]:
        """Open a lease and return its number."""
        reply = self.call("POST", LEASE_PATH, {"ttl-ms": int(ttl_seconds * 1000)})
        return reply.bind(lambda found: decode_reply(found, LeaseDocument)).map(
            lambda document: document["lease"]
        )

    def renew_lease(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease; return whether it was still open."""
        reply = self.call("POST", f"{KEEP_PATH}/{lease}", {})
        if isinstance(reply, Success) and reply.unwrap().status == 404:
            return Success(False)
        return reply.bind(lambda found: decode_reply(found, dict[str, Any])).map(
            lambda _: True
        )

    def promote(
        self, service: str, database: str, *, holder: str, fence: int
    ) -> Result[bool, StoreError]:
        """Ask for a database to become primary; return whether that was accepted."""
        headers = f"{HOLDER_HEADER}: {holder}\r\n{FENCE_HEADER}: {fence}\r\n"
        body = {"service": service, "id": database}
        reply = self.call("POST", PROMOTIONS_PATH, body, headers=headers)
        if isinstance(reply, Success) and reply.unwrap().status == 409:
            return Success(False)
        return reply.bind(lambda found: decode_reply(found, Any)).map(lambda _: True)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        headers: str = "",
    ) -> Result[HttpReply, StoreError]:
        """Make one call on an idle or new connection, which no other call may use."""
        connection = (
            self.idle.pop() if self.idle else HttpConnection(self.address, headers={})
        )
        if not connection.is_reusable():
            connection.close()
        data = b"" if body is None else msgspec.json.encode(body)
        name = call_name(path)
        try:
            if not connection.is_open:
                connection.open(CALL_TIMEOUT_SECONDS)
            reply = connection.exchange(
                path, data, timeout_seconds, method=method, headers=headers
            )
        except ConnectionFailed as error:
            self.on_call(name, "failed")
            # The fault that broke this connection has probably broken the idle ones.
            for idle in self.idle:
                idle.close()
            self.idle.clear()
            kinds = StoreErrorKind
            kind = kinds.UNKNOWN if error.may_have_sent else kinds.NOT_APPLIED
            return store_failure(kind, f"{self.address}: {error}")
        if connection.is_open and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()
        self.on_call(name, str(reply.status))
        self.era = decode_era(reply, self.era)
        if reply.status in OVERLOADED_STATUSES:
            detail = f"{path}: status {reply.status}"
            return store_failure(StoreErrorKind.OVERLOADED, detail)
        return Success(reply)


def decode_era(reply: HttpReply, known: int) -> int:
    """Return the era that a reply names; an error may come without one."""
    text = reply.headers.get(ERA_HEADER)
    return int(text) if isinstance(text, str) and text.isdecimal() else known


def call_name(path: str) -> str:
    """Return the name of the call that a path makes, for counters."""
    bare = path.partition("?")[0]
    known = CALL_NAMES.get(bare)
    return known or CALL_NAMES.get(bare.rpartition("/")[0], "other")


def decode_reply(reply: HttpReply, kind: Any) -> Result[Any, StoreError]:
    """Decode the body of an accepted reply."""
    if reply.status not in ACCEPTED_STATUSES:
        return store_failure(StoreErrorKind.MALFORMED, f"status {reply.status}")
    try:
        return Success(msgspec.json.decode(reply.body or b"{}", type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return store_failure(StoreErrorKind.MALFORMED, str(error))


def decode_item(entry: ItemDocument) -> StoredItem:
    """Decode an item; a value that is no valid base64 becomes empty."""
    if entry.get("deleted"):
        return StoredItem(entry["key"], None, entry["revision"])
    try:
        value = base64.b64decode(entry.get("value", ""), validate=True)
    except (binascii.Error, ValueError):
        value = b""
    return StoredItem(entry["key"], value, entry["revision"])
