"""Probe the holders of databases, and detect peers that do not answer."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import gevent

from ...core.peer_contacts import PeerAddress
from ...core.pooler.catalogue import databases_of
from ...core.pooler.database_selection import is_behind, UNOBSERVED
from ...core.pooler.floors import lag_of, newest_proof
from ...core.pooler.token_buckets import reached_fraction
from ...types import DatabaseRole
from ...wire.pooling import (
    DatabaseStatesRequest,
    DatabaseStatesResponse,
    ExecuteResponse,
    LeadershipNoticeTaken,
    ReachabilityResponse,
    RollbackRequest,
    TokenGrant,
)
from ..clock import now_seconds
from ..peer_frames import PeerLost
from ..peer_links import Links
from .promotion_duty import STANDBY_COUNT
from .service_states import MAX_RELAYED_PROOF_AGE_SECONDS, ServiceStates
from .starting_peers import StartingPeers

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds, UpstreamId
    from ..logs import Log
    from .fleet_view import FleetView

# Oldest leadership proof with which reads of bounded age are served without a probe.
MAX_PROOF_AGE_SECONDS = 0.75
# Oldest leadership proof at the instances in line for the duty, which must detect the
# loss of a primary soon.
MAX_STANDBY_PROOF_AGE_SECONDS = 0.5
# Oldest observation of a replica's log position and queue.
MAX_OBSERVATION_AGE_SECONDS = 1.0
# The same where the replica was too far behind for reads: each of up to four instances
# passes on that it has caught up.
MAX_BEHIND_AGE_SECONDS = 0.3
# Oldest confirmation of the declarations before the confirming instance is asked for a
# newer one, which spares a call to the store: at a relay, which passes it on; at the
# holder of a primary, where leases need it; and elsewhere.
MAX_RELAY_CONFIRMED_AGE_SECONDS = 0.4
MAX_HOLDER_CONFIRMED_AGE_SECONDS = 0.8
MAX_CONFIRMED_AGE_SECONDS = 1.8
# A peer that did not answer is probed again after pauses that grow by the factor from
# the minimum to the maximum.
SUSPECT_MIN_PAUSE_SECONDS = 0.5
SUSPECT_MAX_PAUSE_SECONDS = 2.0
SUSPECT_PAUSE_GROWTH = 1.5
# Shortest interval between two probes of one holder.
MIN_PROBE_INTERVAL_SECONDS = 0.25
# A peer that owes answers and has been silent for this long is probed at once.
PEER_SILENCE_SECONDS = 0.15
# How long a read waits for a leadership proof before it goes to the primary.
PROOF_WAIT_SECONDS = 0.05
# A peer that does not answer a probe within this time is skipped.
PROBE_TIMEOUT_SECONDS = 0.3
# Pause between two probes of a peer that has not been heard and was not reached.
UNHEARD_PAUSE_SECONDS = 0.02
# Peers heard within this time count as reached: observations of the databases that they
# hold are renewed as often.
REACHED_SECONDS = MAX_OBSERVATION_AGE_SECONDS

RESPONSE_TYPES = (
    DatabaseStatesResponse,
    ReachabilityResponse,
    TokenGrant,
    ExecuteResponse,
    LeadershipNoticeTaken,
)


def register_message_types(links: Links) -> None:
    """Register the message types that have no call handler."""
    for kind in RESPONSE_TYPES:
        links.register(kind)
    links.register(RollbackRequest)


class PeerMonitor:
    """Probe the holders regularly, and record what they report."""

    def __init__(self, view: FleetView, links: Links, log: Log) -> None:
        """Start without probes."""
        self.view = view
        self.links = links
        self.log = log
        self.running_probes: dict[InstanceId, gevent.Greenlet] = {}
        self.probed_at: dict[InstanceId, Seconds] = {}
        self.suspect_pauses: dict[InstanceId, Seconds] = {}
        self.starting = StartingPeers(view, links)
        self.is_fleet_reached = False
        self.reached_fraction = 1.0
        self.service_states = ServiceStates(view, links, renew_proof=self.renew_proof)

    def update_link_peers(self) -> None:
        """Give the links the addresses of the registered peers."""
        self.links.set_peers(
            {
                member.instance: PeerAddress(member.address, member.incarnation)
                for member in self.view.members.values()
                if member.instance != self.view.own_instance
            }
        )

    def look_at_holders(self) -> None:
        """Probe every instance that is due, each in a task of its own."""
        now = now_seconds()
        self.update_reached_fraction()
        due = self.due_holders(now)
        relay = self.service_states.relay()
        if relay is not None:
            self.service_states.ask(relay, self.relayed_services(now))
        if now - self.view.confirmed_at >= self.max_confirmed_age():
            due.add(self.view.confirming_instance())
        probe_allowed = {
            peer
            for peer in due
            if now - self.probed_at.get(peer, 0.0) >= MIN_PROBE_INTERVAL_SECONDS
        }
        unheard = self.starting.unheard_leaders()
        for peer in (
            probe_allowed | unheard | self.silent_peers() | self.due_suspects(now)
        ) - self.running_probes.keys():
            if peer != self.view.own_instance:
                self.spawn_probe(peer)

    def update_reached_fraction(self) -> None:
        """Compare the peers that answer with those that do not."""
        suspects = self.view.suspects & self.view.members.keys()
        heard = self.links.heard_peers(REACHED_SECONDS) if suspects else set()
        self.reached_fraction = reached_fraction(
            len((heard & self.view.members.keys()) - suspects), len(suspects)
        )

    def has_reached_fleet(self) -> bool:
        """Return whether statements can be served: no holder of a primary is awaited.

        Once that was so, a restart of another instance does not change it.
        """
        if not self.is_fleet_reached and not self.starting.unheard_leaders():
            self.is_fleet_reached = True
            passed = now_seconds() - self.starting.started_at
            self.log.info("The holders are reached.", seconds=round(passed, 3))
        return self.is_fleet_reached

    def await_peer(self, peer: InstanceId, seconds: Seconds) -> bool:
        """Wait briefly until the running process of a peer is heard; return whether."""
        until = now_seconds() + seconds
        while not self.starting.is_reachable(peer) and not self.view.is_suspect(peer):
            remaining = until - now_seconds()
            if remaining <= 0.0:
                return False
            probe = self.running_probes.get(peer) or self.spawn_probe(peer)
            probe.join(remaining)
            if probe.ready() and not self.starting.is_reachable(peer):
                gevent.sleep(min(remaining, UNHEARD_PAUSE_SECONDS))
        return self.starting.is_reachable(peer)

    def max_confirmed_age(self) -> Seconds:
        """Return at which age of its confirmation this instance asks for another."""
        if self.view.own_instance in self.view.relays():
            return MAX_RELAY_CONFIRMED_AGE_SECONDS
        if self.holds_leased_primary():
            return MAX_HOLDER_CONFIRMED_AGE_SECONDS
        return MAX_CONFIRMED_AGE_SECONDS

    def holds_leased_primary(self) -> bool:
        """Return whether this instance holds a primary that is used under a lease."""
        return any(
            self.view.uses_leases(service) and self.holds_primary_of(service)
            for service in self.view.declarations.services
        )

    def holds_primary_of(self, service: str) -> bool:
        """Return whether this instance is the rightful holder of a service's primary."""
        primary = self.view.primary_of(service)
        return primary is not None and self.view.is_held_here(primary)

    def spawn_probe(self, peer: InstanceId) -> gevent.Greenlet:
        """Probe one instance in a task of its own."""
        self.probed_at[peer] = now_seconds()
        probe = self.running_probes[peer] = gevent.spawn(self.probe_peer, peer)
        return probe

    def await_proof(self, service: str) -> None:
        """Wait briefly for a proof that a service's primary leads."""
        relay = self.service_states.relay()
        if relay is None:
            self.renew_proof(service, PROOF_WAIT_SECONDS)
        else:
            self.service_states.ask(relay, (service,))
            self.service_states.wait(service, PROOF_WAIT_SECONDS)

    def renew_proof(self, service: str, seconds: Seconds) -> None:
        """Ask the holder of a service's primary for a proof, and wait for it."""
        primary = self.view.primary_of(service)
        if primary is None:
            return
        holder = self.view.holders(primary)[0]
        if holder != self.view.own_instance:
            probe = self.running_probes.get(holder) or self.spawn_probe(holder)
            probe.join(seconds)

    def due_holders(self, now: Seconds) -> set[InstanceId]:
        """Return the holders whose reports are too old here.

        A primary's holder probes the holders of the replicas and passes their reports
        on; the other instances probe only the primary's holder.
        """
        due = set()
        for service in self.view.declarations.services:
            primary = self.view.primary_of(service)
            holders = [] if primary is None else self.view.holders(primary)
            if not holders or holders[0] == self.view.own_instance:
                for database in databases_of(self.view.databases, service):
                    if self.is_news_due(database, float("-inf"), now):
                        due.add(self.view.holders(database)[0])
            elif self.needs_report(service, holders, now):
                due.add(holders[0])
        return due

    def relayed_services(self, now: Seconds) -> list[str]:
        """Return the services of which the relay is to be asked for news."""
        return [
            service
            for service in self.view.declarations.services
            if self.view.read_demand.is_expected(service)
            and (
                self.proof_age(service, now) >= MAX_PROOF_AGE_SECONDS
                or self.misses_replicas(
                    service, self.service_states.asked_at.get(service, 0.0), now
                )
            )
        ]

    def proof_age(self, service: str, now: Seconds) -> Seconds:
        """Return the age of the newest leadership proof of a service."""
        proof = newest_proof(self.view.floors_of(service))
        return float("inf") if proof is None else now - proof.asked_at

    def read_services(self) -> tuple[str, ...]:
        """Return the services whose replicas' positions are needed.

        Only a primary's holder passes on what its peers need, so that two instances do
        not keep asking each other after the last read.
        """
        demand = self.view.read_demand
        return tuple(
            service
            for service in self.view.declarations.services
            if demand.is_expected(service)
            or (demand.needs_positions(service) and self.holds_primary_of(service))
        )

    def held_by(self, peer: InstanceId) -> tuple[UpstreamId, ...]:
        """Return the databases of which a peer is the holder as far as is known here."""
        return tuple(
            database.id
            for database in self.view.databases.values()
            if self.view.holders(database)[0] == peer
        )

    def misses_replicas(self, service: str, asked_at: Seconds, now: Seconds) -> bool:
        """Return whether a replica has not been observed lately, nor asked about.

        Answers of the primary bring proofs but no positions of replicas. A replica whose
        known position is too old gets no reads, so its own answers bring none either.
        """
        return any(
            self.is_news_due(database, asked_at, now)
            for database in databases_of(self.view.databases, service)
            if database.role is DatabaseRole.REPLICA and not database.leaving
        )

    def is_news_due(self, database: Database, asked_at: Seconds, now: Seconds) -> bool:
        """Return whether a database was neither observed lately nor asked about."""
        known = self.view.observations.get(database.id, UNOBSERVED)
        age = now - max(known.observed_at, asked_at)
        if age >= MAX_OBSERVATION_AGE_SECONDS:
            return True
        if age < MAX_BEHIND_AGE_SECONDS or database.role is DatabaseRole.PRIMARY:
            return False
        floors = self.view.floors_of(database.service)
        return self.view.read_demand.needs_positions(database.service) and is_behind(
            known, lag=partial(lag_of, floors, now=now), now=now
        )

    def needs_report(
        self, service: str, holders: list[InstanceId], now: Seconds
    ) -> bool:
        """Return whether this instance needs news of a service from its holder."""
        age = self.proof_age(service, now)
        is_standby = self.view.own_instance in holders[:STANDBY_COUNT]
        if is_standby and age >= MAX_STANDBY_PROOF_AGE_SECONDS:
            return True
        if self.service_states.relay() is not None:
            return False
        if not self.view.read_demand.is_expected(service):
            return False
        is_relay = self.view.own_instance == self.view.relays()[0]
        limit = MAX_RELAYED_PROOF_AGE_SECONDS if is_relay else MAX_PROOF_AGE_SECONDS
        return age >= limit or self.misses_replicas(
            service, self.probed_at.get(holders[0], 0.0), now
        )

    def silent_peers(self) -> set[InstanceId]:
        """Return the peers that owe answers and have been silent for too long."""
        return {
            peer
            for peer in self.links.awaited_peers()
            if self.links.silent_seconds(peer) >= PEER_SILENCE_SECONDS
        }

    def due_suspects(self, now: Seconds) -> set[InstanceId]:
        """Return the skipped peers to probe again, each less and less often."""
        return {
            peer
            for peer in self.view.suspects & self.view.members.keys()
            if now - self.probed_at.get(peer, 0.0) >= self.suspect_pauses.get(peer, 0.0)
        }

    def probe_peer(self, peer: InstanceId) -> None:
        """Probe one instance; skip it while it does not answer."""
        asked_at = now_seconds()
        try:
            report = self.links.call(
                peer,
                DatabaseStatesRequest(self.read_services(), self.held_by(peer)),
                DatabaseStatesResponse,
                PROBE_TIMEOUT_SECONDS,
                may_repeat=True,
            )
        except PeerLost as error:
            if self.view.may_have_stalled_since(asked_at):
                # The answer may have arrived while this process was stalled.
                return
            self.links.close_outbox(peer)
            if self.starting.is_starting(peer):
                return
            if not self.view.is_suspect(peer):
                self.view.mark_suspect(peer)
                self.log.info("A peer is silent.", peer=peer, sent=error.sent)
            pause = self.suspect_pauses.get(peer, 0.0) * SUSPECT_PAUSE_GROWTH
            self.suspect_pauses[peer] = min(
                max(pause, SUSPECT_MIN_PAUSE_SECONDS), SUSPECT_MAX_PAUSE_SECONDS
            )
        else:
            self.suspect_pauses.pop(peer, None)
            if self.view.is_suspect(peer):
                self.view.clear_suspect(peer)
                self.log.info("A peer answers again.", peer=peer)
            self.view.record_observations(report.states, asked_at)
            self.view.confirm_revision(report.revision, asked_at - report.confirmed_age)
            for state in report.states:
                if not state.age_seconds:
                    self.view.record_reachability(state, asked_at)
        finally:
            del self.running_probes[peer]
