"""Define the messages that spread the roster and the configuration."""

from __future__ import annotations

from typing import NamedTuple

from ..core.permits import AttestationResponse
from ..core.roster import Roster
from ..types import KeyId
from .kinds import sent_as


@sent_as("RosterRequest")
class RosterRequest(NamedTuple):
    """Request a peer's roster."""

    epoch: int


@sent_as("RosterNews")
class RosterAnnouncement(NamedTuple):
    """Announce a roster that was just stored or received."""

    roster: Roster


@sent_as("RosterAnswer")
class RosterResponse(NamedTuple):
    """Answer with the roster in force at a peer."""

    roster: Roster


@sent_as("ProvenAnswer")
class VersionedAttestation(NamedTuple):
    """Carry an attestation with the attester's version and early withdrawals."""

    attestation: AttestationResponse
    version: int
    withdrawals: tuple[KeyId, ...]


@sent_as("VersionNews")
class VersionAnnouncement(NamedTuple):
    """Announce the version in force and the keys withdrawn ahead of the store."""

    version: int
    withdrawals: tuple[str, ...]


@sent_as("PullRequest")
class ConfigurationPullRequest(NamedTuple):
    """Request a configuration newer than a version, without the parts held already."""

    version: int
    known_digests: tuple[str, ...]


@sent_as("PullAnswer")
class ConfigurationPullResponse(NamedTuple):
    """Return a configuration's head and the parts that the requester lacks."""

    head: bytes
    parts: dict[str, bytes]
    withdrawals: tuple[str, ...]


@sent_as("ProofRequest")
class VersionProofRequest(NamedTuple):
    """Ask an attester whether it knows a newer version."""

    version: int
    sent_at: float


@sent_as("ProofAnswer")
class VersionProofResponse(NamedTuple):
    """Return the attester's version and the requester's own send time."""

    version: int
    sent_at: float
    withdrawals: tuple[str, ...]
