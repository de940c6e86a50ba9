"""Ask databases for their status on new connections, here and at other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...core.pooler.database_selection import UNOBSERVED
from ...core.pooler.leadership import choose_witnesses
from ...core.pooler.received_logs import LogSurvey
from ...core.pooler.statements import ErrorCode
from ...core.rendezvous import rank_nodes
from ...platform import line_protocol
from ...types import ReceivedPoint
from ...wire.pooling import ReachabilityRequest, ReachabilityResponse
from ..clock import now_seconds
from ..http_connection import ConnectionFailed
from ..peer_frames import PeerLost
from .connection_pool import UnitFailed
from .database_connection import ConnectRefused, DatabaseConnection

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds, UpstreamId
    from ..peer_links import Links
    from .fleet_view import FleetView
    from .held_databases import HeldDatabases

# Time to connect and to answer a status request; a database that takes longer counts as
# unreachable.
REACH_TIMEOUT_SECONDS = 0.3
WITNESS_TIMEOUT_SECONDS = 0.4
# The same where a status is needed, since its database may alone hold acknowledged
# commits: a slow one may queue the request behind statements.
NEEDED_STATUS_SECONDS = 1.0
# Pause before a database that had no slot for the request is asked again.
BUSY_PAUSE_SECONDS = 0.05

UNREACHED = ReachabilityResponse(False, None)


def received_by(answer: line_protocol.DatabaseAnswer) -> ReceivedPoint | None:
    """Return what a database said that it has received, None without a status."""
    status = line_protocol.parse_status(answer.rows[0]) if answer.rows else None
    return status.received if status is not None else None


class StatusRequests:
    """Ask whether databases are reached, and what they have received."""

    def __init__(
        self, view: FleetView, held_databases: HeldDatabases, links: Links
    ) -> None:
        """Register the answer to peers."""
        self.view = view
        self.held_databases = held_databases
        self.links = links
        links.register_call(ReachabilityRequest, self.answer_reachability)

    def probe_database(
        self, database: Database, timeout_seconds: Seconds = REACH_TIMEOUT_SECONDS
    ) -> ReachabilityResponse:
        """Request a database's status on a new connection."""
        organisation = line_protocol.status_organisation(self.view.declarations.quotas)
        connection = DatabaseConnection(0, organisation)
        try:
            connection.open(database, timeout_seconds)
            return ReachabilityResponse(
                True, self.request_received(connection, timeout_seconds)
            )
        except ConnectRefused as error:
            if error.code is ErrorCode.TOO_MANY_CONNECTIONS:
                return self.probe_on_held_connection(database, timeout_seconds)
            # A database that refuses a connection with an error code is running.
            return ReachabilityResponse(error.code is not None, None)
        except ConnectionFailed:
            return UNREACHED
        finally:
            connection.close()

    def request_received(
        self, connection: DatabaseConnection, timeout_seconds: Seconds
    ) -> ReceivedPoint | None:
        """Return what a database has received, None without a status.

        A database that has no slot for the request is asked again until the timeout.
        """
        deadline = now_seconds() + timeout_seconds
        while True:
            answer = connection.exchange(
                "", line_protocol.STATUS_TEXT, deadline - now_seconds()
            )
            if answer.code is None:
                return received_by(answer)
            if now_seconds() + BUSY_PAUSE_SECONDS >= deadline:
                return None
            gevent.sleep(BUSY_PAUSE_SECONDS)

    def probe_on_held_connection(
        self, database: Database, timeout_seconds: Seconds
    ) -> ReachabilityResponse:
        """Request a status on an idle connection, of a database that opens no more."""
        answered_without_status = ReachabilityResponse(True, None)
        task = self.held_databases.tasks.get(database.id)
        if task is None:
            return answered_without_status
        try:
            connection = task.pool.acquire_any(timeout_seconds)
        except UnitFailed:
            return answered_without_status
        if connection is None:
            return answered_without_status
        try:
            received = self.request_received(connection, timeout_seconds)
        except ConnectionFailed:
            return answered_without_status
        finally:
            task.pool.release(connection, clean=True)
        return ReachabilityResponse(True, received)

    def answer_reachability(
        self, sender: InstanceId, message: ReachabilityRequest
    ) -> ReachabilityResponse:
        """Answer a peer whether this instance reaches a database."""
        database = self.view.databases.get(message.database)
        return UNREACHED if database is None else self.probe_database(database)

    def choose_witnesses(self, database: Database) -> list[InstanceId]:
        """Return the instances to ask whether they reach a database."""
        others = {
            member.instance: member.failure_domain
            for member in self.view.members.values()
            if not member.leaving and member.instance != self.view.own_instance
        }
        usable = {
            name: domain
            for name, domain in others.items()
            if not self.view.is_suspect(name)
        }
        ranked = rank_nodes(others, f"witness/{database.id}")
        return list(choose_witnesses(ranked, usable or others))

    def ask_witness(
        self,
        name: InstanceId,
        database: Database,
        timeout_seconds: Seconds = WITNESS_TIMEOUT_SECONDS,
    ) -> ReachabilityResponse | None:
        """Ask one witness whether it reaches a database; None if it did not answer."""
        try:
            return self.links.call(
                name,
                ReachabilityRequest(database.id),
                ReachabilityResponse,
                timeout_seconds,
                may_repeat=True,
            )
        except PeerLost:
            return None

    def survey_logs(
        self, replicas: Sequence[Database], synchronous_replicas: int
    ) -> LogSurvey:
        """Ask databases what they have received.

        Where one of them may alone hold acknowledged commits, they get more time, and
        those without a status are asked by other instances too.
        """
        is_needed = synchronous_replicas > 0
        timeout = NEEDED_STATUS_SECONDS if is_needed else REACH_TIMEOUT_SECONDS
        jobs = {
            entry.id: gevent.spawn(self.probe_database, entry, timeout)
            for entry in replicas
        }
        wait = 2 * timeout if is_needed else WITNESS_TIMEOUT_SECONDS
        gevent.joinall(list(jobs.values()), timeout=wait)
        answers = {name: job.value or UNREACHED for name, job in jobs.items()}
        if is_needed:
            without = [entry for entry in replicas if not answers[entry.id].received]
            answers.update(self.ask_about(without))
        received, at_least = {}, {}
        for name, answer in answers.items():
            known = self.view.observations.get(name, UNOBSERVED).point
            if answer.received is not None:
                received[name] = answer.received
            elif answer.reachable and known is not None:
                at_least[name] = ReceivedPoint(*known)
        return LogSurvey(received, at_least)

    def ask_about(
        self, databases: Sequence[Database]
    ) -> dict[UpstreamId, ReachabilityResponse]:
        """Return what other instances learned of the databases that answer them.

        A database's holder may still have a connection to it.
        """
        jobs = {
            entry.id: [
                gevent.spawn(self.ask_witness, name, entry, NEEDED_STATUS_SECONDS)
                for name in {
                    *self.choose_witnesses(entry),
                    *self.view.holders(entry)[:1],
                }
                - {self.view.own_instance}
            ]
            for entry in databases
        }
        every_job = [job for asked in jobs.values() for job in asked]
        gevent.joinall(every_job, timeout=NEEDED_STATUS_SECONDS)
        found = {}
        for name, asked in jobs.items():
            answers = [job.value for job in asked if job.value is not None]
            points = [answer.received for answer in answers if answer.received]
            if points:
                found[name] = ReachabilityResponse(True, max(points))
        return found
