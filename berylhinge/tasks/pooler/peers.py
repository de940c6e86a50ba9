"""Ask holders what they know, and notice those that fall silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler.floors import newest
from ...core.pooler.placement import UNSEEN
from ...types import Role
from ...wire.pooling import (
    Abandon,
    Look,
    Looked,
    Reached,
    Tokens,
    UnitDone,
)
from ..links import Links, Peer, PeerLost
from ..loops import spawn_loop
from .view import now_seconds

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds
    from ..logs import Log
    from .view import View

CHECK_SECONDS = 0.1
# Proofs of a primary's position must stay young enough for reads of bounded age.
PROOF_AGE_SECONDS = 0.5
# What is known of a replica's position and queue may be this old.
SIGHT_AGE_SECONDS = 1.0
# A peer that confirmed the declarations later spares this instance a call.
CONFIRMED_AGE_SECONDS = 0.8
# A peer that did not answer is asked again this often until it does.
SUSPECT_SECONDS = 0.5
# One holder is not asked more often than this.
LOOK_SECONDS = 0.25
# A holder that owes answers and says nothing for this long is asked at once.
SILENCE_SECONDS = 0.15
# A peer that does not answer a look within this time is passed over.
LOOK_TIMEOUT_SECONDS = 0.3

ANSWERS = (Looked, Reached, Tokens, UnitDone)


def register_kinds(links: Links) -> None:
    """Make the answers' types known."""
    for kind in ANSWERS:
        links.register(kind)
    links.register(Abandon)


class PeerTask:
    """Look at each holder from time to time."""

    def __init__(self, view: View, links: Links, log: Log) -> None:
        """Prepare without calling."""
        self.view = view
        self.links = links
        self.log = log
        self.looking: set[InstanceId] = set()
        self.looked_at: dict[InstanceId, Seconds] = {}

    def start(self) -> gevent.Greenlet:
        """Start looking."""
        return spawn_loop(self.look_at_holders, lambda: CHECK_SECONDS, self.log)

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
        """Ask every holder that is due, each in a task of its own."""
        now = now_seconds()
        due: dict[InstanceId, bool] = {}
        for database in list(self.view.databases.values()):
            holder = self.view.holders(database)[0]
            due[holder] = due.get(holder, False) or self.is_due(database, now)
        if now - self.view.confirmed_at >= CONFIRMED_AGE_SECONDS:
            due[self.view.confirmer()] = True
        for suspect in self.view.suspects & self.view.members.keys():
            due[suspect] = now - self.looked_at.get(suspect, 0.0) >= SUSPECT_SECONDS
        for peer, is_due in due.items():
            if peer == self.view.me or peer in self.looking:
                continue
            rested = now - self.looked_at.get(peer, 0.0) >= LOOK_SECONDS
            silent = self.links.silent_seconds(peer) >= SILENCE_SECONDS
            if (is_due and rested) or silent:
                self.looking.add(peer)
                self.looked_at[peer] = now
                gevent.spawn(self.look_at, peer)

    def is_due(self, database: Database, now: Seconds) -> bool:
        """Tell whether what is known of a database has grown old."""
        if database.role is Role.PRIMARY:
            proof = newest(self.view.floors_of(database.service))
            return proof is None or now - proof.asked_at >= PROOF_AGE_SECONDS
        heard_at = self.view.sights.get(database.id, UNSEEN).heard_at
        return now - heard_at >= SIGHT_AGE_SECONDS

    def look_at(self, peer: InstanceId) -> None:
        """Ask one instance; pass it over while it is silent."""
        asked_at = now_seconds()
        try:
            looked = self.links.call(peer, Look(), LOOK_TIMEOUT_SECONDS)
        except PeerLost as error:
            self.links.forget(peer)
            if not self.view.is_suspect(peer):
                self.view.suspect(peer)
                self.log.info("A peer is silent.", peer=peer, sent=error.sent)
        else:
            if self.view.is_suspect(peer):
                self.view.trust(peer)
                self.log.info("A peer answers again.", peer=peer)
            self.view.see_all(looked.seen, asked_at)
            self.view.confirm(looked.revision, asked_at - looked.confirmed_age)
            for seen in looked.seen:
                self.view.note_reach(seen, asked_at)
        finally:
            self.looking.discard(peer)
