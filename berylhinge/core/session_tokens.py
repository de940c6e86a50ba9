"""Encode and decode session tokens."""

from __future__ import annotations

import binascii
from base64 import b64decode, urlsafe_b64encode
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason
from ..types import GroupId, LogPoint, Position, Term

CHECKSUM_BYTES = 4
MAX_TOKEN_CHARACTERS = 256
MAX_GROUP_CHARACTERS = 128
LOG_NUMBER_LIMIT = 2**62
_BASE64_GROUP_CHARACTERS = 4

_Number = Annotated[int, msgspec.Meta(ge=0, lt=LOG_NUMBER_LIMIT)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_GROUP_CHARACTERS)]


class SessionToken(NamedTuple):
    """Carry the newest confirmed log position that a session has reached."""

    group: GroupId
    term: Term
    position: Position

    @property
    def point(self) -> LogPoint:
        """Return the log position."""
        return LogPoint(self.term, self.position)


class _Packed(NamedTuple):
    group: _Name
    term: _Number
    position: _Number


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Packed)


def encode_session_token(token: SessionToken) -> str:
    """Encode a token as opaque text."""
    body = _ENCODER.encode(token)
    packed = urlsafe_b64encode(body + _checksum(body))
    return packed.rstrip(b"=").decode("ascii")


def decode_session_token(text: str, *, group: GroupId) -> Result[SessionToken, Refusal]:
    """Decode a token; refuse with MALFORMED_SESSION or FOREIGN_SESSION."""
    if not 0 < len(text) <= MAX_TOKEN_CHARACTERS:
        return _malformed(f"got {len(text)} characters")
    if "=" in text:
        return _malformed("got padding")
    padding = "=" * (-len(text) % _BASE64_GROUP_CHARACTERS)
    try:
        raw = b64decode(text + padding, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return _malformed("got characters outside base64url")
    body, checksum = raw[:-CHECKSUM_BYTES], raw[-CHECKSUM_BYTES:]
    if _checksum(body) != checksum:
        return _malformed("got a wrong checksum")
    try:
        packed = _DECODER.decode(body)
    except (msgspec.DecodeError, ValueError):
        return _malformed("got wrong fields")
    if packed.group != group:
        return Failure(_foreign(packed.group, group))
    return Success(SessionToken(*packed))


def advance_token(token: SessionToken, point: LogPoint) -> SessionToken:
    """Advance the token to a confirmed log position; never move it backwards."""
    if point <= token.point:
        return token
    return SessionToken(token.group, point.term, point.position)


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh32_digest(body)


def _malformed(got: str) -> Result[SessionToken, Refusal]:
    detail = f"{got}, expected a token of this service; send it as it was returned"
    return Failure(make_refusal(RefusalReason.MALFORMED_SESSION, detail))


def _foreign(got: GroupId, expected: GroupId) -> Refusal:
    detail = f"got a token of group {got}, expected {expected}; keep one token a route"
    return make_refusal(RefusalReason.FOREIGN_SESSION, detail)
