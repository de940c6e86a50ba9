"""Define the declaration document that operators write."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec
from returns.result import Result

from ..errors import FieldError
from ..types import JsonValue
from .document_reader import convert_document
from .selectors import Selector
from .text_formats import (
    Base64Text,
    Identifier,
    NonNegativeNumber,
    PositiveInteger,
    PositiveNumber,
    SocketAddress,
)

LabelMap = dict[Identifier, Identifier]
GROUP_MEMBERS_LIMIT = 9


class Organisation(TypedDict):
    """Declare an organisation's rate (requests/s), burst (requests) and weight."""

    id: Identifier
    rate_per_second: PositiveNumber
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: NotRequired[PositiveNumber]
    labels: NotRequired[LabelMap]


class Key(TypedDict):
    """Store the salted hash of an organisation's key."""

    id: Identifier
    organisation: Identifier
    salt: Base64Text
    hash: Base64Text
    state: Literal["granted", "withdrawn"]


class Group(TypedDict):
    """Declare a replicated group of upstreams."""

    id: Identifier
    labels: NotRequired[LabelMap]


class Upstream(TypedDict):
    """Declare one database of a group."""

    id: Identifier
    group: Identifier
    data: SocketAddress
    control: SocketAddress
    place: Identifier
    labels: NotRequired[LabelMap]
    connections: PositiveInteger
    slots: PositiveInteger
    state: NotRequired[Literal["live", "leaving"]]


class Route(TypedDict):
    """Declare which upstream group serves the statements of each organisation.

    ``match_organisation`` lists label keys whose values must be equal on organisation
    and group; ``organisations`` selects those that may use a route that isn't open.
    """

    id: Identifier
    labels: NotRequired[LabelMap]
    groups: Selector
    match_organisation: NotRequired[list[Identifier]]
    organisations: NotRequired[Selector]
    open: NotRequired[bool]
    max_age_seconds: NotRequired[NonNegativeNumber]


class Declaration(TypedDict):
    """Declare everything that the fleet serves."""

    organisations: list[Organisation]
    keys: NotRequired[list[Key]]
    groups: list[Group]
    upstreams: list[Upstream]
    routes: list[Route]


def convert_declaration(
    value: JsonValue,
) -> Result[Declaration, tuple[FieldError, ...]]:
    """Convert a JSON value to a declaration, or return every invalid field."""
    return convert_document(value, Declaration)


def empty_declaration() -> Declaration:
    """Return a declaration whose sections are empty."""
    return {
        "organisations": [],
        "keys": [],
        "groups": [],
        "upstreams": [],
        "routes": [],
    }
