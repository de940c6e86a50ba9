"""Name the kind under which a message is sent between instances."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Message = TypeVar("Message")


def sent_as(wire_kind: str) -> Callable[[type[Message]], type[Message]]:
    """Fix a message class's kind on the wire, so that the class can be renamed.

    Type checkers take an attribute in the body of a NamedTuple for a field.
    """

    def set_kind(message_class: type[Message]) -> type[Message]:
        """Set the attribute that ``kind_of`` returns."""
        message_class.wire_kind = wire_kind  # type: ignore[attr-defined]
        return message_class

    return set_kind


def kind_of(message_class: type) -> str:
    """Return a message's kind on the wire: its ``wire_kind`` or else the class name."""
    kind: str = getattr(message_class, "wire_kind", message_class.__name__)
    return kind


def omit_defaults(message: Any) -> Any:
    """Return a message's fields without the last ones that have their defaults.

    An instance of the former version refuses a message with more fields than it knows.
    """
    defaults = getattr(message, "_field_defaults", None)
    if not defaults:
        return message
    end = len(message)
    for name in reversed(message._fields):
        if name not in defaults or message[end - 1] != defaults[name]:
            break
        end -= 1
    return message[:end]
