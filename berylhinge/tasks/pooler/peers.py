"""Ask holders what they know, and notice those that fall silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler.catalogue import databases_of, primary_of
from ...core.pooler.floors import newest
from ...core.pooler.placement import UNSEEN
from ...wire.pooling import (
    Abandon,
    Look,
    Looked,
    Reached,
    Tokens,
    UnitDone,
)
from ..clock import now_seconds
from ..links import Links, Peer, PeerLost
from .duty import IN_LINE

if TYPE_CHECKING:
    from ...types import InstanceId, Seconds
    from ..logs import Log
    from .view import View

# Proofs of a primary's position must stay young enough for reads of bounded age.
MAX_PROOF_AGE_SECONDS = 0.75
# Instances next in line for a primary's duty must notice its loss soon.
MAX_STANDBY_PROOF_AGE_SECONDS = 0.5
# What is known of a replica's position and queue may be this old.
MAX_OBSERVATION_AGE_SECONDS = 1.0
# A peer that confirmed the declarations later spares this instance a call.
MAX_CONFIRMED_AGE_SECONDS = 0.8
# A peer that did not answer is asked again after pauses that grow between these.
SUSPECT_MIN_PAUSE_SECONDS = 0.5
SUSPECT_MAX_PAUSE_SECONDS = 2.0
SUSPECT_PAUSE_GROWTH = 1.5
# One holder is not asked more often than this.
MIN_PROBE_INTERVAL_SECONDS = 0.25
# A holder that owes answers and says nothing for this long is asked at once.
PEER_SILENCE_SECONDS = 0.15
# A read waits this long for a proof before it goes to the primary.
PROOF_WAIT_SECONDS = 0.05
# A peer that does not answer a look within this time is passed over.
PROBE_TIMEOUT_SECONDS = 0.3

RESPONSE_TYPES = (Looked, Reached, Tokens, UnitDone)


def register_kinds(links: Links) -> None:
    """Make the answers' types known."""
    for kind in RESPONSE_TYPES:
        links.register(kind)
    links.register(Abandon)


class PeerTask:
    """Look at each holder from time to time."""

    def __init__(self, view: View, links: Links, log: Log) -> None:
        """Prepare without calling."""
        self.view = view
        self.links = links
        self.log = log
        self.looking: dict[InstanceId, gevent.Greenlet] = {}
        self.probed_at: dict[InstanceId, Seconds] = {}
        self.pauses: dict[InstanceId, Seconds] = {}

    def refresh(self) -> None:
        """Tell the links which peers there are."""
        self.links.set_peers(
            {
                member.instance: Peer(member.address, member.incarnation)
                for member in self.view.members.values()
                if member.instance != self.view.me
            }
        )

    def look_at_holders(self) -> None:
        """Ask every instance that is due, each in a task of its own."""
        now = now_seconds()
        due = self.due_holders(now)
        if now - self.view.confirmed_at >= MAX_CONFIRMED_AGE_SECONDS:
            due.add(self.view.confirmer())
        rested = {
            peer
            for peer in due
            if now - self.probed_at.get(peer, 0.0) >= MIN_PROBE_INTERVAL_SECONDS
        }
        for peer in (
            rested | self.silent_peers() | self.due_suspects(now)
        ) - self.looking.keys():
            if peer != self.view.me:
                self.spawn_look(peer)

    def spawn_look(self, peer: InstanceId) -> gevent.Greenlet:
        """Ask one instance in a task of its own."""
        self.probed_at[peer] = now_seconds()
        job = self.looking[peer] = gevent.spawn(self.probe_peer, peer)
        return job

    def prove(self, service: str) -> None:
        """Wait briefly for a proof that a service's primary leads."""
        primary = primary_of(self.view.databases, service)
        if primary is None:
            return
        holder = self.view.holders(primary)[0]
        if holder != self.view.me:
            job = self.looking.get(holder) or self.spawn_look(holder)
            job.join(PROOF_WAIT_SECONDS)

    def due_holders(self, now: Seconds) -> set[InstanceId]:
        """Return the holders whose knowledge is needed anew here.

        A primary's holder asks those of its replicas and passes on what they tell; the
        others ask it alone.
        """
        due = set()
        for service in self.view.declarations.services:
            primary = primary_of(self.view.databases, service)
            line = [] if primary is None else self.view.holders(primary)
            if not line or line[0] == self.view.me:
                for database in databases_of(self.view.databases, service):
                    sight = self.view.sights.get(database.id, UNSEEN)
                    if now - sight.heard_at >= MAX_OBSERVATION_AGE_SECONDS:
                        due.add(self.view.holders(database)[0])
            elif self.needs_proof(service, line, now):
                due.add(line[0])
        return due

    def needs_proof(self, service: str, line: list[InstanceId], now: Seconds) -> bool:
        """Tell whether this instance must hear of a service's primary again."""
        proof = newest(self.view.floors_of(service))
        age = float("inf") if proof is None else now - proof.asked_at
        if self.view.me in line[:IN_LINE]:
            return age >= MAX_STANDBY_PROOF_AGE_SECONDS
        return self.view.is_wanted(service) and age >= MAX_PROOF_AGE_SECONDS

    def silent_peers(self) -> set[InstanceId]:
        """Return the peers that owe answers and say nothing."""
        return {
            peer
            for peer in self.links.awaited_peers()
            if self.links.silent_seconds(peer) >= PEER_SILENCE_SECONDS
        }

    def due_suspects(self, now: Seconds) -> set[InstanceId]:
        """Return the peers passed over that may answer again, each less and less often."""
        return {
            peer
            for peer in self.view.suspects & self.view.members.keys()
            if now - self.probed_at.get(peer, 0.0) >= self.pauses.get(peer, 0.0)
        }

    def probe_peer(self, peer: InstanceId) -> None:
        """Ask one instance; pass it over while it is silent."""
        asked_at = now_seconds()
        try:
            looked = self.links.call(peer, Look(), PROBE_TIMEOUT_SECONDS)
        except PeerLost as error:
            if self.view.has_slept_since(asked_at):
                # The answer may have come while this process stood still.
                return
            self.links.forget(peer)
            if not self.view.is_suspect(peer):
                self.view.suspect(peer)
                self.log.info("A peer is silent.", peer=peer, sent=error.sent)
            pause = self.pauses.get(peer, 0.0) * SUSPECT_PAUSE_GROWTH
            self.pauses[peer] = min(
                max(pause, SUSPECT_MIN_PAUSE_SECONDS), SUSPECT_MAX_PAUSE_SECONDS
            )
        else:
            self.pauses.pop(peer, None)
            if self.view.is_suspect(peer):
                self.view.trust(peer)
                self.log.info("A peer answers again.", peer=peer)
            self.view.see_all(looked.seen, asked_at)
            self.view.confirm(looked.revision, asked_at - looked.confirmed_age)
            for seen in looked.seen:
                if not seen.age:
                    self.view.note_reach(seen, asked_at)
        finally:
            del self.looking[peer]
