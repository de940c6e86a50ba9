"""Check JSON documents strictly against their TypedDict types."""

from __future__ import annotations

import types
from typing import (
    Any,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
    NotRequired,
    TYPE_CHECKING,
    TypeVar,
    Union,
)

import msgspec

from ..errors import DocumentError, FieldError

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")
REMEDY = "correct the document"


def decode_document(kind: type[T], data: bytes) -> T:
    """Decode a document; raise DocumentError that names every unknown field."""
    try:
        raw = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise DocumentError((FieldError("$", str(error), "JSON", REMEDY),)) from error
    return check_document(kind, raw)


def check_document(kind: type[T], raw: object) -> T:
    """Check a decoded document; raise DocumentError on the first wrong field."""
    unknown = tuple(unknown_fields(kind, raw, "$"))
    if unknown:
        raise DocumentError(unknown)
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        raise DocumentError((field_error(str(error)),)) from error


def field_error(message: str) -> FieldError:
    """Split msgspec's message into what was expected, what was got and where."""
    text, _, path = message.partition(" - at ")
    expected, _, got = text.partition(", got ")
    expected = expected.removeprefix("Expected ")
    return FieldError(path.strip("`") or "$", got or "another value", expected, REMEDY)


def unknown_fields(kind: Any, raw: object, path: str) -> Iterator[FieldError]:
    """Yield every field that the type does not declare, however deep."""
    if is_typeddict(kind) and isinstance(raw, dict):
        hints = get_type_hints(kind, include_extras=False)
        for name, value in raw.items():
            where = f"{path}.{name}"
            if name in hints:
                yield from unknown_fields(hints[name], value, where)
            else:
                known = ", ".join(sorted(hints))
                yield FieldError(where, "an unknown field", f"one of {known}", REMEDY)
        return
    origin = get_origin(kind)
    if origin is list and isinstance(raw, list):
        for number, item in enumerate(raw):
            yield from unknown_fields(get_args(kind)[0], item, f"{path}[{number}]")
    elif origin is dict and isinstance(raw, dict):
        for name, item in raw.items():
            yield from unknown_fields(get_args(kind)[1], item, f"{path}.{name}")
    elif origin in (Union, types.UnionType, NotRequired):
        for option in get_args(kind):
            if is_typeddict(option) or get_origin(option) in (list, dict):
                yield from unknown_fields(option, raw, path)
