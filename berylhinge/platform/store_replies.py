"""Decode the answers of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from typing import Any, NamedTuple, NotRequired, TYPE_CHECKING, TypedDict

import msgspec
from returns.result import Result, Success

from ..core.pooler.store_eras import qualify
from ..tasks.platform_client import store_failure, StoreError, StoreErrorKind

if TYPE_CHECKING:
    from ..tasks.http_connection import HttpReply

# Grows each time the store is restored from an older copy of itself.
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 6
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
    """Hold one key's value and qualified revision; the value is None after a removal."""

    key: str
    value: bytes | None
    revision: int


class StoreReply(NamedTuple):
    """Hold an answer of the store and the era in which it was given."""

    status: int
    body: bytes
    era: int


def decode_era(reply: HttpReply, known: int) -> int | None:
    """Return the era that a reply names, the known one if none; None if malformed."""
    text = reply.headers.get(ERA_HEADER)
    if text is None:
        return known
    is_era = isinstance(text, str) and text.isascii() and text.isdecimal()
    return int(text) if is_era and len(text) <= MAX_ERA_DIGITS else None


def decode_reply(reply: StoreReply, kind: Any) -> Result[Any, StoreError]:
    """Decode the body of an accepted reply."""
    if reply.status not in ACCEPTED_STATUSES:
        return store_failure(StoreErrorKind.MALFORMED, f"status {reply.status}")
    try:
        return Success(msgspec.json.decode(reply.body or b"{}", type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return store_failure(StoreErrorKind.MALFORMED, str(error))


def decode_item(entry: ItemDocument, era: int) -> StoredItem:
    """Decode an item; a value that is no valid base64 becomes empty."""
    revision = qualify(era, entry["revision"])
    if entry.get("deleted"):
        return StoredItem(entry["key"], None, revision)
    try:
        value = base64.b64decode(entry.get("value", ""), validate=True)
    except (binascii.Error, ValueError):
        value = b""
    return StoredItem(entry["key"], value, revision)
