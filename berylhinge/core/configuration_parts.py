"""Split a configuration into content-addressed parts to keep transfers small.

Entries are distributed over parts by the hash of their identifier and each part is
named by its digest, as in a Merkle tree of one level (Merkle, 1987): two versions
share the parts that no change touched, so only changed parts are transferred.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple, NotRequired, TYPE_CHECKING, TypedDict

import msgspec
from returns.result import Failure, Result, Success
from xxhash import xxh3_64_intdigest

from ..errors import FieldError
from ..wire.platform import VALUE_LIMIT_BYTES
from .configuration import Configuration, CONFIGURATION_STORE_KEY, RecordedChange
from .declaration_diff import DECLARATION_SECTIONS
from .declarations import Declaration, empty_declaration

if TYPE_CHECKING:
    from collections.abc import Mapping

PART_TARGET_BYTES = 16_384
INLINE_LIMIT_BYTES = VALUE_LIMIT_BYTES // 2
DIGEST_BYTES = 12


class ConfigurationHead(TypedDict):
    """Describe a version, its changes and the digests of its parts, in order.

    ``inline`` holds the parts themselves if they are small enough.
    """

    version: int
    changes: list[RecordedChange]
    membership_versions: dict[str, int]
    digests: list[str]
    inline: NotRequired[list[Any]]


class SplitConfiguration(NamedTuple):
    """Hold a configuration with its encoded and already decoded parts by digest."""

    configuration: Configuration
    digests: tuple[str, ...]
    encoded_parts: dict[str, bytes]
    decoded_parts: dict[str, Declaration]


ENTRIES_DECODER = msgspec.json.Decoder(list[tuple[str, dict[str, Any]]])


def part_store_key(digest: str) -> str:
    """Return the key that a part is stored under."""
    return f"{CONFIGURATION_STORE_KEY}/{digest}"


def split_configuration(configuration: Configuration) -> SplitConfiguration:
    """Encode a configuration's entries into parts."""
    encoded = encode_parts(configuration.declaration)
    named = [(compute_digest(part), part) for part in encoded]
    digests = tuple(digest for digest, _ in named)
    return SplitConfiguration(configuration, digests, dict(named), {})


def encode_parts(declaration: Declaration) -> list[bytes]:
    """Encode the entries, distributed over parts of about ``PART_TARGET_BYTES``."""
    entries = [
        (
            f"{section}/{entry['id']}",
            msgspec.json.encode((section, entry), order="sorted"),
        )
        for section in DECLARATION_SECTIONS
        for entry in list_entries(declaration, section)
    ]
    size = sum(len(encoded) for _, encoded in entries)
    count = choose_part_count(size)
    buckets: list[list[bytes]] = [[] for _ in range(count)]
    for name, encoded in entries:
        buckets[xxh3_64_intdigest(name.encode()) % count].append(encoded)
    return [b"[" + b",".join(sorted(bucket)) + b"]" for bucket in buckets]


def list_entries(declaration: Declaration, section: str) -> list[dict[str, Any]]:
    """Return the entries of a section."""
    entries: Any = declaration.get(section, [])
    return list(entries)


def choose_part_count(size: int) -> int:
    """Return the power of two that keeps parts at about ``PART_TARGET_BYTES``.

    ``size`` is the length of all encoded entries in bytes.
    """
    count = 1
    while size > count * PART_TARGET_BYTES:
        count *= 2
    return count


def compute_digest(part: bytes) -> str:
    """Return the digest of a part, which is its name."""
    return hashlib.blake2b(part, digest_size=DIGEST_BYTES).hexdigest()


def encode_head(split: SplitConfiguration, *, inline: bool) -> bytes:
    """Encode the head; ``inline`` includes the parts."""
    configuration = split.configuration
    head: ConfigurationHead = {
        "version": configuration.version,
        "changes": list(configuration.changes),
        "membership_versions": configuration.membership_versions,
        "digests": list(split.digests),
    }
    if inline:
        head["inline"] = [
            msgspec.Raw(split.encoded_parts[name]) for name in split.digests
        ]
    return msgspec.json.encode(head)


def encode_for_peer(split: SplitConfiguration) -> bytes:
    """Encode the head without the fields that only an edit of the store needs."""
    configuration = split.configuration._replace(changes=(), membership_versions={})
    return encode_head(split._replace(configuration=configuration), inline=False)


def encode_for_store(split: SplitConfiguration) -> tuple[bytes, dict[str, bytes]]:
    """Encode the head and return it with the parts to store under their own keys."""
    head = encode_head(split, inline=True)
    if len(head) <= INLINE_LIMIT_BYTES:
        return head, {}
    return encode_head(split, inline=False), dict(split.encoded_parts)


def decode_head(
    value: bytes | str,
) -> Result[ConfigurationHead, tuple[FieldError, ...]]:
    """Decode a head, or return why it is invalid."""
    try:
        return Success(msgspec.json.decode(value, type=ConfigurationHead))
    except msgspec.MsgspecError as error:
        remedy = "restore the stored configuration or apply a declaration anew"
        return Failure((FieldError("configuration", str(error), "a head", remedy),))


def find_missing_parts(
    head: ConfigurationHead, known: Mapping[str, bytes]
) -> tuple[str, ...]:
    """Return the digests of a head's parts that must be fetched."""
    if "inline" in head:
        return ()
    return tuple(digest for digest in head["digests"] if digest not in known)


def assemble_configuration(
    head: ConfigurationHead,
    known: Mapping[str, bytes],
    *,
    previous: SplitConfiguration | None = None,
) -> Result[SplitConfiguration, tuple[FieldError, ...]]:
    """Build the configuration of a head; decoded parts of ``previous`` are reused."""
    old_parts = previous.encoded_parts if previous else {}
    old_decoded = previous.decoded_parts if previous else {}
    encoded = select_parts(head, known)
    if len(encoded) != len(head["digests"]):
        return reject_parts(f"{len(encoded)} parts")
    parts = dict(zip(head["digests"], encoded, strict=True))
    decoded: dict[str, Declaration] = {}
    for digest in head["digests"]:
        if digest in old_decoded:
            parts[digest] = old_parts[digest]
            decoded[digest] = old_decoded[digest]
            continue
        if compute_digest(parts[digest]) != digest:
            return reject_parts(f"a part whose digest is not {digest}")
        part = decode_part(parts[digest])
        if isinstance(part, Failure):
            return part
        decoded[digest] = part.unwrap()
    configuration = Configuration(
        head["version"],
        tuple(head["changes"]),
        head["membership_versions"],
        join_declarations(list(decoded.values())),
    )
    digests = tuple(head["digests"])
    return Success(SplitConfiguration(configuration, digests, parts, decoded))


def select_parts(head: ConfigurationHead, known: Mapping[str, bytes]) -> list[bytes]:
    """Return the encoded parts of a head: inline ones, or else known ones."""
    if "inline" in head:
        return [msgspec.json.encode(part) for part in head["inline"]]
    return [known.get(digest, b"") for digest in head["digests"]]


def decode_part(part: bytes) -> Result[Declaration, tuple[FieldError, ...]]:
    """Decode one part's entries into the sections of a declaration."""
    declaration: Any = empty_declaration()
    try:
        for section, entry in ENTRIES_DECODER.decode(part):
            declaration[section].append(entry)
        # Field values were validated before the swap; only types are checked here.
        return Success(msgspec.convert(declaration, Declaration))
    except (msgspec.MsgspecError, KeyError) as error:
        return reject_parts(str(error))


def reject_parts(got: str) -> Failure[tuple[FieldError, ...]]:
    """Return the error for parts that do not match their head."""
    remedy = "fetch the parts again, or apply a declaration anew"
    expected = "the entries that the head names"
    return Failure((FieldError("configuration", got, expected, remedy),))


def join_declarations(declarations: list[Declaration]) -> Declaration:
    """Join declarations into one that holds all of their entries."""
    entries: Any = empty_declaration()
    for declaration in declarations:
        for section in DECLARATION_SECTIONS:
            entries[section] += list_entries(declaration, section)
    joined: Declaration = entries
    return joined
