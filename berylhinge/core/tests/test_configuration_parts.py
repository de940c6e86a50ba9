from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ..configuration import Configuration
from ..configuration_parts import (
    assemble_configuration,
    decode_head,
    encode_for_peer,
    encode_for_store,
    encode_head,
    find_missing_parts,
    split_configuration,
)
from ..declaration_diff import diff_declarations
from .sample_declarations import parsed_sample, upstream_record


def configuration(count: int, *, version: int = 7, **changes: Any) -> Configuration:
    upstreams = [
        upstream_record(
            number,
            data=f"10.1.{number // 200}.1:{1 + number % 200}",
            control=f"10.2.{number // 200}.1:{1 + number % 200}",
        )
        for number in range(count)
    ]
    changed = [{**upstreams[0], **changes}, *upstreams[1:]]
    declaration = parsed_sample(upstreams=changed)
    return Configuration(
        version, ({"id": "c", "version": version},), {"g1": 3}, declaration
    )


def test_small_configuration_is_stored_inline() -> None:
    split = split_configuration(configuration(6))
    value, parts = encode_for_store(split)
    head = decode_head(value).unwrap()
    assert parts == {}
    assert find_missing_parts(head, {}) == ()
    found = assemble_configuration(head, {}).unwrap()
    declaration = found.configuration.declaration
    assert diff_declarations(declaration, split.configuration.declaration) == ()
    assert found.configuration[:3] == split.configuration[:3]
    assert found[1:3] == split[1:3]


def test_large_configuration_is_split_below_store_limit() -> None:
    split = split_configuration(configuration(4_000))
    value, parts = encode_for_store(split)
    assert len(parts) > 1
    assert max(map(len, [value, *parts.values()])) < 100_000
    head = decode_head(value).unwrap()
    assert set(find_missing_parts(head, {})) == set(parts)
    found = assemble_configuration(head, parts).unwrap()
    assert found.digests == split.digests
    assert found.configuration.version == 7


def test_encoding_for_peer_omits_changes() -> None:
    split = split_configuration(configuration(600))
    head = decode_head(encode_for_peer(split)).unwrap()
    found = assemble_configuration(head, split.encoded_parts).unwrap()
    assert found.digests == split.digests
    assert found.configuration[:3] == (7, (), {})


def test_one_change_requires_one_part() -> None:
    before = split_configuration(configuration(4_000))
    after = split_configuration(configuration(4_000, version=8, slots=9))
    head = decode_head(encode_head(after, inline=False)).unwrap()
    assert len(find_missing_parts(head, before.encoded_parts)) == 1


def test_unchanged_parts_are_reused() -> None:
    before = split_configuration(configuration(600))
    head = decode_head(encode_head(before, inline=False)).unwrap()
    assembled = assemble_configuration(head, before.encoded_parts).unwrap()
    after = split_configuration(configuration(600, version=8, slots=9))
    head = decode_head(encode_head(after, inline=False)).unwrap()
    (fetched,) = find_missing_parts(head, assembled.encoded_parts)
    known = {**assembled.encoded_parts, fetched: after.encoded_parts[fetched]}
    found = assemble_configuration(head, known, previous=assembled).unwrap()
    declaration = found.configuration.declaration
    assert diff_declarations(declaration, after.configuration.declaration) == ()
    kept = set(found.digests) - {fetched}
    assert kept
    assert all(
        found.decoded_parts[name] is assembled.decoded_parts[name] for name in kept
    )


def test_altered_part_is_rejected() -> None:
    split = split_configuration(configuration(600))
    head = decode_head(encode_head(split, inline=False)).unwrap()
    altered = {**split.encoded_parts, split.digests[0]: b"[]"}
    assert assemble_configuration(head, altered).failure()


@pytest.mark.parametrize(
    "changes",
    [
        {"digests": []},
        {"digests": ["00"]},
        {"inline": [[]]},
        {"inline": [[["organisations", {"id": 1}]]]},
    ],
)
def test_head_with_other_parts_is_rejected(changes: dict[str, Any]) -> None:
    value, _ = encode_for_store(split_configuration(configuration(6)))
    head = {**msgspec.json.decode(value), **changes}
    assert assemble_configuration(head, {}).failure()  # type: ignore[arg-type]


@pytest.mark.parametrize("value", ["", "{", "[]", '{"version": 1}', b"\xff"])
def test_invalid_head_is_rejected(value: bytes | str) -> None:
    assert decode_head(value).failure()
