"""Define the document that tells a load run where the fleet listens."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class UpstreamAddresses(TypedDict):
    """Name one database's listeners as host:port."""

    upstream: str
    data: str
    control: str
    fault: str


class FleetFile(TypedDict):
    """List base URLs of instances, keys by organisation and databases by route.

    ``controller`` is the base URL of a launcher that can replace instances.
    """

    callers: list[str]
    operators: list[str]
    keys: dict[str, str]
    routes: dict[str, list[UpstreamAddresses]]
    platform_fault: NotRequired[str | None]
    controller: NotRequired[str | None]
