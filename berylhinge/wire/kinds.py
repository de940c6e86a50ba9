"""Name the kind under which a message is sent between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


def sent_as(kind: str) -> Callable[[type[T]], type[T]]:
    """Fix a message class's kind on the wire, so that the class can be renamed.

    Type checkers take an attribute in the body of a NamedTuple for a field.
    """

    def set_kind(message_type: type[T]) -> type[T]:
        """Set the attribute that ``kind_of`` returns."""
        message_type.wire_kind = kind  # type: ignore[attr-defined]
        return message_type

    return set_kind


def kind_of(message_type: type) -> str:
    """Return a message's kind on the wire: ``wire_kind`` if set, else the class name."""
    kind: str = getattr(message_type, "wire_kind", message_type.__name__)
    return kind
