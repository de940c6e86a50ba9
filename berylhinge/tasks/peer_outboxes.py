"""Own one sending socket for each peer."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import pynng

from .clock import now_seconds

if TYPE_CHECKING:
    from ..core.peer_contacts import PeerAddress
    from ..types import InstanceId, Seconds

SEND_BUFFER_MESSAGES = 4_096
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 1_000
# A dial that takes longer has failed: several round trips between failure domains.
DIAL_SECONDS = 0.05


class Outbox(NamedTuple):
    """Describe the socket that sends to a peer's inbox."""

    address: str
    socket: pynng.Push0
    dialled_at: Seconds


class Outboxes:
    """Hold the sockets to the inboxes of peers."""

    def __init__(self) -> None:
        """Start without sockets."""
        self.open: dict[InstanceId, Outbox] = {}

    def ensure(self, instance: InstanceId, peer: PeerAddress) -> pynng.Push0 | None:
        """Return the peer's socket, dialling in the background at first use.

        Return None for a peer whose address cannot be dialled.
        """
        existing = self.open.get(instance)
        if existing is not None:
            return existing.socket
        outbox = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            outbox.dial(f"tcp://{peer.address}", block=False)
        except pynng.NNGException:
            outbox.close()
            return None
        self.open[instance] = Outbox(peer.address, outbox, now_seconds())
        return outbox

    def is_connected(self, instance: InstanceId) -> bool:
        """Return whether a connection to the peer's inbox is open."""
        outbox = self.open.get(instance)
        return outbox is not None and bool(outbox.socket.pipes)

    def close(self, instance: InstanceId) -> None:
        """Close the socket to a peer, so that the next message dials anew."""
        outbox = self.open.pop(instance, None)
        if outbox is not None:
            outbox.socket.close()

    def close_unreached(self, instance: InstanceId) -> None:
        """Close the socket to a peer that dials in vain, to dial anew without a pause."""
        outbox = self.open.get(instance)
        if (
            outbox is not None
            and not outbox.socket.pipes
            and now_seconds() - outbox.dialled_at >= DIAL_SECONDS
        ):
            self.close(instance)

    def close_outdated(self, instance: InstanceId, peer: PeerAddress | None) -> None:
        """Close the socket to a peer that is gone or has another address now."""
        outbox = self.open.get(instance)
        if outbox is not None and (peer is None or peer.address != outbox.address):
            self.close(instance)

    def close_all(self) -> None:
        """Close every socket."""
        for instance in list(self.open):
            self.close(instance)
