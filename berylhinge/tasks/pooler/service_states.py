"""Learn of services through the relay of the failure domain.

Load pattern: hundreds of instances that each read every service now and then. Were each
to ask the holder of every primary for proofs, the questions would grow with instances
times services, most of them between failure domains.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler.catalogue import databases_of
from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.floors import newest_proof
from ...wire.pooling import (
    DatabaseState,
    DatabaseStatesResponse,
    ServiceStatesRequest,
)
from ..clock import now_seconds
from ..peer_frames import PeerLost
from .database_tracker import proof_for_peer

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds
    from ..peer_links import Links
    from .fleet_view import FleetView

# In smaller fleets each instance asks the holders itself.
MIN_RELAYED_INSTANCES = 24
# Oldest leadership proof that a relay passes on without asking for a newer one.
MAX_RELAYED_PROOF_AGE_SECONDS = 0.5
# How long a relay waits for a newer proof before it answers.
RELAY_PROOF_WAIT_SECONDS = 0.03
RELAY_TIMEOUT_SECONDS = 0.3
# Shortest interval between two questions for one service.
MIN_QUESTION_INTERVAL_SECONDS = 0.25
# How long the holders are asked after the relay did not answer.
PASSED_OVER_SECONDS = 3.0


class ServiceStates:
    """Ask the relay about services, and answer peers that ask this instance."""

    def __init__(
        self,
        view: FleetView,
        links: Links,
        *,
        renew_proof: Callable[[str, Seconds], None],
    ) -> None:
        """Start idle; ``renew_proof`` asks a primary's holder and waits briefly."""
        self.view = view
        self.links = links
        self.renew_proof = renew_proof
        self.running: dict[str, gevent.Greenlet] = {}
        self.asked_at: dict[str, Seconds] = {}
        self.passed_over_until: Seconds = 0.0
        links.register_call(ServiceStatesRequest, self.answer)

    def relay(self) -> InstanceId | None:
        """Return whom to ask about services; None to ask their holders."""
        if len(self.view.members) < MIN_RELAYED_INSTANCES:
            return None
        if now_seconds() < self.passed_over_until:
            return None
        relay = self.view.relays()[0]
        return None if relay == self.view.own_instance else relay

    def ask(self, relay: InstanceId, services: Collection[str]) -> None:
        """Ask the relay about services in a task of its own."""
        now = now_seconds()
        due = tuple(
            service
            for service in services
            if service not in self.running
            and now - self.asked_at.get(service, 0.0) >= MIN_QUESTION_INTERVAL_SECONDS
        )
        if due:
            question = gevent.spawn(self.run_question, relay, due)
            self.asked_at.update(dict.fromkeys(due, now))
            self.running.update(dict.fromkeys(due, question))

    def wait(self, service: str, seconds: Seconds) -> None:
        """Wait for the answer about a service if it was asked for."""
        question = self.running.get(service)
        if question is not None:
            question.join(seconds)

    def run_question(self, relay: InstanceId, services: tuple[str, ...]) -> None:
        """Ask the relay and record its answer."""
        asked_at = now_seconds()
        try:
            report = self.links.call(
                relay,
                ServiceStatesRequest(services),
                DatabaseStatesResponse,
                RELAY_TIMEOUT_SECONDS,
                may_repeat=True,
            )
        except PeerLost:
            self.passed_over_until = now_seconds() + PASSED_OVER_SECONDS
        else:
            self.view.record_observations(report.states, asked_at)
        finally:
            for service in services:
                del self.running[service]

    def answer(
        self, sender: InstanceId, message: ServiceStatesRequest
    ) -> DatabaseStatesResponse:
        """Report the databases of services, with proofs that are recent if possible."""
        renewals = []
        for service in message.services:
            self.view.read_demand.expect(service)
            proof = newest_proof(self.view.floors_of(service))
            age = float("inf") if proof is None else now_seconds() - proof.asked_at
            if age >= MAX_RELAYED_PROOF_AGE_SECONDS:
                renewals.append(
                    gevent.spawn(self.renew_proof, service, RELAY_PROOF_WAIT_SECONDS)
                )
        gevent.joinall(renewals, timeout=RELAY_PROOF_WAIT_SECONDS)
        states = tuple(
            self.relayed_state(database)
            for service in message.services
            for database in databases_of(self.view.databases, service)
        )
        age = now_seconds() - self.view.confirmed_at
        return DatabaseStatesResponse(states, self.view.revision, age)

    def relayed_state(self, database: Database) -> DatabaseState:
        """Return the state of a database, with its service's newest proof."""
        now = now_seconds()
        known = self.view.observations.get(database.id, UNOBSERVED)
        proof = newest_proof(self.view.floors_of(database.service))
        return DatabaseState(
            database.id,
            known.point,
            known.wait_seconds,
            proof_for_peer(proof, now),
            True,
            now - known.observed_at,
            self.view.reported_load(database.id),
        )
