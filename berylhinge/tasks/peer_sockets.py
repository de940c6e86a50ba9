"""Open the sockets through which instances exchange messages."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from ..core.peer_envelopes import new_channel
from ..settings import reveal_secrets
from .http_server import parse_address
from .logs import Log
from .peer_links import Links
from .probe_socket import ProbeSocket

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.roster import Member
    from ..settings import Settings


class PeerSockets(NamedTuple):
    """Describe the open links for messages and the socket for probes."""

    links: Links
    probes: ProbeSocket


def open_peer_sockets(
    settings: Settings, own_member: Member, on_count: Callable[[str, int], None]
) -> PeerSockets:
    """Listen on one port by TCP and UDP; raise OSError when it is in use."""
    secrets = reveal_secrets(settings)
    links = Links(
        parse_address(settings.peers),
        channel=new_channel(own_member.instance, own_member.incarnation, secrets),
        on_count=on_count,
    )
    probes = ProbeSocket(
        own_member,
        links.address,
        secrets=secrets,
        on_count=on_count,
        log=Log("probes", own_member.instance),
    )
    return PeerSockets(links, probes)
