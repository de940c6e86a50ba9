from __future__ import annotations

import json
from random import Random

import pytest

from ...reasons import RefusalReason
from ..api_keys import authenticate_key, extract_key_id, grant_key
from ..declaration_index import build_index
from .sample_declarations import parsed_sample

RNG = Random(7)
GRANTED = grant_key("ark", RNG.randbytes)
WITHDRAWN = grant_key("bod", RNG.randbytes)
INDEX = build_index(
    parsed_sample(keys=[GRANTED.record, {**WITHDRAWN.record, "state": "withdrawn"}])
)
TEXT = GRANTED.text.reveal()
OTHER = WITHDRAWN.text.reveal()


@pytest.mark.parametrize(
    "header", [f"Bearer {TEXT}", f"bearer {TEXT}", f"Bearer  {TEXT} "]
)
def test_granted_key_is_accepted(header: str) -> None:
    assert authenticate_key(INDEX, header).unwrap() == "ark"


@pytest.mark.parametrize(
    "header, reason",
    [
        (None, RefusalReason.MISSING_KEY),
        ("", RefusalReason.MISSING_KEY),
        (TEXT, RefusalReason.INVALID_KEY),
        ("Bearer", RefusalReason.INVALID_KEY),
        (f"Basic {TEXT}", RefusalReason.INVALID_KEY),
        (f"Bearer {TEXT}x", RefusalReason.INVALID_KEY),
        (f"Bearer {TEXT[:-1]}", RefusalReason.INVALID_KEY),
        (f"Bearer bh_{GRANTED.record['id']}_", RefusalReason.INVALID_KEY),
        ("Bearer bh_unknown_secret", RefusalReason.INVALID_KEY),
        ("Bearer bh__", RefusalReason.INVALID_KEY),
        ("Bearer bh_\xff_\udcff", RefusalReason.INVALID_KEY),
        (f"Bearer {TEXT}{'x' * 10_000}", RefusalReason.INVALID_KEY),
        (f"Bearer {OTHER}", RefusalReason.WITHDRAWN_KEY),
        (f"Bearer {OTHER}x", RefusalReason.INVALID_KEY),
        (
            f"Bearer bh_{GRANTED.record['id']}_{OTHER.split('_', 2)[2]}",
            RefusalReason.INVALID_KEY,
        ),
    ],
)
def test_invalid_key_is_refused(header: str | None, reason: RefusalReason) -> None:
    assert authenticate_key(INDEX, header).failure().reason is reason


def test_secret_is_neither_stored_nor_shown() -> None:
    secret = TEXT.split("_", 2)[2]
    shown = f"{GRANTED} {GRANTED.text} {json.dumps(GRANTED.record)}"
    assert secret not in shown
    assert TEXT not in shown


def test_random_bytes_come_from_given_source() -> None:
    requested_sizes: list[int] = []

    def random_bytes(count: int) -> bytes:
        requested_sizes.append(count)
        return bytes(range(count))

    assert grant_key("ark", random_bytes).record["id"] == "0001020304050607"
    assert sorted(requested_sizes) == [8, 16, 32]


def test_key_id_is_extracted_without_verification() -> None:
    assert extract_key_id(f"Bearer {TEXT}") == GRANTED.record["id"]
    assert extract_key_id(None) is None
