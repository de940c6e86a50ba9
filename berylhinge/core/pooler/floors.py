"""Find the log position that a read must have reached.

An answer by which a database proves that it leads names a position at or past every
commit acknowledged before the question was sent. So a read that accepts data of age
``A`` may take the lowest position whose question was sent within the last ``A``.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import LogPoint, Seconds

# Clocks of two instances run apart by less than this part (hardware oscillators).
CLOCK_MARGIN = 0.01
# Proofs that are this close together are kept as one, to bound the history.
MIN_SPACING_SECONDS = 0.04
# No declared staleness is expected to exceed this, so older proofs are dropped.
HISTORY_SECONDS = 6.0


class Proof(NamedTuple):
    """Bound from above each commit acknowledged before ``asked_at``."""

    asked_at: Seconds
    point: LogPoint


class Floors:
    """Hold a service's proofs, oldest first; changed in place."""

    __slots__ = ("proofs",)

    def __init__(self) -> None:
        """Start without a proof."""
        self.proofs: list[Proof] = []


def record(floors: Floors, proof: Proof, now: Seconds) -> None:
    """Add a proof; one of an older term than the newest known proves nothing."""
    proofs = floors.proofs
    if proofs:
        newest = proofs[-1]
        if proof.point.term < newest.point.term or proof.asked_at <= newest.asked_at:
            return
        if (
            proof.asked_at - newest.asked_at < MIN_SPACING_SECONDS
            and proof.point == newest.point
        ):
            return
    proofs.append(proof)
    horizon = now - HISTORY_SECONDS
    if proofs[0].asked_at < horizon and len(proofs) > 1:
        floors.proofs = [kept for kept in proofs if kept.asked_at >= horizon]


def floor_for(
    floors: Floors, arrived_at: Seconds, staleness_seconds: Seconds
) -> LogPoint | None:
    """Return the lowest position that suffices, or None when no proof is young enough.

    Only proofs of the newest term count: a position of an earlier one may have been
    rolled back by the promotion, and be unknown to every log.
    """
    if not floors.proofs:
        return None
    oldest = arrived_at - staleness_seconds * (1.0 - CLOCK_MARGIN)
    for proof in floors.proofs:
        if proof.asked_at >= oldest:
            return proof.point
    return None


def lag_of(floors: Floors, point: LogPoint, now: Seconds) -> Seconds:
    """Return how old the data at a position may be, infinity when unknown."""
    for proof in reversed(floors.proofs):
        if proof.point <= point:
            return max(0.0, now - proof.asked_at)
    return float("inf")


def newest(floors: Floors) -> Proof | None:
    """Return the newest proof."""
    return floors.proofs[-1] if floors.proofs else None
