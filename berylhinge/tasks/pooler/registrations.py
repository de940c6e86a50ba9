"""Decode the registrations of instances in the store."""

from __future__ import annotations

import re
from typing import Annotated, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from ...platform.documents import MALFORMED_VALUE_ERRORS
from ..http_server import parse_address

# Capacities in cores. Beyond these bounds shares of a sum of weights are no numbers.
Weight = Annotated[float, msgspec.Meta(ge=1e-3, le=1e6)]
HOST_PATTERN = re.compile(r"[0-9A-Za-z._:\[\]-]{1,255}")
# What messages between instances can carry.
Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class Registration(NamedTuple):
    """Describe an instance, as it registers itself in the store.

    ``incarnation`` is the revision of the process's first registration; it is 0 in that
    registration itself. ``era`` is that of the store when this was written; a restored
    copy delivers it in a later one. ``weight`` is the instance's capacity.
    """

    address: str
    place: str
    leaving: bool
    incarnation: Count
    era: Count = 0
    weight: Weight = 1.0


def decode_registration(value: bytes) -> Result[Registration, str]:
    """Decode an instance's registration, or return why it names no instance."""
    try:
        found = msgspec.json.decode(value, type=Registration)
        host = parse_address(found.address).host
        if not HOST_PATTERN.fullmatch(host):
            raise ValueError(f"got host {host!r}, expected an IP address or a name")
    except MALFORMED_VALUE_ERRORS as error:
        return Failure(f"{type(error).__name__}: {error}")
    return Success(found)
