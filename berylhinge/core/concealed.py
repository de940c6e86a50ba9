"""Hold secrets so that no log or message shows them."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class Concealed(Generic[T]):
    """Wrap a secret whose text form hides it."""

    __slots__ = ("reveal_value",)

    def __init__(self, value: T) -> None:
        """Keep the secret."""
        self.reveal_value = value

    def reveal(self) -> T:
        """Return the secret."""
        return self.reveal_value

    def __repr__(self) -> str:
        """Return a text without the secret."""
        return "Concealed(...)"
