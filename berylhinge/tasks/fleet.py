"""Share capacity with the other instances and follow who is live."""

from __future__ import annotations

import random
import time
from typing import Any, NamedTuple, TYPE_CHECKING

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
from ..types import KeyId
from .links import PeerLost
from .loops import spawn_loop

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..core.declaration_index import DeclarationIndex
    from ..types import GroupId, InstanceId, OrganisationId
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
    unit_messages.UnitRequest,
    unit_messages.UnitTransfer,
    unit_messages.TransferAck,
    unit_messages.UnitDenial,
    minting.HoldingsRequest,
    minting.HoldingsResponse,
)


class RosterRequest(NamedTuple):
    """Ask a peer for its roster."""

    epoch: int


class RosterNews(NamedTuple):
    """Tell a peer of a roster that has just won."""

    roster: Roster


class RosterAnswer(NamedTuple):
    """Return a peer's roster."""

    roster: Roster


class ProvenAnswer(NamedTuple):
    """Vouch, and tell the voucher's configuration on the same message."""

    answer: AttestationResponse
    version: int
    withdrawals: tuple[KeyId, ...]


class FleetTask:
    """Own the capacity state: roster, permit, units and minting."""

    def __init__(
        self,
        me: Member,
        *,
        links: Links,
        platform: PlatformClient,
        live: Callable[[], frozenset[Member]],
        is_gone: Callable[[Member], bool],
        is_suspect: Callable[[InstanceId], bool],
        serving_count: int,
        news: Callable[[], tuple[int, tuple[KeyId, ...]]],
        on_proof: Callable[[InstanceId, int, tuple[KeyId, ...], float], None],
        log: Log,
    ) -> None:
        """Start without units and without a permit."""
        self.me = me
        self.links = links
        self.platform = platform
        self.live = live
        self.is_gone = is_gone
        self.is_suspect = is_suspect
        self.serving_count = serving_count
        self.news = news
        self.on_proof = on_proof
        self.vouching: tuple[InstanceId, ...] = ()
        self.vouched_for: tuple[Member, ...] = ()
        self.log = log
        self.state = rate_capacity.new_capacity(me)
        self.rng = random.Random(f"{me.instance}/{me.incarnation}")
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
        """Tick, and propose rosters, in the background."""
        self.greenlets = [
            spawn_loop(self.tick, lambda: TICK_SECONDS, self.log),
            spawn_loop(self.follow_live, self.proposal_pause, self.log),
        ]

    def stop(self) -> None:
        """End the greenlets."""
        gevent.killall(self.greenlets)

    def configure(self, index: DeclarationIndex) -> None:
        """Put the organisations' rates of a configuration in force."""
        terms = {
            name: RateLimit(one["rate_per_second"], one["burst"])
            for name, one in index.organisations.items()
        }
        rate_capacity.apply_limits(self.state, terms, time.monotonic())

    def admit(self, organisation: OrganisationId, deadline: float) -> None:
        """Charge one request, waiting briefly for units; raise RefusedError."""
        started = time.monotonic()
        waited = 0.0
        while True:
            now = time.monotonic()
            verdict = rate_capacity.admit(
                self.state, organisation, 1.0, now, waited=waited
            )
            self.state, sends = rate_capacity.take_outbox(self.state, now)
            self.send_all(sends)
            if isinstance(verdict, Admitted):
                return
            if isinstance(verdict, RateRefused) and self.may_renew(verdict, waited):
                verdict = WaitForUnits(RENEW_PAUSE_SECONDS)
            elif isinstance(verdict, RateRefused) and self.is_blind(
                organisation, started
            ):
                # Without a unit it cannot know that the organisation is over its rate.
                gevent.sleep(BLIND_PAUSE_SECONDS)
                waited = BLIND_PAUSE_SECONDS
                continue
            if isinstance(verdict, RateRefused):
                raise RefusedError(self.refusal(organisation, verdict))
            if now + verdict.seconds >= deadline:
                late = RateRefused(RefusalReason.RATE_EXCEEDED, 1.0)
                raise RefusedError(self.refusal(organisation, late))
            gevent.sleep(verdict.seconds)
            waited = time.monotonic() - started

    def is_blind(self, organisation: OrganisationId, started: float) -> bool:
        """Tell whether this instance holds no unit yet and may still get one."""
        if time.monotonic() - started >= BLIND_WAIT_SECONDS:
            return False
        bucket = self.state.rates.buckets.get(organisation)
        return bucket is not None and not bucket.units

    def may_renew(self, verdict: RateRefused, waited: float) -> bool:
        """Tell whether a permit that lapsed in a pause may soon be held again."""
        if verdict.reason is not RefusalReason.RATE_UNPROVEN:
            return False
        if not waited:
            self.step(Tick())
        return waited < RENEW_WAIT_SECONDS

    def refusal(self, organisation: OrganisationId, verdict: RateRefused) -> Any:
        """Say which organisation is over its rate."""
        return make_refusal(
            verdict.reason,
            f"organisation {organisation}",
            retry_after_seconds=verdict.retry_after_seconds,
        )

    def serving(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return the live instances that serve a group, best first."""
        ranked = self.ranks.get(group)
        if ranked is None:
            live = sorted(member.instance for member in self.live())
            ranked = tuple(serving_instances(live, group, self.serving_count))
            self.ranks[group] = ranked
        return ranked

    def targets(self, group: GroupId) -> tuple[InstanceId, ...]:
        """Return whom to forward to, suspects last."""
        serving = self.serving(group)
        found = rank_forward_targets(
            serving, group, self.me.instance, self.serving_count
        )
        return tuple(sorted(found, key=self.is_suspect))

    def forget_ranks(self) -> None:
        """Rank anew, since the live instances have changed."""
        self.ranks.clear()

    def on_message(self, sender: InstanceId, message: Any) -> None:
        """Take one message of the capacity protocol."""
        self.step(message)

    def on_proven(self, sender: InstanceId, message: ProvenAnswer) -> None:
        """Take a voucher's answer, and its version as of when it was asked."""
        sent_at = self.state.permit.sent_at.get(message.answer.sequence)
        self.step(message.answer)
        if sent_at is not None:
            self.on_proof(sender, message.version, message.withdrawals, sent_at)

    def voucher_names(self) -> tuple[InstanceId, ...]:
        """Return the instances that vouch for this one."""
        members = self.state.permit.roster.members
        if members is not self.vouched_for:
            self.vouched_for = members
            self.vouching = tuple(
                one.instance for one in choose_attesters(members, self.me)
            )
        return self.vouching

    def step(self, event: Any) -> None:
        """Step the core and carry out what it wants."""
        epoch = self.state.permit.roster.epoch
        self.state, effects = rate_capacity.step(
            self.state, event, time.monotonic(), self.rng
        )
        self.send_all(effects)
        if self.state.permit.roster.epoch != epoch:
            for pause in ANNOUNCE_PAUSES_SECONDS:
                gevent.spawn_later(pause, self.announce_holdings)

    def announce_holdings(self) -> None:
        """Tell the hubs of the newest epoch what this instance holds."""
        self.send_all(build_holding_reports(self.state.rates, time.monotonic()))

    def send_all(self, effects: Sequence[Any]) -> None:
        """Carry out effects."""
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
        """Send a message, or take it directly when it is to this instance."""
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
        """Read the roster and take the store's word."""
        sent_at = time.monotonic()
        loaded = self.load_roster()
        if loaded is not None:
            self.step(RosterRead(loaded[0], sent_at))

    def save_roster(self, roster: Roster, revision: int) -> bool:
        """Swap the roster in; return whether that is certain."""
        value = msgspec.json.encode(roster).decode()
        result = self.platform.swap(ROSTER_KEY, value, expected_revision=revision)
        return isinstance(result, Success) and result.unwrap()["swapped"]

    def settle_roster(self, epoch: int) -> None:
        """Record that all units up to an epoch are accounted for."""
        loaded = self.load_roster()
        if loaded is None or loaded[0].epoch != epoch:
            return
        if self.save_roster(drop_reconciled_changes(loaded[0], epoch), loaded[1]):
            self.read_roster()

    def hand_back(self, deadline: float) -> None:
        """Pass every unit to others, then resign from the roster."""
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
        """Let time pass for permit, units and minting."""
        self.step(Tick())

    def proposal_pause(self) -> float:
        """Return the time between two looks at the live instances."""
        return PROPOSE_PAUSE_SECONDS * self.rng.uniform(0.8, 1.2)

    def follow_live(self) -> None:
        """Propose a new roster whenever the live instances differ from it."""
        if self.wanted(self.state.permit.roster) is None:
            return
        gevent.sleep(proposal_delay(self.state.permit.roster, self.me))
        if self.wanted(self.state.permit.roster) is not None:
            self.propose_roster()

    def wanted(self, roster: Roster) -> Roster | None:
        """Return the roster that this instance calls for, none if no other.

        Each instance adds only itself and removes only whoever is gone for good, so
        that differing views do not undo each other's proposals.
        """
        wanted = {member for member in roster.members if not self.is_gone(member)}
        if self.me in self.live():
            wanted.add(self.me)
        return build_next_roster(roster, wanted, resigned=self.resigned)

    def propose_roster(self) -> None:
        """Swap a new roster in from the store's newest one."""
        sent_at = time.monotonic()
        loaded = self.load_roster()
        if loaded is None:
            return
        self.step(RosterRead(loaded[0], sent_at))
        wanted = self.wanted(loaded[0])
        if wanted is None or not self.save_roster(wanted, loaded[1]):
            return
        self.log.info("A roster was proposed.", epoch=wanted.epoch)
        self.step(RosterRead(wanted, sent_at))
        self.tell_roster(wanted)

    def tell_roster(self, roster: Roster) -> None:
        """Push a roster to some members; vouching spreads it to the others."""
        others = [member for member in roster.members if member != self.me]
        count = min(NEWS_FANOUT, len(others))
        for member in self.rng.sample(others, count):
            self.links.send(member.instance, RosterNews(roster))

    def on_roster_news(self, sender: InstanceId, message: RosterNews) -> None:
        """Adopt a newer roster and pass it on once."""
        if message.roster.epoch > self.state.permit.roster.epoch:
            self.step(RosterReceived(message.roster))
            self.tell_roster(message.roster)
