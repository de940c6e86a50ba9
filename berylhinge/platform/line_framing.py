"""Split a byte stream into lines, and join fields into one line.

Only a carriage return followed by a line feed ends a line. Each of them alone is part of
a field, and so is every other control character.
"""

from __future__ import annotations

# The platform's limit for one message.
MAX_LINE_BYTES = 1 << 20
LINE_END = "\r\n"
LINE_END_BYTES = LINE_END.encode()


class LineTooLong(ValueError):
    """Report a message that exceeds ``MAX_LINE_BYTES``."""


class UnsendableText(ValueError):
    """Report fields that the recipient would not read as one line."""


class LineBuffer:
    """Split a byte stream into lines; bytes that are not UTF-8 become surrogates."""

    __slots__ = ("buffer", "scanned")

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()
        self.scanned = 0

    def feed(self, data: bytes) -> list[str]:
        """Add bytes and return the lines that are complete; raise LineTooLong."""
        self.buffer += data
        end = self.buffer.rfind(LINE_END_BYTES, self.scanned)
        if end < 0:
            # The line feed of a last carriage return may come with the next bytes.
            self.scanned = max(0, len(self.buffer) - 1)
            if len(self.buffer) > MAX_LINE_BYTES:
                raise LineTooLong
            return []
        complete = bytes(self.buffer[:end]).split(LINE_END_BYTES)
        del self.buffer[: end + len(LINE_END_BYTES)]
        self.scanned = max(0, len(self.buffer) - 1)
        if any(len(line) > MAX_LINE_BYTES for line in complete):
            raise LineTooLong
        return [line.decode("utf-8", "surrogateescape") for line in complete]


def is_text(line: str) -> bool:
    """Tell whether all bytes of a received line were UTF-8."""
    if line.isascii():
        return True
    try:
        line.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_sendable(text: str) -> bool:
    """Tell whether a text can be the last field of a line."""
    return LINE_END not in text and is_text(text)


def is_field(text: str) -> bool:
    """Tell whether a text can be any field of a line."""
    return bool(text) and " " not in text and is_sendable(text)


def check_field(text: str) -> None:
    """Raise UnsendableText unless a text can be any field of a line."""
    if not is_field(text):
        raise UnsendableText(
            f"got {text[:40]!r}, expected a field without blanks and line ends"
        )


def encode_line(*parts: str) -> bytes:
    """Join the parts into one line; raise UnsendableText."""
    *fields, last = parts
    for field in fields:
        check_field(field)
    if not is_sendable(last):
        raise UnsendableText(f"got {last[:40]!r}, expected UTF-8 without line ends")
    return (" ".join(parts) + LINE_END).encode()
