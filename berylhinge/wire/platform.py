"""Define the JSON messages of the platform's key-value service and list."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

VALUE_LIMIT_BYTES = 1_000_000


class GetRequest(TypedDict):
    """Read one key."""

    key: str


class StoredValue(TypedDict):
    """Return a value and its revision; an absent key has revision 0."""

    value: str | None
    revision: int


class SwapRequest(TypedDict):
    """Replace a value if its revision still is the expected one."""

    key: str
    value: str | None
    expected_revision: int
    lease: NotRequired[str | None]


class SwapAnswer(TypedDict):
    """Tell whether the swap won; ``revision`` is the key's newest."""

    swapped: bool
    revision: int


class WatchKeyRequest(TypedDict):
    """Wait until the key's revision exceeds the given one."""

    key: str
    after_revision: int
    timeout_seconds: float


class LeaseRequest(TypedDict):
    """Grant, renew or revoke a lease."""

    lease: NotRequired[str]
    ttl_seconds: NotRequired[float]


class LeaseAnswer(TypedDict):
    """Return the lease; ``held`` is false once it lapsed."""

    lease: str
    held: bool


class InstanceRecord(TypedDict):
    """List one instance; ``incarnation`` grows with every start."""

    instance: str
    incarnation: int
    place: str
    state: Literal["live", "leaving"]
    peer: str
    callers: str
    operators: str


class InstanceList(TypedDict):
    """List live and leaving instances as they were some seconds ago."""

    instances: list[InstanceRecord]
