"""Decide whether an instance may trust its copy of the API keys.

The copy is proven current by a read of the store, or by a majority of the instances
chosen to attest that they know no newer version. Each proof counts from the time at
which its request was sent.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from returns.result import Failure, Result, Success

from ..errors import make_refusal, Refusal
from ..reasons import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..types import InstanceId, Seconds

KEY_PROOF_SECONDS = 3.0
CLOCK_DRIFT_FRACTION = 0.01


class VersionProof(NamedTuple):
    """Describe the version in an answer, and when its request was sent."""

    sent_at: Seconds
    version: int


class KeyProofs(NamedTuple):
    """Describe the newest proof from the store and from each attesting instance."""

    store: VersionProof | None
    attestations: dict[InstanceId, VersionProof]


def new_key_proofs() -> KeyProofs:
    """Return a state that has no proofs."""
    return KeyProofs(None, {})


def record_store_read(state: KeyProofs, version: int, sent_at: Seconds) -> KeyProofs:
    """Record a read of the store, unless a later read is already recorded."""
    if state.store is not None and state.store.sent_at > sent_at:
        return state
    return state._replace(store=VersionProof(sent_at, version))


def record_attestation(
    state: KeyProofs, attester: InstanceId, version: int, sent_at: Seconds
) -> KeyProofs:
    """Record an attestation in place, unless a later one is already recorded."""
    recorded = state.attestations.get(attester)
    if recorded is None or recorded.sent_at <= sent_at:
        state.attestations[attester] = VersionProof(sent_at, version)
    return state


def last_proof_time(
    state: KeyProofs, own_version: int, chosen: Collection[InstanceId]
) -> Seconds:
    """Return when ``own_version`` was last proven current, minus infinity if never."""
    never = float("-inf")
    store = state.store
    by_store = store.sent_at if store and store.version <= own_version else never
    times = sorted(
        (
            proof.sent_at
            for attester in chosen
            if (proof := state.attestations.get(attester))
            and proof.version <= own_version
        ),
        reverse=True,
    )
    majority = len(chosen) // 2 + 1
    by_attestations = (
        times[majority - 1] if chosen and len(times) >= majority else never
    )
    return max(by_store, by_attestations)


def check_keys_proven(
    state: KeyProofs,
    own_version: int,
    chosen: Collection[InstanceId],
    now: Seconds,
) -> Result[Seconds, Refusal]:
    """Return the time until which keys may be trusted, or a refusal."""
    until = last_proof_time(state, own_version, chosen) + KEY_PROOF_SECONDS * (
        1 - CLOCK_DRIFT_FRACTION
    )
    if now < until:
        return Success(until)
    detail = f"no proof within {KEY_PROOF_SECONDS} s that keys are current"
    return Failure(make_refusal(RefusalReason.KEYS_UNPROVEN, detail))
