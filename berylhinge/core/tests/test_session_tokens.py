from __future__ import annotations

from base64 import urlsafe_b64encode

import msgspec
import pytest
import xxhash
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from ...errors import Refusal
from ...reasons import RefusalReason
from ...types import LogPoint, StatementOutcome
from ..session_tokens import (
    advance_token,
    decode_session_token,
    encode_session_token,
    SessionToken,
)

TOKEN = SessionToken("rota-0", 3, 41)
TEXT = encode_session_token(TOKEN)


def packed(*fields: object) -> str:
    body = msgspec.msgpack.encode(fields)
    return urlsafe_b64encode(body + xxhash.xxh32_digest(body)).decode().rstrip("=")


def refusal_of(text: str, group: str = "rota-0") -> Refusal:
    result = decode_session_token(text, group=group)
    assert isinstance(result, Failure)
    refusal = result.failure()
    assert isinstance(refusal, Refusal)
    return refusal


@pytest.mark.parametrize(
    "token", [TOKEN, SessionToken("å", 0, 0), SessionToken("g", 2**61, 1)]
)
def test_encoded_tokens_decode_to_the_same_token(token: SessionToken) -> None:
    text = encode_session_token(token)
    assert decode_session_token(text, group=token.group) == Success(token)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "A",
        "====",
        TEXT[:-1],
        TEXT[1:],
        TEXT + "A",
        TEXT + "=",
        TEXT.swapcase(),
        "å" * 8,
        "A" * 10_000,
        packed("rota-0", 1),
        packed("rota-0", -1, 2),
        packed("rota-0", 1, 2**63),
        packed("rota-0", 1.5, 2),
        packed("", 1, 2),
        packed("x" * 200, 1, 2),
        packed(None, 1, 2),
        packed("rota-0", True, 2),
        urlsafe_b64encode(b"\xc1" + xxhash.xxh32_digest(b"\xc1")).decode(),
    ],
)
def test_malformed_tokens_are_refused(text: str) -> None:
    refusal = refusal_of(text)
    assert refusal.reason is RefusalReason.MALFORMED_SESSION
    assert refusal.outcome is StatementOutcome.NOT_RUN


def test_a_refused_token_of_another_group_names_both_groups() -> None:
    refusal = refusal_of(TEXT, group="rota-1")
    assert refusal.reason is RefusalReason.FOREIGN_SESSION
    assert "rota-0" in refusal.detail
    assert "rota-1" in refusal.detail


@settings(derandomize=True, max_examples=200)
@given(st.one_of(st.text(max_size=80), st.binary(max_size=60).map(str)))
def test_random_text_never_raises(text: str) -> None:
    assert isinstance(decode_session_token(text, group="rota-0"), Failure)


@pytest.mark.parametrize(
    "point,expected",
    [((3, 40), (3, 41)), ((3, 42), (3, 42)), ((2, 99), (3, 41)), ((4, 1), (4, 1))],
)
def test_merge_never_moves_a_token_backwards(
    point: tuple[int, int], expected: tuple[int, int]
) -> None:
    merged = advance_token(TOKEN, LogPoint(*point))
    assert merged.point == expected
    assert merged.group == TOKEN.group
