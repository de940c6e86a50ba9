"""Generate, hash and verify the keys that authenticate organisations."""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import NamedTuple, TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason
from .declaration_index import IndexedKey
from .secret_value import SecretValue

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..types import KeyId, OrganisationId
    from .declaration_index import DeclarationIndex
    from .declarations import Key

KEY_TEXT_PREFIX = "bh"
KEY_ID_BYTES = 8
KEY_SECRET_BYTES = 32
KEY_SALT_BYTES = 16
KEY_HASH_BYTES = 32
HASH_PURPOSE = b"berylhinge-key"
KEY_TEXT_LIMIT_CHARACTERS = 200
UNKNOWN_KEY = IndexedKey(
    "", bytes(KEY_SALT_BYTES), bytes(KEY_HASH_BYTES), withdrawn=True
)


class GrantedKey(NamedTuple):
    """Hold the stored record of a new key and its text, which is shown only once."""

    record: Key
    text: SecretValue[str]


class PresentedKey(NamedTuple):
    """Represent a key that a caller presented, as identifier and secret."""

    id: KeyId
    secret: SecretValue[bytes]


def grant_key(
    organisation: OrganisationId, random_bytes: Callable[[int], bytes]
) -> GrantedKey:
    """Generate a key with a 256-bit secret.

    ``random_bytes`` must be a cryptographic random source.
    """
    key_id = random_bytes(KEY_ID_BYTES).hex()
    secret = encode_secret(random_bytes(KEY_SECRET_BYTES))
    salt = random_bytes(KEY_SALT_BYTES)
    record: Key = {
        "id": key_id,
        "organisation": organisation,
        "salt": base64.b64encode(salt).decode(),
        "hash": base64.b64encode(hash_secret(secret.encode(), salt)).decode(),
        "state": "granted",
    }
    return GrantedKey(record, SecretValue(f"{KEY_TEXT_PREFIX}_{key_id}_{secret}"))


def encode_secret(secret: bytes) -> str:
    """Encode a secret as unpadded URL-safe base64."""
    return base64.urlsafe_b64encode(secret).rstrip(b"=").decode()


def hash_secret(secret: bytes, salt: bytes) -> bytes:
    """Hash a high-entropy secret with salted BLAKE2b (RFC 7693)."""
    return hashlib.blake2b(
        secret, digest_size=KEY_HASH_BYTES, salt=salt, person=HASH_PURPOSE
    ).digest()


def authenticate_key(
    index: DeclarationIndex, authorization_header: str | None
) -> Result[OrganisationId, Refusal]:
    """Return the organisation authenticated by the header's key, or the refusal."""
    if not authorization_header:
        return Failure(
            make_refusal(RefusalReason.MISSING_KEY, "no Authorization header")
        )
    presented = parse_authorization(authorization_header)
    if presented is None:
        detail = "the Authorization header is not Bearer KEY"
        return Failure(make_refusal(RefusalReason.INVALID_KEY, detail))
    # An unknown identifier takes the same hash and comparison as a known one.
    key = index.keys.get(presented.id, UNKNOWN_KEY)
    presented_hash = hash_secret(presented.secret.reveal(), key.salt)
    if not hmac.compare_digest(presented_hash, key.hash):
        return Failure(make_refusal(RefusalReason.INVALID_KEY, "no such key"))
    if key.withdrawn:
        return Failure(
            make_refusal(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn")
        )
    return Success(key.organisation)


def parse_authorization(header: str) -> PresentedKey | None:
    """Parse ``Bearer bh_ID_SECRET``; return None for any other form."""
    scheme, _, text = header.partition(" ")
    if scheme.lower() != "bearer" or len(text) > KEY_TEXT_LIMIT_CHARACTERS:
        return None
    if not text.isascii():
        return None
    parts = text.strip().split("_", 2)
    if len(parts) != 3 or parts[0] != KEY_TEXT_PREFIX or not parts[1]:
        return None
    return PresentedKey(parts[1], SecretValue(parts[2].encode()))


def extract_key_id(authorization_header: str | None) -> KeyId | None:
    """Return the key identifier in a header without verifying the key."""
    presented = parse_authorization(authorization_header or "")
    return presented.id if presented else None
