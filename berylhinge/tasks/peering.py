"""Open the sockets by which one instance speaks with the others."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ..core.peer_envelopes import new_channel
from ..settings import reveal_secrets
from .http import parse_address
from .links import Links
from .logs import Log
from .probes import ProbeSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.roster import Member
    from ..settings import Settings


class PeerSockets(NamedTuple):
    """Hold the links for calls and the socket for probes."""

    links: Links
    probes: ProbeSocket


def open_peers(
    settings: Settings, me: Member, on_count: Callable[[str, int], None]
) -> PeerSockets:
    """Listen by TCP and by UDP on one port; raise OSError when it is taken."""
    secrets = reveal_secrets(settings)
    links = Links(
        parse_address(settings.peers),
        envelopes=new_channel(me.instance, me.incarnation, secrets),
        on_count=on_count,
    )
    probes = ProbeSocket(
        me,
        links.address,
        secrets=secrets,
        on_count=on_count,
        log=Log("probes", me.instance),
    )
    return PeerSockets(links, probes)
