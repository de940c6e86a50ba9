"""Share rate units with the other instances and maintain the roster."""

from __future__ import annotations

import random
import time
from typing import Any, TYPE_CHECKING

import gevent
import msgspec
from returns.result import Failure, Success

from ..core import minting, rate_capacity, rates
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
from ..wire.fleet import ProvenAnswer, RosterAnswer, RosterNews, RosterRequest
from .links import PeerLost
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.declaration_index import DeclarationIndex
    from ..types import GroupId, InstanceId, KeyId, OrganisationId
    from .links import Links
    from .logs import Log
    from .platform import PlatformClient

TICK_SECONDS = 0.1
ROSTER_TIMEOUT_SECONDS = 1.0
PROPOSE_PAUSE_SECONDS = 0.5
RENEW_WAIT_SECONDS = 0.5
NEWS_FANOUT = 8
ANNOUNCE_PAUSES_SECONDS = (0.05, 0.3, 1.0)
RENEW_PAUSE_SECONDS = 0.01
BLIND_WAIT_SECONDS = 1.0
BLIND_PAUSE_SECONDS = 0.02
CAPACITY_MESSAGES = (
    AttestationRequest,
    rates.UnitRequest,
    rates.UnitTransfer,
    rates.TransferAck,
    rates.UnitDenial,
    minting.HoldingsRequest,
    minting.HoldingsResponse,
)


class FleetTask:
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
        self.me = own_member
        self.links = links
        self.platform = platform
        self.live = list_live_members
        self.is_gone = is_gone
        self.is_suspect = is_suspect
        self.serving_count = serving_count
        self.news = get_version_state
        self.on_proof = on_version_proof
        self.vouching: tuple[InstanceId, ...] = ()
        self.vouched_for: tuple[Member, ...] = ()
        self.log = log
        self.state = rate_capacity.new_capacity(own_member)
        self.rng = random.Random(f"{own_member.instance}/{own_member.incarnation}")
        self.resigned: frozenset[Member] = frozenset()
        self.ranks: dict[GroupId, tuple[InstanceId, ...]] = {}
        self.greenlets: list[gevent.Greenlet] = []
        for kind in CAPACITY_MESSAGES:
            links.register(kind, self.on_message)
        links.register(ProvenAnswer, self.on_proven)
        links.register(RosterAnswer)
        links.register(RosterNews, self.on_roster_news)
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

    def configure(self, index: DeclarationIndex) -> None:
        """Apply a configuration's rate limits of the organisations."""
        limits = {
            name: RateLimit(organisation["rate_per_second"], organisation["burst"])
            for name, organisation in index.organisations.items()
        }
        rate_capacity.apply_limits(self.state, limits, time.monotonic())

    def admit(self, organisation: OrganisationId, deadline: float) -> None:
        """Charge one request, waiting briefly for rate units; raise RefusedError."""
        started_at = time.monotonic()
        waited = 0.0
        while True:
            now = time.monotonic()
            verdict = rate_capacity.admit(
                self.state, organisation, 1.0, now, waited=waited
            )
            self.state, messages = rate_capacity.take_outbox(self.state, now)
            self.send_all(messages)
            if isinstance(verdict, Admitted):
                return
            if isinstance(verdict, RateRefused) and self.may_renew(verdict, waited):
                verdict = WaitForUnits(RENEW_PAUSE_SECONDS)
            elif isinstance(verdict, RateRefused) and self.is_blind(
                organisation, started_at
            ):
                # An instance without a rate unit cannot know whether the organisation
                # exceeds its rate.
                gevent.sleep(BLIND_PAUSE_SECONDS)
                waited = BLIND_PAUSE_SECONDS
                continue
            if isinstance(verdict, RateRefused):
                raise RefusedError(self.refusal(organisation, verdict))
            if now + verdict.seconds >= deadline:
                too_late = RateRefused(RefusalReason.RATE_EXCEEDED, 1.0)
                raise RefusedError(self.refusal(organisation, too_late))
            gevent.sleep(verdict.seconds)
            waited = time.monotonic() - started_at

    def is_blind(self, organisation: OrganisationId, started_at: float) -> bool:
        """Return whether this instance has no unit yet and may still receive one."""
        if time.monotonic() - started_at >= BLIND_WAIT_SECONDS:
            return False
        bucket = self.state.rates.buckets.get(organisation)
        return bucket is not None and not bucket.units

    def may_renew(self, verdict: RateRefused, waited: float) -> bool:
        """Return whether a permit that lapsed in a pause may soon be regained."""
        if verdict.reason is not RefusalReason.RATE_UNPROVEN:
            return False
        if not waited:
            self.step(Tick())
        return waited < RENEW_WAIT_SECONDS

    def refusal(self, organisation: OrganisationId, verdict: RateRefused) -> Any:
        """Build the refusal of an organisation's request."""
        return make_refusal(
            verdict.reason,
            f"organisation {organisation}",
            retry_after_seconds=verdict.retry_after_seconds,
        )

    def serving(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return the live instances that serve a group, highest-ranked first."""
        ranked = self.ranks.get(group)
        if ranked is None:
            live = sorted(member.instance for member in self.live())
            ranked = tuple(serving_instances(live, group, self.serving_count))
            self.ranks[group] = ranked
        return ranked

    def targets(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return the instances to forward a group's requests to, suspects last."""
        serving = self.serving(group)
        targets = rank_forward_targets(
            serving, group, self.me.instance, self.serving_count
        )
        return tuple(sorted(targets, key=self.is_suspect))

    def forget_ranks(self) -> None:
        """Clear the cached ranking of instances, as the live ones have changed."""
        self.ranks.clear()

    def on_message(self, sender: InstanceId, message: Any) -> None:
        """Handle one message of the capacity protocol."""
        self.step(message)

    def on_proven(self, sender: InstanceId, message: ProvenAnswer) -> None:
        """Handle an attestation; its version counts from when the request was sent."""
        sent_at = self.state.permit.sent_at.get(message.answer.sequence)
        self.step(message.answer)
        if sent_at is not None:
            self.on_proof(sender, message.version, message.withdrawals, sent_at)

    def voucher_names(self) -> tuple[InstanceId, ...]:
        """Return the instances that attest this one's membership."""
        members = self.state.permit.roster.members
        if members is not self.vouched_for:
            self.vouched_for = members
            self.vouching = tuple(
                member.instance for member in choose_attesters(members, self.me)
            )
        return self.vouching

    def step(self, event: Any) -> None:
        """Process an event in the core and run the effects that it returns."""
        epoch = self.state.permit.roster.epoch
        self.state, effects = rate_capacity.step(
            self.state, event, time.monotonic(), self.rng
        )
        self.send_all(effects)
        if self.state.permit.roster.epoch != epoch:
            for delay in ANNOUNCE_PAUSES_SECONDS:
                gevent.spawn_later(delay, self.announce_holdings)

    def announce_holdings(self) -> None:
        """Report the rate units held here to the coordinators of the newest epoch."""
        self.send_all(build_holding_reports(self.state.rates, time.monotonic()))

    def send_all(self, effects: Sequence[Any]) -> None:
        """Run effects of the core."""
        for effect in effects:
            match effect:
                case SendMessage(to, message):
                    self.deliver(to, message)
                case ReadRoster():
                    gevent.spawn(self.read_roster)
                case FetchRoster(peer, epoch):
                    gevent.spawn(self.fetch_roster, peer, epoch)
                case MarkReconciled(epoch):
                    gevent.spawn(self.settle_roster, epoch)

    def deliver(self, to: Member, message: Any) -> None:
        """Send a message, or process it here when it is addressed to this instance."""
        if to == self.me:
            gevent.spawn(self.step, message)
        elif isinstance(message, AttestationResponse):
            self.links.send(to.instance, ProvenAnswer(message, *self.news()))
        else:
            self.links.send(to.instance, message)

    def on_roster_request(
        self, sender: InstanceId, message: RosterRequest
    ) -> RosterAnswer:
        """Return the roster in force here."""
        return RosterAnswer(self.state.permit.roster)

    def fetch_roster(self, peer: Member, epoch: int) -> None:
        """Fetch a newer roster from a peer."""
        try:
            answer = self.links.call(
                peer.instance, RosterRequest(epoch), ROSTER_TIMEOUT_SECONDS
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

    def settle_roster(self, epoch: int) -> None:
        """Record in the store that all units up to an epoch are accounted for."""
        loaded = self.load_roster()
        if loaded is None or loaded[0].epoch != epoch:
            return
        if self.save_roster(drop_reconciled_changes(loaded[0], epoch), loaded[1]):
            self.read_roster()

    def hand_back(self, deadline: float) -> None:
        """Transfer every rate unit to others, then resign from the roster."""
        self.state = rate_capacity.begin_leaving(self.state)
        while time.monotonic() < deadline and not rate_capacity.has_returned_units(
            self.state
        ):
            gevent.sleep(TICK_SECONDS)
        if not rate_capacity.has_returned_units(self.state):
            return
        self.step(PermitWithdrawn())
        self.resigned = frozenset({self.me})
        self.propose_roster()

    def tick(self) -> None:
        """Process a tick of permit, rate units and minting."""
        self.step(Tick())

    def proposal_pause(self) -> float:
        """Return the time between two checks of the live instances."""
        return PROPOSE_PAUSE_SECONDS * self.rng.uniform(0.8, 1.2)

    def follow_live(self) -> None:
        """Propose a new roster whenever the live instances differ from it."""
        if self.wanted(self.state.permit.roster) is None:
            return
        gevent.sleep(proposal_delay(self.state.permit.roster, self.me))
        if self.wanted(self.state.permit.roster) is not None:
            self.propose_roster()

    def wanted(self, roster: Roster) -> Roster | None:
        """Return the roster that this instance proposes, none for no change.

        Each instance adds only itself and removes only members that are gone for good,
        so that instances whose memberships differ do not undo each other's proposals.
        """
        members = {member for member in roster.members if not self.is_gone(member)}
        if self.me in self.live():
            members.add(self.me)
        return build_next_roster(roster, members, resigned=self.resigned)

    def propose_roster(self) -> None:
        """Store a new roster that follows the newest stored one."""
        sent_at = time.monotonic()
        loaded = self.load_roster()
        if loaded is None:
            return
        self.step(RosterRead(loaded[0], sent_at))
        proposed = self.wanted(loaded[0])
        if proposed is None or not self.save_roster(proposed, loaded[1]):
            return
        self.log.info("A roster was proposed.", epoch=proposed.epoch)
        self.step(RosterRead(proposed, sent_at))
        self.tell_roster(proposed)

    def tell_roster(self, roster: Roster) -> None:
        """Announce a roster to some members; attestation spreads it to the others."""
        others = [member for member in roster.members if member != self.me]
        count = min(NEWS_FANOUT, len(others))
        for member in self.rng.sample(others, count):
            self.links.send(member.instance, RosterNews(roster))

    def on_roster_news(self, sender: InstanceId, message: RosterNews) -> None:
        """Adopt a newer roster and announce it once."""
        if message.roster.epoch > self.state.permit.roster.epoch:
            self.step(RosterReceived(message.roster))
            self.tell_roster(message.roster)
