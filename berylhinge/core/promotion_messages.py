"""Define the events and effects of a promotion."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ..types import Seconds, Term, UpstreamId
    from ..wire.upstream import UpstreamStatus


class PrimaryLost(NamedTuple):
    """Report that the primary of a term, or of no term, is lost.

    ``suspect`` is the member that should not lead again soon, if any.
    """

    term: Term
    cause: str
    suspect: UpstreamId | None = None


class PrimaryLeaving(NamedTuple):
    """Report that the confirmed primary of a term is leaving."""

    term: Term
    upstream: UpstreamId


class PrimarySeen(NamedTuple):
    """Report a confirmed primary that is neither lost nor leaving."""

    term: Term


class StatusSeen(NamedTuple):
    """Report a member's status."""

    upstream: UpstreamId
    status: UpstreamStatus


class FenceAnswered(NamedTuple):
    """Report a member's answer to a fence of a term."""

    upstream: UpstreamId
    term: Term
    granted: bool
    status: UpstreamStatus


class PromoteAnswered(NamedTuple):
    """Report a member's answer to the promotion in a term."""

    upstream: UpstreamId
    term: Term
    promoted: bool
    status: UpstreamStatus


class Tick(NamedTuple):
    """Let time pass; ``answering`` members answered a status request lately."""

    answering: int


Event = (
    PrimaryLost
    | PrimaryLeaving
    | PrimarySeen
    | StatusSeen
    | FenceAnswered
    | PromoteAnswered
    | Tick
)


class AskStatus(NamedTuple):
    """Ask members for their status."""

    upstreams: tuple[UpstreamId, ...]


class FenceMembers(NamedTuple):
    """Ask members for their vote in a term."""

    upstreams: tuple[UpstreamId, ...]
    term: Term


class PromoteMember(NamedTuple):
    """Make a member primary of a term."""

    upstream: UpstreamId
    term: Term


class QuiesceMember(NamedTuple):
    """Stop the writes of a leaving primary for a while."""

    upstream: UpstreamId
    term: Term
    seconds: Seconds


class Announce(NamedTuple):
    """Tell the other instances of a new primary."""

    upstream: UpstreamId
    term: Term


Effect = AskStatus | FenceMembers | PromoteMember | QuiesceMember | Announce
