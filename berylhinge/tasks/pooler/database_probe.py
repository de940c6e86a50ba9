"""Request the status of one database until it answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ...platform import line_protocol
from ..clock import now_seconds, rounded_age
from ..http_connection import ConnectionFailed
from .connection_pool import UnitFailed

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ..logs import Log
    from .connection_pool import ConnectionPool
    from .database_tracker import DatabaseTracker
    from .fleet_view import FleetView

STATUS_TIMEOUT_SECONDS = 0.3
# Pause between status requests to a database that does not answer.
PROBE_PAUSE_SECONDS = 0.1


class DatabaseProbe:
    """Record the status of one database in its tracker."""

    def __init__(
        self, pool: ConnectionPool, tracker: DatabaseTracker, view: FleetView, log: Log
    ) -> None:
        """Start idle."""
        self.pool = pool
        self.tracker = tracker
        self.view = view
        self.log = log
        self.is_running = False

    @property
    def database(self) -> Database:
        """Return the database as it is known now."""
        return self.pool.database

    def start(self) -> None:
        """Start requesting the status until the database answers or is given up."""
        if not self.is_running and self.may_use_database():
            self.is_running = True
            gevent.spawn(self.request_until_answered)

    def may_use_database(self) -> bool:
        """Return whether the database is announced and no evacuation forbids its use."""
        return (
            self.database.id in self.view.databases
            and self.view.evacuations.may_start_work(self.database)
        )

    def request_until_answered(self) -> None:
        """Request the status, and again while the database has failed."""
        is_silent = False
        try:
            self.request_status()
            while self.tracker.has_failed and self.may_use_database():
                if not is_silent and self.tracker.is_unresponsive:
                    is_silent = True
                    self.log_unresponsive()
                gevent.sleep(PROBE_PAUSE_SECONDS)
                if self.may_use_database():
                    self.request_status()
            if is_silent and not self.tracker.has_failed:
                self.log.info("A database answers again.", database=self.database.id)
        finally:
            self.is_running = False

    def log_unresponsive(self) -> None:
        """Log that this instance cannot reach the database."""
        health = self.tracker.health
        self.log.info(
            "A database does not answer.",
            database=self.database.id,
            silent_seconds=rounded_age(health.failed_since),
            refused=health.refused,
        )

    def request_status(self) -> None:
        """Request the status on any connection, and record the outcome."""
        asked_at = now_seconds()
        try:
            connection = self.pool.acquire_any(STATUS_TIMEOUT_SECONDS)
        except UnitFailed:
            # The pool records the failure where it opens the connection.
            return
        if connection is None:
            return
        try:
            answer = connection.run_internal(
                line_protocol.STATUS_TEXT, STATUS_TIMEOUT_SECONDS
            )
        except ConnectionFailed:
            self.tracker.record_failure(asked_at, refused=False)
        else:
            may_lead = self.view.may_use_as_primary(self.database)
            is_primary = self.tracker.record_status(answer, asked_at, may_lead=may_lead)
            if (
                is_primary
                and self.view.is_next_leader(self.database)
                and self.view.is_lead_proven(self.database, self.tracker.point)
            ):
                self.view.record_lead(self.database)
                self.log.info(
                    "A database leads.",
                    database=self.database.id,
                    service=self.database.service,
                )
        self.pool.release(connection, clean=True)
