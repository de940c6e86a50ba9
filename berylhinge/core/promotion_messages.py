"""Define the events that a promoter handles and the effects that it orders."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import Seconds, Term, UpstreamId
    from ..wire.upstream import UpstreamStatus


class PrimaryLost(NamedTuple):
    """Report that the primary of a term is lost or that no primary leads a term.

    ``suspect`` is the member to pass over until a primary is healthy again, if any.
    """

    term: Term
    cause: str
    suspect: UpstreamId | None = None


class PrimaryLeaving(NamedTuple):
    """Report that the confirmed primary of a term is leaving."""

    term: Term
    upstream: UpstreamId


class PrimaryHealthy(NamedTuple):
    """Report that the confirmed primary of a term is neither lost nor leaving."""

    term: Term


class StatusReceived(NamedTuple):
    """Report a status received from a member."""

    upstream: UpstreamId
    status: UpstreamStatus


class FenceAnswered(NamedTuple):
    """Report a member's answer to the fence request (the vote request) of a term."""

    upstream: UpstreamId
    term: Term
    granted: bool
    status: UpstreamStatus


class PromoteAnswered(NamedTuple):
    """Report a member's answer to its promotion in a term."""

    upstream: UpstreamId
    term: Term
    promoted: bool
    status: UpstreamStatus


class Tick(NamedTuple):
    """Report the passage of time and how many members answered recently."""

    answering_members: int


Event = (
    PrimaryLost
    | PrimaryLeaving
    | PrimaryHealthy
    | StatusReceived
    | FenceAnswered
    | PromoteAnswered
    | Tick
)


class RequestStatus(NamedTuple):
    """Ask members for their status."""

    upstreams: tuple[UpstreamId, ...]


class FenceMembers(NamedTuple):
    """Ask members for their vote in a term."""

    upstreams: tuple[UpstreamId, ...]
    term: Term


class PromoteMember(NamedTuple):
    """Ask a member to become the primary of a term."""

    upstream: UpstreamId
    term: Term


class QuiesceMember(NamedTuple):
    """Ask a leaving primary to pause its writes for a number of seconds."""

    upstream: UpstreamId
    term: Term
    seconds: Seconds


class AnnouncePrimary(NamedTuple):
    """Announce a new primary."""

    upstream: UpstreamId
    term: Term


Effect = RequestStatus | FenceMembers | PromoteMember | QuiesceMember | AnnouncePrimary
