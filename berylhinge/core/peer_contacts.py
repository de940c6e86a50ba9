"""Know at which address and incarnation each peer receives messages.

Registrations are read from the store and lag behind: after a restart of the whole fleet
the store holds those of the former processes. Authenticated messages tell sooner which
process of a peer runs now, so the newest known incarnation counts.
"""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import InstanceId


class PeerAddress(NamedTuple):
    """Describe a peer's inbox: its address and the incarnation that reads it."""

    address: str
    incarnation: int


class PeerContacts:
    """Hold the registered and the learned addresses of peers; changed in place."""

    def __init__(self) -> None:
        """Start without peers."""
        self.registered: dict[InstanceId, PeerAddress] = {}
        self.learned: dict[InstanceId, PeerAddress] = {}
        self.received_incarnations: dict[InstanceId, int] = {}

    def find(self, instance: InstanceId) -> PeerAddress | None:
        """Return the address of a peer's newest known incarnation."""
        return self.learned.get(instance) or self.registered.get(instance)

    def replace_registered(self, peers: dict[InstanceId, PeerAddress]) -> None:
        """Replace the registered addresses; a newer learned one is kept."""
        self.registered = peers
        for instance, peer in peers.items():
            learned = self.learned.get(instance)
            if learned is not None and learned.incarnation <= peer.incarnation:
                del self.learned[instance]

    def learn(self, instance: InstanceId, address: str, incarnation: int) -> None:
        """Learn an address from a message of a peer, empty if it is unchanged."""
        known = self.find(instance)
        if known is not None and incarnation <= known.incarnation:
            return
        if address or known is not None:
            self.learned[instance] = PeerAddress(
                address or (known.address if known else ""), incarnation
            )

    def has_heard(self, instance: InstanceId) -> bool:
        """Return whether the newest known incarnation of a peer has sent a message."""
        peer = self.find(instance)
        received = self.received_incarnations.get(instance)
        return (
            peer is not None and received is not None and (received >= peer.incarnation)
        )
