"""Decode the load tool's JSON documents strictly."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING, TypeVar

from returns.pipeline import is_successful

from ..core.document_reader import convert_document, parse_json
from ..errors import DocumentError

if TYPE_CHECKING:
    from returns.result import Result

    from ..errors import FieldError

T = TypeVar("T")


def decode_document(kind: type[T], data: bytes) -> T:
    """Decode a document of a type; raise DocumentError naming every bad field."""
    return unwrap(convert_document(unwrap(parse_json(data)), kind))


def unwrap(result: Result[Any, tuple[FieldError, ...]]) -> Any:
    """Return the success; raise DocumentError."""
    if is_successful(result):
        return result.unwrap()
    raise DocumentError(result.failure())
