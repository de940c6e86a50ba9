from __future__ import annotations

import pytest
from returns.result import Success

from ...reasons import RefusalReason
from ..key_freshness import (
    check_keys_proven,
    KEY_PROOF_SECONDS,
    KeyProofs,
    new_key_proofs,
    record_attestation,
    record_store_read,
)

CHOSEN = ("a", "b", "c", "d", "e")
OWN_VERSION = 7


def attested(*proofs: tuple[str, int, float]) -> KeyProofs:
    state = new_key_proofs()
    for attester, version, sent_at in proofs:
        state = record_attestation(state, attester, version, sent_at)
    return state


def is_fresh(state: KeyProofs, now: float, chosen: tuple[str, ...] = CHOSEN) -> bool:
    checked = check_keys_proven(state, OWN_VERSION, chosen, now)
    return isinstance(checked, Success)


@pytest.mark.parametrize(
    ("version", "sent_at", "now", "fresh"),
    [
        (7, 10.0, 10.0, True),
        (6, 10.0, 10.0, True),
        (8, 10.0, 10.0, False),
        (7, 10.0, 10.0 + KEY_PROOF_SECONDS * 0.98, True),
        (7, 10.0, 10.0 + KEY_PROOF_SECONDS, False),
    ],
)
def test_a_recent_store_read_without_a_newer_version_is_a_proof(
    version: int, sent_at: float, now: float, fresh: bool
) -> None:
    state = record_store_read(new_key_proofs(), version, sent_at)
    assert is_fresh(state, now) is fresh


@pytest.mark.parametrize(
    ("proofs", "fresh"),
    [
        ([("a", 7, 10.0), ("b", 7, 10.0), ("c", 7, 10.0)], True),
        ([("a", 7, 10.0), ("b", 7, 10.0)], False),
        ([("a", 7, 10.0), ("b", 7, 10.0), ("c", 8, 10.0)], False),
        ([("a", 7, 10.0), ("b", 7, 10.0), ("c", 7, 6.0)], False),
        ([("a", 7, 10.0), ("b", 7, 10.0), ("z", 7, 10.0)], False),
        ([("a", 7, 10.0), ("b", 7, 10.0), ("c", 7, 10.0), ("c", 8, 9.0)], True),
        ([("a", 7, 10.0), ("b", 7, 10.0), ("c", 7, 9.0), ("c", 8, 10.0)], False),
        ([], False),
    ],
)
def test_a_majority_of_the_attesting_instances_is_a_proof(
    proofs: list[tuple[str, int, float]], fresh: bool
) -> None:
    assert is_fresh(attested(*proofs), 10.5) is fresh


def test_without_attesting_instances_only_the_store_is_a_proof() -> None:
    assert not is_fresh(attested(("a", 7, 10.0)), 10.0, chosen=())
    assert is_fresh(record_store_read(new_key_proofs(), 7, 10.0), 10.0, chosen=())


def test_an_older_store_read_does_not_replace_a_newer_one() -> None:
    state = record_store_read(new_key_proofs(), 7, 10.0)
    state = record_store_read(state, 7, 5.0)
    assert is_fresh(state, 11.0)


def test_unproven_keys_are_refused_with_their_reason() -> None:
    refusal = check_keys_proven(new_key_proofs(), OWN_VERSION, CHOSEN, 10.0).failure()
    assert refusal.reason is RefusalReason.KEYS_UNPROVEN
