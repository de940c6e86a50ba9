"""Know which peers this process has heard, and which may still be starting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.starting_peers import may_be_starting, STARTING_SECONDS
from ..clock import now_seconds

if TYPE_CHECKING:
    from ...types import InstanceId
    from ..peer_links import Links
    from .fleet_view import FleetView


class StartingPeers:
    """Judge the silence of peers by what this process has heard since its start."""

    def __init__(self, view: FleetView, links: Links) -> None:
        """Count the time from now on."""
        self.view = view
        self.links = links
        self.started_at = now_seconds()

    def is_reachable(self, peer: InstanceId) -> bool:
        """Return whether a peer is this instance, or its process has been heard."""
        return peer == self.view.own_instance or self.links.contacts.has_heard(peer)

    def is_starting(self, peer: InstanceId) -> bool:
        """Return whether a peer that does not answer may still be starting."""
        return may_be_starting(
            has_been_heard=self.is_reachable(peer),
            started_at=self.started_at,
            now=now_seconds(),
        )

    def unheard_leaders(self) -> set[InstanceId]:
        """Return the holders of primaries that may still be starting."""
        if now_seconds() - self.started_at >= STARTING_SECONDS:
            return set()
        primaries = map(self.view.primary_of, self.view.declarations.services)
        holders = {
            self.view.holders(primary)[0]
            for primary in primaries
            if primary is not None
        }
        return {holder for holder in holders if self.is_starting(holder)}
