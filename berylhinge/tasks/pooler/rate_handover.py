"""Hand the token buckets of organisations to their next rate owner."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

import gevent
from gevent.event import Event

from ...core.pooler.token_buckets import receive_bucket, TokenBucket
from ...wire.pooling import BucketHandover, BucketRequest, HandedBucket, TokenGrant
from ..clock import now_seconds
from ..peer_frames import PeerLost
from .fleet_view import PEER_FAILOVER_SECONDS

if TYPE_CHECKING:
    from ...types import InstanceId, OrganisationId, Seconds
    from ...wire.pooling import TokenRequest
    from ..logs import Log
    from ..peer_links import Links
    from .fleet_view import FleetView

# Who asks a rate owner gives up after PEER_FAILOVER_SECONDS; until then the owner asks
# another one for the answer.
ASK_SECONDS = PEER_FAILOVER_SECONDS / 2.0
# For this long after its start an instance takes organisations over from owners that
# still run; later only from those that leave or are lost.
JOINING_SECONDS = 5.0
# For this long the view of an instance may lag behind that of the next rate owner.
VIEW_LAG_SECONDS = 1.0


class NextOwner(NamedTuple):
    """State to whom a bucket was handed over, and when."""

    instance: InstanceId
    handed_at: Seconds


class RateHandover:
    """Pass on the buckets that this instance owned, and take over those of others."""

    def __init__(
        self,
        view: FleetView,
        links: Links,
        buckets: dict[OrganisationId, TokenBucket],
        *,
        first_start: bool,
        log: Log,
    ) -> None:
        """Change the given ``buckets`` in place."""
        self.view = view
        self.links = links
        self.buckets = buckets
        self.log = log
        # On a first start of the fleet nobody has granted anything yet.
        self.joins_until = now_seconds() + (0.0 if first_start else JOINING_SECONDS)
        self.next_owners: dict[OrganisationId, NextOwner] = {}
        self.leaving_incarnations: dict[InstanceId, int] = {}
        self.running_requests: dict[OrganisationId, Event] = {}
        self.unreached: set[InstanceId] = set()
        self.sending: set[InstanceId] = set()

    def rate_owner(self, organisation: OrganisationId) -> InstanceId:
        """Return the rate owner, also if the view does not know of it yet."""
        owner = self.view.rate_owner(organisation)
        if owner != self.view.own_instance:
            return owner
        handed = self.next_owners.get(organisation)
        if handed is None:
            return owner
        is_recent = now_seconds() - handed.handed_at < VIEW_LAG_SECONDS
        if is_recent and not self.view.is_suspect(handed.instance):
            return handed.instance
        del self.next_owners[organisation]
        return owner

    def hand_over(self) -> None:
        """Hand over the buckets whose rate owner is another instance by now."""
        organisations: dict[InstanceId, list[OrganisationId]] = {}
        for organisation in self.buckets:
            owner = self.view.rate_owner(organisation)
            if owner != self.view.own_instance and not self.is_leaving(owner):
                organisations.setdefault(owner, []).append(organisation)
        for owner, names in organisations.items():
            if owner not in self.sending:
                gevent.spawn(self.send_buckets, owner, names)

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance handed buckets over because it leaves."""
        member = self.view.members.get(instance)
        incarnation = self.leaving_incarnations.get(instance)
        return member is not None and member.incarnation == incarnation

    def send_buckets(
        self, owner: InstanceId, organisations: list[OrganisationId]
    ) -> None:
        """Send buckets to their next rate owner; go on with them if that fails."""
        self.sending.add(owner)
        is_connected = self.links.connect(owner)
        self.sending.discard(owner)
        now = now_seconds()
        buckets = [
            describe_bucket(name, self.buckets[name], now)
            for name in organisations
            if name in self.buckets
        ]
        message = BucketHandover(buckets, self.view.stop is not None)
        is_sent = is_connected and self.links.send(owner, message)
        if is_sent:
            for item in buckets:
                self.release_bucket(item.organisation, owner)
        self.log.info(
            "Buckets are handed to the next rate owner.",
            owner=owner,
            organisations=organisations,
            sent=is_sent,
        )

    def release_bucket(self, organisation: OrganisationId, owner: InstanceId) -> None:
        """Grant no more from a bucket that its next owner has."""
        del self.buckets[organisation]
        self.next_owners[organisation] = NextOwner(owner, now_seconds())

    def receive_buckets(self, sender: InstanceId, message: BucketHandover) -> None:
        """Go on with the buckets that the former rate owner hands over."""
        member = self.view.members.get(sender)
        if message.is_leaving and member is not None:
            self.leaving_incarnations[sender] = member.incarnation
        for item in message.buckets:
            self.receive_bucket(sender, item)

    def receive_bucket(self, sender: InstanceId, item: HandedBucket) -> None:
        """Go on with a bucket that the former rate owner hands over."""
        now = now_seconds()
        known = self.buckets.get(item.organisation)
        found = receive_bucket(known, restore_bucket(item, now), now)
        self.buckets[item.organisation] = found
        self.next_owners.pop(item.organisation, None)
        self.log.info(
            "A bucket came from the former rate owner.",
            peer=sender,
            organisation=item.organisation,
            tokens=round(found.tokens, 1),
            own_grants=known.granted if known else 0.0,
            kept_own=found is known,
        )

    def take_over(self, organisation: OrganisationId) -> None:
        """Ask the former rate owner for its bucket after this instance has joined."""
        if organisation in self.buckets or now_seconds() >= self.joins_until:
            return
        running = self.running_requests.get(organisation)
        if running is not None:
            running.wait(ASK_SECONDS)
            return
        own = self.view.own_instance
        former = self.view.assignment.next_rate_owner(organisation, without=own)
        if former is None or former in self.unreached:
            return
        if self.view.rate_owner(organisation) != own:
            return
        self.running_requests[organisation] = Event()
        try:
            answer = self.links.call(
                former, BucketRequest(organisation), BucketHandover, ASK_SECONDS
            )
            self.receive_buckets(former, answer)
        except PeerLost:
            self.unreached.add(former)
            self.log.info(
                "The former rate owner handed no bucket over.",
                peer=former,
                organisation=organisation,
            )
        finally:
            self.running_requests.pop(organisation).set()

    def answer_bucket_request(
        self, sender: InstanceId, message: BucketRequest
    ) -> BucketHandover:
        """Hand a bucket to the next rate owner that asks for it."""
        if message.organisation not in self.buckets:
            return BucketHandover([], is_leaving=False)
        bucket = self.buckets[message.organisation]
        described = describe_bucket(message.organisation, bucket, now_seconds())
        self.release_bucket(message.organisation, sender)
        return BucketHandover([described], is_leaving=False)

    def forward_request(self, request: TokenRequest) -> TokenGrant | None:
        """Ask the next rate owner for one who asks the former; None if it is this.

        An owner that handed its bucket over does not count in another one.
        """
        organisation = request.organisation
        if request.is_forwarded or organisation not in self.next_owners:
            return None
        owner = self.rate_owner(organisation)
        if owner == self.view.own_instance:
            return None
        try:
            return self.links.call(
                owner,
                request._replace(is_forwarded=True),
                TokenGrant,
                ASK_SECONDS,
                may_repeat=True,
            )
        except PeerLost:
            return None


def describe_bucket(
    organisation: OrganisationId, bucket: TokenBucket, now: Seconds
) -> HandedBucket:
    """Describe a bucket by times that another process understands."""
    return HandedBucket(
        organisation,
        bucket.tokens,
        bucket.awaited,
        now - bucket.updated_at,
        now - bucket.created_at,
    )


def restore_bucket(handed: HandedBucket, now: Seconds) -> TokenBucket:
    """Return the bucket that another process described."""
    return TokenBucket(
        handed.tokens,
        now - handed.stored_seconds,
        now - handed.age_seconds,
        handed.awaited,
    )
