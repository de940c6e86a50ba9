"""Call the platform's metadata store and its promotion endpoint."""

from __future__ import annotations

import base64
from typing import Any, NamedTuple, TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from ..core.pooler.store_eras import era_of, qualify, revision_in_era
from ..tasks.http_connection import ConnectionFailed, HttpConnection
from ..tasks.platform_client import (
    OVERLOADED_STATUSES,
    store_failure,
    StoreError,
    StoreErrorKind,
)
from .store_replies import (
    ChangeDocument,
    ConflictDocument,
    decode_era,
    decode_item,
    decode_reply,
    ERA_HEADER,
    ItemDocument,
    LeaseDocument,
    RangeDocument,
    RevisionDocument,
    StoredItem,
    StoreReply,
    WatchDocument,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

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

# The store answers in milliseconds; an answer that takes this long is lost.
CALL_TIMEOUT_SECONDS = 1.0
# How much longer than its wait a watch may take before its answer is taken as lost.
WATCH_MARGIN_SECONDS = 0.7
MAX_IDLE_CONNECTIONS = 3


class Lease(NamedTuple):
    """Identify a lease; numbers are given out again after a restore of the store."""

    era: int
    number: int


class Snapshot(NamedTuple):
    """Hold items and the qualified revision of the store at which they were read."""

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
    """Call the platform's store on a small pool of connections.

    Revisions are qualified by the era in which the store gave them out. What an earlier
    era gave out is never sent to the store, where it may name something else.
    """

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

        A stale read is cheap and may be seconds old, each page by another time. A page
        has every change up to its newest item, so a watch from the least of these
        revisions delivers every change that is not in a page.
        """
        items: list[StoredItem] = []
        revisions: list[int] = []
        after, era = "", 0
        while True:
            query = {"prefix": prefix}
            if allow_stale:
                query["allow-stale"] = "1"
            if after:
                query["after"] = after
            reply = self.call("GET", f"{RANGE_PATH}?{urlencode(query)}")
            decoded = reply.bind(lambda found: decode_reply(found, RangeDocument))
            if isinstance(decoded, Failure):
                return decoded
            document, page_era = decoded.unwrap(), reply.unwrap().era
            if page_era != era and items:
                detail = f"restored as era {page_era} during a read of era {era}"
                return store_failure(StoreErrorKind.NOT_APPLIED, detail)
            era = page_era
            page = [decode_item(entry, era) for entry in document["items"]]
            items += page
            # Changes made while later pages are read arrive again by a watch from the
            # first page's revision.
            current = qualify(era, document["store-revision"])
            if allow_stale:
                start = qualify(era, 0)
                current = max((item.revision for item in page), default=start)
            revisions.append(current)
            if not document["has-more"] or not items:
                return Success(Snapshot(tuple(items), min(revisions)))
            after = items[-1].key

    def newest_revision(self, key: str) -> Result[int, StoreError]:
        """Return the store's revision by a linearizable read of a small key."""
        reply = self.call("GET", f"{KEY_PATH}?{urlencode({'key': key})}")
        return reply.bind(lambda found: decode_reply(found, RevisionDocument)).map(
            lambda document: qualify(reply.unwrap().era, document["store-revision"])
        )

    def read_item(self, key: str) -> Result[StoredItem | None, StoreError]:
        """Read one key by a linearizable read; None if it is absent."""
        reply = self.call("GET", f"{KEY_PATH}?{urlencode({'key': key})}")
        if isinstance(reply, Failure):
            return reply
        answer = reply.unwrap()
        if answer.status == 404:
            return Success(None)
        return decode_reply(answer, ItemDocument).map(
            lambda document: decode_item(document, answer.era)
        )

    def watch(
        self, prefix: str, *, after: int, wait_seconds: float
    ) -> Result[Snapshot | HistoryLost, StoreError]:
        """Wait for changes after a qualified revision, up to ``wait_seconds``."""
        era = era_of(after)
        if era < self.era:
            return Success(HistoryLost())
        query = urlencode(
            {
                "prefix": prefix,
                "after": revision_in_era(after),
                "wait-ms": int(wait_seconds * 1000),
            }
        )
        reply = self.call(
            "GET",
            f"{WATCH_PATH}?{query}",
            timeout_seconds=wait_seconds + WATCH_MARGIN_SECONDS,
        )
        if isinstance(reply, Success):
            found = reply.unwrap()
            if found.status == 410 or found.era != era:
                return Success(HistoryLost())
        return reply.bind(lambda found: decode_reply(found, WatchDocument)).map(
            lambda document: Snapshot(
                tuple(decode_item(entry, era) for entry in document["events"]),
                qualify(era, document["store-revision"]),
            )
        )

    def put_if_unchanged(
        self,
        *,
        conditions: Mapping[str, int],
        puts: Mapping[str, bytes],
        lease: Lease | None = None,
        unleased: Collection[str] = (),
    ) -> Result[int | Conflict | LeaseGone, StoreError]:
        """Write keys if each key of ``conditions`` is at its qualified revision.

        The keys end with the lease, except for ``unleased`` ones. Return the revision of
        the change. A change that met a restored store may have been made there, and is
        reported as if its condition or its lease had not held.
        """
        if lease is not None and lease.era != self.era:
            return Success(LeaseGone())
        condition_eras = {
            era_of(revision) for revision in conditions.values() if revision
        }
        # A peer may know of a later era than the last answer here.
        if any(era < self.era for era in condition_eras):
            return Success(Conflict())
        lease_number = 0 if lease is None else lease.number
        entries = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "lease": 0 if key in unleased else lease_number,
            }
            for key, value in puts.items()
        ]
        body = {
            "precondition": [
                {"key": key, "revision": revision_in_era(revision)}
                for key, revision in conditions.items()
            ],
            "puts": entries,
            "deletes": [],
        }
        reply = self.call("POST", CHANGE_PATH, body)
        if isinstance(reply, Failure):
            return reply
        answer = reply.unwrap()
        if answer.status == 412:
            conflict = decode_reply(answer, ConflictDocument)
            return conflict.map(
                lambda document: Conflict(
                    tuple(
                        decode_item(item, answer.era)
                        for item in document.get("items", [])
                    )
                )
            )
        if answer.status == 404 or (lease is not None and lease.era != answer.era):
            return Success(LeaseGone())
        if not condition_eras <= {answer.era}:
            return Success(Conflict())
        return decode_reply(answer, ChangeDocument).map(
            lambda document: qualify(answer.era, document["revision"])
        )

    def open_lease(self, ttl_seconds: float) -> Result[Lease, StoreError]:
        """Open a lease."""
        reply = self.call("POST", LEASE_PATH, {"ttl-ms": int(ttl_seconds * 1000)})
        return reply.bind(lambda found: decode_reply(found, LeaseDocument)).map(
            lambda document: Lease(reply.unwrap().era, document["lease"])
        )

    def renew_lease(self, lease: Lease) -> Result[bool, StoreError]:
        """Renew a lease; return whether it was still open."""
        if lease.era != self.era:
            return Success(False)
        reply = self.call("POST", f"{KEEP_PATH}/{lease.number}", {})
        if isinstance(reply, Success):
            answer = reply.unwrap()
            if answer.status == 404 or answer.era != lease.era:
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
    ) -> Result[StoreReply, StoreError]:
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
        if reply.status in OVERLOADED_STATUSES:
            detail = f"{path}: status {reply.status}"
            return store_failure(StoreErrorKind.OVERLOADED, detail)
        era = decode_era(reply, self.era)
        if era is None or era < self.era:
            detail = f"{path}: {ERA_HEADER} {reply.headers.get(ERA_HEADER)!r}"
            return store_failure(StoreErrorKind.MALFORMED, detail)
        self.era = era
        return Success(StoreReply(reply.status, reply.body, era))


def call_name(path: str) -> str:
    """Return the name of the call that a path makes, for counters."""
    bare = path.partition("?")[0]
    known = CALL_NAMES.get(bare)
    return known or CALL_NAMES.get(bare.rpartition("/")[0], "other")
