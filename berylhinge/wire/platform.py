"""Define the JSON messages of the platform's key-value service and list."""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict

VALUE_LIMIT_BYTES = 1_000_000


class GetRequest(TypedDict):
    """Read one key."""

    key: str


class StoredValue(TypedDict):
    """Return a value and its revision; the revision of an absent key is 0."""

    value: str | None
    revision: int


class SwapRequest(TypedDict):
    """Replace a value if its revision is still the expected one."""

    key: str
    value: str | None
    expected_revision: int
    lease: NotRequired[str | None]


class SwapAnswer(TypedDict):
    """Report whether the value was replaced; ``revision`` is the key's newest."""

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
    """Return the lease; ``held`` is false once it has expired."""

    lease: str
    held: bool


class InstanceRecord(TypedDict):
    """Describe one instance; ``incarnation`` grows with every start."""

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
