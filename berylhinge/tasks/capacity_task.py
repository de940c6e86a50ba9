"""Share rate units with the other instances and maintain the roster."""

from __future__ import annotations

import random
import time
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from returns.result import Failure, Success

from ..core import minting, rate_capacity, unit_messages
from ..core.buckets import RateLimit
from ..core.connections import rank_forward_targets, serving_instances
from ..core.minting import MarkReconciled
from ..core.permits import (
    AttestationRequest,
    AttestationResponse,
    FetchRoster,
    PermitWithdrawn,
    ReadRoster,
    RosterRead,
    RosterReceived,
    SendMessage,
    Tick,
)
from ..core.rates import Admitted, RateRefused, WaitForUnits
from ..core.roster import (
    build_next_roster,
    choose_attesters,
    drop_reconciled_changes,
    Member,
    proposal_delay,
    Roster,
    ROSTER_KEY,
)
from ..core.unit_forwarding import build_holding_reports
from ..errors import make_refusal, RefusedError
from ..reasons import RefusalReason
from ..wire.fleet import (
    RosterAnnouncement,
    RosterRequest,
    RosterResponse,
    VersionedAttestation,
)
from .loops import spawn_loop
from .peer_frames import PeerLost

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.declaration_index import DeclarationIndex
    from ..types import GroupId, InstanceId, KeyId, OrganisationId
    from .logs import Log
    from .peer_links import Links
    from .platform_client import PlatformClient

TICK_SECONDS = 0.1
ROSTER_TIMEOUT_SECONDS = 1.0
PROPOSAL_INTERVAL_SECONDS = 0.5
PERMIT_WAIT_SECONDS = 0.5
ROSTER_ANNOUNCEMENT_FANOUT = 8
HOLDING_REPORT_DELAYS_SECONDS = (0.05, 0.3, 1.0)
PERMIT_POLL_SECONDS = 0.01
FIRST_UNIT_WAIT_SECONDS = 1.0
FIRST_UNIT_POLL_SECONDS = 0.02
CAPACITY_MESSAGE_TYPES = (
    AttestationRequest,
    unit_messages.UnitRequest,
    unit_messages.UnitTransfer,
    unit_messages.TransferAck,
    unit_messages.UnitDenial,
    minting.HoldingsRequest,
    minting.HoldingsResponse,
)


class CapacityTask:
    """Run the capacity state machine: roster, permit, rate units and minting."""

    def __init__(
        self,
        own_member: Member,
        *,
        links: Links,
        platform: PlatformClient,
        list_live_members: Callable[[], frozenset[Member]],
        is_gone: Callable[[Member], bool],
        is_suspect: Callable[[InstanceId], bool],
        serving_count: int,
        get_version_state: Callable[[], tuple[int, tuple[KeyId, ...]]],
        on_version_proof: Callable[[InstanceId, int, tuple[KeyId, ...], float], None],
        log: Log,
    ) -> None:
        """Start without rate units and without a permit."""
        self.own_member = own_member
        self.links = links
        self.platform = platform
        self.list_live_members = list_live_members
        self.is_gone = is_gone
        self.is_suspect = is_suspect
        self.serving_count = serving_count
        self.get_version_state = get_version_state
        self.on_version_proof = on_version_proof
        self.cached_attesters: tuple[InstanceId, ...] = ()
        self.cached_for_members: tuple[Member, ...] = ()
        self.log = log
        self.state = rate_capacity.new_capacity(own_member)
        self.rng = random.Random(f"{own_member.instance}/{own_member.incarnation}")
        self.resigned_members: frozenset[Member] = frozenset()
        self.serving_by_group: dict[GroupId, tuple[InstanceId, ...]] = {}
        self.greenlets: list[gevent.Greenlet] = []
        for kind in CAPACITY_MESSAGE_TYPES:
            links.register(kind, self.on_capacity_message)
        links.register(VersionedAttestation, self.on_versioned_attestation)
        links.register(RosterResponse)
        links.register(RosterAnnouncement, self.on_roster_announcement)
        links.register_call(RosterRequest, self.on_roster_request)

    def start(self) -> None:
        """Tick and propose rosters in the background."""
        self.greenlets = [
            spawn_loop(self.tick, lambda: TICK_SECONDS, self.log),
            spawn_loop(self.follow_live, self.proposal_pause, self.log),
        ]

    def stop(self) -> None:
        """Stop the background greenlets."""
        gevent.killall(self.greenlets)

    def apply_limits(self, index: DeclarationIndex) -> None:
        """Apply a configuration's rate limits of the organisations."""
        limits = {
            name: RateLimit(organisation["rate_per_second"], organisation["burst"])
            for name, organisation in index.organisations.items()
        }
        rate_capacity.apply_limits(self.state, limits, time.monotonic())

    def admit_request(self, organisation: OrganisationId, deadline: float) -> None:
        """Charge one request, waiting briefly for rate units; raise RefusedError."""
        started_at = time.monotonic()
        waited = 0.0
        while True:
            now = time.monotonic()
            verdict = rate_capacity.admit(
                self.state, organisation, 1.0, now, waited=waited
            )
            self.state, messages = rate_capacity.take_outbox(self.state, now)
            self.run_effects(messages)
            if isinstance(verdict, Admitted):
                return
            if isinstance(verdict, RateRefused) and self.may_regain_permit(
                verdict, waited
            ):
                verdict = WaitForUnits(PERMIT_POLL_SECONDS)
            elif isinstance(verdict, RateRefused) and self.awaits_first_unit(
                organisation, started_at
            ):
                # An instance without a rate unit cannot know whether the organisation
                # exceeds its rate.
                gevent.sleep(FIRST_UNIT_POLL_SECONDS)
                waited = FIRST_UNIT_POLL_SECONDS
                continue
            if isinstance(verdict, RateRefused):
                raise RefusedError(self.make_rate_refusal(organisation, verdict))
            if now + verdict.seconds >= deadline:
                too_late = RateRefused(RefusalReason.RATE_EXCEEDED, 1.0)
                raise RefusedError(self.make_rate_refusal(organisation, too_late))
            gevent.sleep(verdict.seconds)
            waited = time.monotonic() - started_at

    def awaits_first_unit(
        self, organisation: OrganisationId, started_at: float
    ) -> bool:
        """Return whether this instance has no unit yet and may still receive one."""
        if time.monotonic() - started_at >= FIRST_UNIT_WAIT_SECONDS:
            return False
        bucket = self.state.rates.buckets.get(organisation)
        return bucket is not None and not bucket.units

    def may_regain_permit(self, verdict: RateRefused, waited: float) -> bool:
        """Return whether a permit that lapsed in a pause may soon be regained."""
        if verdict.reason is not RefusalReason.RATE_UNPROVEN:
            return False
        if not waited:
            self.step(Tick())
        return waited < PERMIT_WAIT_SECONDS

    def make_rate_refusal(
        self, organisation: OrganisationId, verdict: RateRefused
    ) -> Any:
        """Build the refusal of an organisation's request."""
        return make_refusal(
            verdict.reason,
            f"organisation {organisation}",
            retry_after_seconds=verdict.retry_after_seconds,
        )

    def instances_for_group(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return the live instances that serve a group, highest-ranked first."""
        ranked = self.serving_by_group.get(group)
        if ranked is None:
            live = sorted(member.instance for member in self.list_live_members())
            ranked = tuple(serving_instances(live, group, self.serving_count))
            self.serving_by_group[group] = ranked
        return ranked

    def forward_targets(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return the instances to forward a group's requests to, suspects last."""
        serving = self.instances_for_group(group)
        targets = rank_forward_targets(
            serving, group, self.own_member.instance, self.serving_count
        )
        return tuple(sorted(targets, key=self.is_suspect))

    def clear_serving_cache(self) -> None:
        """Clear the cached ranking of instances, as the live ones have changed."""
        self.serving_by_group.clear()

    def on_capacity_message(self, sender: InstanceId, message: Any) -> None:
        """Handle one message of the capacity protocol."""
        self.step(message)

    def on_versioned_attestation(
        self, sender: InstanceId, message: VersionedAttestation
    ) -> None:
        """Handle an attestation; its version counts from when the request was sent."""
        sent_at = self.state.permit.sent_at.get(message.attestation.sequence)
        self.step(message.attestation)
        if sent_at is not None:
            self.on_version_proof(sender, message.version, message.withdrawals, sent_at)

    def attester_instances(self) -> tuple[InstanceId, ...]:
        """Return the instances that attest this one's membership."""
        members = self.state.permit.roster.members
        if members is not self.cached_for_members:
            self.cached_for_members = members
            self.cached_attesters = tuple(
                member.instance for member in choose_attesters(members, self.own_member)
            )
        return self.cached_attesters

    def step(self, event: Any) -> None:
        """Process an event in the core and run the effects that it returns."""
        epoch = self.state.permit.roster.epoch
        self.state, effects = rate_capacity.step(
            self.state, event, time.monotonic(), self.rng
        )
        self.run_effects(effects)
        if self.state.permit.roster.epoch != epoch:
            for delay in HOLDING_REPORT_DELAYS_SECONDS:
                gevent.spawn_later(delay, self.send_holding_reports)

    def send_holding_reports(self) -> None:
        """Report the rate units held here to the coordinators of the newest epoch."""
        self.run_effects(build_holding_reports(self.state.rates, time.monotonic()))

    def run_effects(self, effects: Sequence[Any]) -> None:
        """Run effects of the core."""
        for effect in effects:
            match effect:
                case SendMessage(to, message):
                    self.deliver_message(to, message)
                case ReadRoster():
                    gevent.spawn(self.read_roster)
                case FetchRoster(peer, epoch):
                    gevent.spawn(self.fetch_roster, peer, epoch)
                case MarkReconciled(epoch):
                    gevent.spawn(self.mark_reconciled, epoch)

    def deliver_message(self, to: Member, message: Any) -> None:
        """Send a message, or process it here when it is addressed to this instance."""
        if to == self.own_member:
            gevent.spawn(self.step, message)
        elif isinstance(message, AttestationResponse):
            self.links.send(
                to.instance, VersionedAttestation(message, *self.get_version_state())
            )
        else:
            self.links.send(to.instance, message)

    def on_roster_request(
        self, sender: InstanceId, message: RosterRequest
    ) -> RosterResponse:
        """Return the roster in force here."""
        return RosterResponse(self.state.permit.roster)

    def fetch_roster(self, peer: Member, epoch: int) -> None:
        """Fetch a newer roster from a peer."""
        request = RosterRequest(epoch)
        try:
            answer = self.links.call(
                peer.instance, request, RosterResponse, ROSTER_TIMEOUT_SECONDS
            )
        except PeerLost:
            return
        self.step(RosterReceived(answer.roster))

    def load_roster(self) -> tuple[Roster, int] | None:
        """Read the roster and its revision from the store."""
        result = self.platform.get(ROSTER_KEY)
        if isinstance(result, Failure):
            return None
        stored = result.unwrap()
        if stored["value"] is None:
            return Roster(), stored["revision"]
        roster = msgspec.json.decode(stored["value"], type=Roster)
        return roster, stored["revision"]

    def read_roster(self) -> None:
        """Read the stored roster; it counts as current when the read was sent."""
        sent_at = time.monotonic()
        loaded = self.load_roster()
        if loaded is not None:
            self.step(RosterRead(loaded[0], sent_at))

    def save_roster(self, roster: Roster, revision: int) -> bool:
        """Store a roster at an unchanged revision; return whether that is certain."""
        value = msgspec.json.encode(roster).decode()
        result = self.platform.swap(ROSTER_KEY, value, expected_revision=revision)
        return isinstance(result, Success) and result.unwrap()["swapped"]

    def mark_reconciled(self, epoch: int) -> None:
        """Record in the store that all units up to an epoch are accounted for."""
        loaded = self.load_roster()
        if loaded is None or loaded[0].epoch != epoch:
            return
        if self.save_roster(drop_reconciled_changes(loaded[0], epoch), loaded[1]):
            self.read_roster()

    def return_units(self, deadline: float) -> None:
        """Transfer every rate unit to others, then resign from the roster."""
        self.state = rate_capacity.begin_leaving(self.state)
        while time.monotonic() < deadline and not rate_capacity.has_returned_units(
            self.state
        ):
            gevent.sleep(TICK_SECONDS)
        if not rate_capacity.has_returned_units(self.state):
            return
        self.step(PermitWithdrawn())
        self.resigned_members = frozenset({self.own_member})
        self.propose_roster()

    def tick(self) -> None:
        """Process a tick of permit, rate units and minting."""
        self.step(Tick())

    def proposal_pause(self) -> float:
        """Return the time between two checks of the live instances."""
        return PROPOSAL_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2)

    def follow_live(self) -> None:
        """Propose a new roster whenever the live instances differ from it."""
        if self.desired_roster(self.state.permit.roster) is None:
            return
        gevent.sleep(proposal_delay(self.state.permit.roster, self.own_member))
        if self.desired_roster(self.state.permit.roster) is not None:
            self.propose_roster()

    def desired_roster(self, roster: Roster) -> Roster | None:
        """Return the roster that this instance proposes, none for no change.

        Each instance adds only itself and removes only members that are gone for good,
        so that instances whose memberships differ do not undo each other's proposals.
        """
        members = {member for member in roster.members if not self.is_gone(member)}
        if self.own_member in self.list_live_members():
            members.add(self.own_member)
        return build_next_roster(roster, members, resigned=self.resigned_members)

    def propose_roster(self) -> None:
        """Store a new roster that follows the newest stored one."""
        sent_at = time.monotonic()
        loaded = self.load_roster()
        if loaded is None:
            return
        self.step(RosterRead(loaded[0], sent_at))
        proposed = self.desired_roster(loaded[0])
        if proposed is None or not self.save_roster(proposed, loaded[1]):
            return
        self.log.info("A roster was proposed.", epoch=proposed.epoch)
        self.step(RosterRead(proposed, sent_at))
        self.announce_roster(proposed)

    def announce_roster(self, roster: Roster) -> None:
        """Announce a roster to some members; attestation spreads it to the others."""
        others = [member for member in roster.members if member != self.own_member]
        count = min(ROSTER_ANNOUNCEMENT_FANOUT, len(others))
        for member in self.rng.sample(others, count):
            self.links.send(member.instance, RosterAnnouncement(roster))

    def on_roster_announcement(
        self, sender: InstanceId, message: RosterAnnouncement
    ) -> None:
        """Adopt a newer roster and announce it once."""
        if message.roster.epoch > self.state.permit.roster.epoch:
            self.step(RosterReceived(message.roster))
            self.announce_roster(message.roster)
