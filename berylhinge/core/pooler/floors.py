"""Find the log position that a read must have reached, its floor.

An answer that proves that a database is primary names a log position at or past every
commit acknowledged before the request was sent. So a read that accepts data of age
``A`` may use the lowest position whose request was sent within the last ``A``.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import LogPoint, Seconds

# Clocks of two instances drift apart by less than this fraction (hardware oscillators).
CLOCK_DRIFT_FRACTION = 0.01
# Proofs of one position that are closer together are kept as one, to bound the history.
MIN_PROOF_SPACING_SECONDS = 0.04
# Older proofs are dropped; no declared staleness is expected to exceed this.
PROOF_RETENTION_SECONDS = 6.0


class FloorProof(NamedTuple):
    """Bound from above each commit acknowledged before ``asked_at``."""

    asked_at: Seconds
    point: LogPoint


class FloorHistory:
    """Hold the proofs of one service, oldest first; changed in place."""

    __slots__ = ("proofs",)

    def __init__(self) -> None:
        """Start without a proof."""
        self.proofs: list[FloorProof] = []


def record_proof(floors: FloorHistory, proof: FloorProof, now: Seconds) -> None:
    """Add a proof; ignore one of an older term or request than the newest."""
    proofs = floors.proofs
    if proofs:
        newest = proofs[-1]
        if proof.point.term < newest.point.term or proof.asked_at <= newest.asked_at:
            return
        if (
            proof.asked_at - newest.asked_at < MIN_PROOF_SPACING_SECONDS
            and proof.point == newest.point
        ):
            return
    proofs.append(proof)
    horizon = now - PROOF_RETENTION_SECONDS
    if proofs[0].asked_at < horizon and len(proofs) > 1:
        floors.proofs = [kept for kept in proofs if kept.asked_at >= horizon]


def read_floor(
    floors: FloorHistory, arrived_at: Seconds, staleness_seconds: Seconds
) -> LogPoint | None:
    """Return the lowest sufficient position, or None when no proof is recent enough.

    Only proofs of the newest term count: a position of an earlier term may have been
    rolled back by the promotion and be missing from every log.
    """
    if not floors.proofs:
        return None
    oldest = arrived_at - staleness_seconds * (1.0 - CLOCK_DRIFT_FRACTION)
    for proof in floors.proofs:
        if proof.asked_at >= oldest:
            return proof.point
    return None


def lag_of(floors: FloorHistory, point: LogPoint, now: Seconds) -> Seconds:
    """Return the greatest age of the data at a position, infinity when unknown."""
    for proof in reversed(floors.proofs):
        if proof.point <= point:
            return max(0.0, now - proof.asked_at)
    return float("inf")


def newest_proof(floors: FloorHistory) -> FloorProof | None:
    """Return the newest proof."""
    return floors.proofs[-1] if floors.proofs else None
