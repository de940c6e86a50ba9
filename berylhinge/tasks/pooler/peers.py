"""Ask holders what they know, and notice those that fall silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

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
    from ...types import InstanceId
    from ..logs import Log
    from .view import View

# How often holders are asked; proofs of positions must stay young enough for reads.
LOOK_SECONDS = 0.4
# A peer that is silent for this long is passed over.
LOOK_TIMEOUT_SECONDS = 0.5

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

    def start(self) -> None:
        """Start looking."""
        spawn_loop(self.look_at_holders, lambda: LOOK_SECONDS, self.log)

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
        """Ask every holder, each in a task of its own."""
        for database in list(self.view.databases.values()):
            holder = self.view.holders(database)[0]
            if holder != self.view.me and holder not in self.looking:
                self.looking.add(holder)
                gevent.spawn(self.look_at, holder)

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
