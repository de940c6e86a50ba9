from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from ..line_framing import (
    encode_line,
    LineBuffer,
    LineTooLong,
    MAX_LINE_BYTES,
    UnsendableText,
)


@given(st.lists(st.text("abc ", min_size=1), min_size=1), st.integers(1, 9))
def test_lines_do_not_depend_on_how_bytes_arrive(texts: list[str], size: int) -> None:
    data = "".join(f"{text}\r\n" for text in texts).encode()
    buffer, found = LineBuffer(), []
    for at in range(0, len(data), size):
        found += buffer.feed(data[at : at + size])
    assert found == texts


@pytest.mark.parametrize("ends", [b"", b"\r\n"])
def test_a_line_over_the_limit_is_refused(ends: bytes) -> None:
    with pytest.raises(LineTooLong):
        LineBuffer().feed(b"x" * (MAX_LINE_BYTES + 2) + ends)


@pytest.mark.parametrize(
    ("reads", "expected"),
    [
        ([b"a\nb\r\n"], ["a\nb"]),
        ([b"a\rb\r\n"], ["a\rb"]),
        ([b"a\n\rb\r\n"], ["a\n\rb"]),
        ([b"a\x00b\r\n"], ["a\x00b"]),
        ([b"a\r\r\n"], ["a\r"]),
        ([b"a\r", b"\nb\r\n"], ["a", "b"]),
        ([b"a\r", b"b\r\n"], ["a\rb"]),
        ([b"a\n", b"b\r", b"\n\r\n"], ["a\nb", ""]),
        ([b"a\n"], []),
        ([b"a\r"], []),
    ],
)
def test_only_a_carriage_return_and_line_feed_end_a_line(
    reads: list[bytes], expected: list[str]
) -> None:
    # A line feed in a field ended a message, and a statement that nobody sent was run.
    buffer = LineBuffer()
    assert [line for data in reads for line in buffer.feed(data)] == expected


@pytest.mark.parametrize(
    "parts",
    [
        ("QUERY", "5c", "WRITE a x\r\nQUERY 5d WRITE b y"),
        ("START", "service", "two words", "i-1"),
        ("START", "service", "", "i-1"),
        ("START", "service", "a\r\nQUERY 5d WRITE b y", "i-1"),
        ("QUERY", "5c", "\udcff"),
        ("QUERY", "5c", "\ud800"),
    ],
)
def test_what_is_not_one_line_is_not_encoded(parts: tuple[str, ...]) -> None:
    with pytest.raises(UnsendableText, match=r"got .*, expected"):
        encode_line(*parts)


@given(st.text())
def test_what_can_be_encoded_is_read_as_it_was(text: str) -> None:
    try:
        data = encode_line("QUERY", "5c", text)
    except UnsendableText:
        return
    assert LineBuffer().feed(data) == [f"QUERY 5c {text}"]
