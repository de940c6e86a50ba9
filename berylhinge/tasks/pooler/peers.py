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
    Reach,
    Reached,
    RunUnit,
    TakeTokens,
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
# One holder is not asked more often than this.
LOOK_SECONDS = 0.25
# A holder that owes answers and says nothing for this long is asked at once.
SILENCE_SECONDS = 0.15
# A peer that does not answer a look within this time is passed over.
LOOK_TIMEOUT_SECONDS = 0.3

ANSWERS = (Looked, Reached, Tokens, UnitDone)
CALLS = (Look, Reach, RunUnit, TakeTokens)


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

    def start(self) -> None:
        """Start looking."""
        spawn_loop(self.look_at_holders, lambda: CHECK_SECONDS, self.log)

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
        due = {}
        for database in list(self.view.databases.values()):
            holder = self.view.holders(database)[0]
            if holder != self.view.me and holder not in self.looking:
                due[holder] = due.get(holder, False) or self.is_due(database, now)
        for holder, is_due in due.items():
            rested = now - self.looked_at.get(holder, 0.0) >= LOOK_SECONDS
            silent = self.links.silent_seconds(holder) >= SILENCE_SECONDS
            if (is_due and rested) or silent:
                self.looking.add(holder)
                self.looked_at[holder] = now
                gevent.spawn(self.look_at, holder)

    def is_due(self, database: Database, now: Seconds) -> bool:
        """Tell whether what is known of a database has grown old."""
        if database.role is Role.PRIMARY:
            proof = newest(self.view.floors_of(database.service))
            return proof is None or now - proof.asked_at >= PROOF_AGE_SECONDS
        heard_at = self.view.sights.get(database.id, UNSEEN).heard_at
        return now - heard_at >= SIGHT_AGE_SECONDS

    def look_at(self, holder: InstanceId) -> None:
        """Ask one holder; pass it over when it is silent."""
        asked_at = now_seconds()
        try:
            looked = self.links.call(holder, Look(False), LOOK_TIMEOUT_SECONDS)
        except PeerLost as error:
            self.view.suspect(holder)
            self.links.forget(holder)
            self.log.info("A peer is silent.", peer=holder, sent=error.sent)
        else:
            self.view.see_all(looked.seen, asked_at)
            for seen in looked.seen:
                self.view.note_reach(seen, asked_at)
        finally:
            self.looking.discard(holder)
