"""Wrap secrets to keep them out of logs and error messages."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class SecretValue(Generic[T]):
    """Wrap a secret value; its text form does not show the value."""

    __slots__ = ("reveal_value",)

    def __init__(self, value: T) -> None:
        """Store the secret."""
        self.reveal_value = value

    def reveal(self) -> T:
        """Return the secret."""
        return self.reveal_value

    def __repr__(self) -> str:
        """Return a placeholder without the secret."""
        return "Concealed(...)"
