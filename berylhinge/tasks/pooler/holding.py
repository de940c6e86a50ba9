"""Keep a task for each database that units are sent to through this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.outcomes import not_run
from ...wire.pooling import Looked, UnitDone
from ..loops import spawn_loop
from .holder import DatabaseTask
from .view import now_seconds

if TYPE_CHECKING:
    import gevent

    from ...types import InstanceId, UpstreamId
    from ...wire.pooling import Abandon, Look, RunUnit
    from ..logs import Log
    from .view import View

TEND_SECONDS = 0.1


class Holding:
    """Own the tasks of databases."""

    def __init__(self, view: View, log: Log) -> None:
        """Start without databases."""
        self.view = view
        self.log = log
        self.tasks: dict[UpstreamId, DatabaseTask] = {}

    def start(self) -> gevent.Greenlet:
        """Start tending databases."""
        return spawn_loop(self.tend, lambda: TEND_SECONDS, self.log)

    def task(self, database: UpstreamId) -> DatabaseTask | None:
        """Return the task of a known database."""
        known = self.view.databases.get(database)
        if known is None:
            return None
        found = self.tasks.get(database)
        if found is None or found.database.born_ms != known.born_ms:
            if found is not None:
                found.close()
            found = self.tasks[database] = DatabaseTask(known, self.view, self.log)
        found.database = found.connections.database = known
        return found

    def run(self, sender: InstanceId, unit: RunUnit) -> UnitDone:
        """Run one unit."""
        task = self.tasks.get(unit.database)
        if task is None or not unit.transaction or unit.begin:
            task = self.task(unit.database)
        if task is None:
            result = not_run(unit, f"{unit.database} is not known here")
            return UnitDone(result, "not-holding", None, None, 0.0)
        fresh = not unit.transaction or bool(unit.begin)
        if fresh and self.view.given_up.get(unit.database, 0.0) > now_seconds():
            result = not_run(unit, f"{unit.database} is not reached from here")
            return UnitDone(result, "given-up", None, None, 0.0)
        return task.run(sender, unit)

    def abandon(self, sender: InstanceId, message: Abandon) -> None:
        """Roll back a transaction."""
        task = self.tasks.get(message.database)
        if task is not None:
            task.abandon(sender, message)

    def look(self, sender: InstanceId, message: Look) -> Looked:
        """Tell what is known of the databases that this instance holds."""
        return Looked(
            tuple(
                task.seen()
                for task in self.tasks.values()
                if task.database.id in self.view.databases
            ),
            self.view.revision,
            now_seconds() - self.view.confirmed_at,
        )

    def holds(self, database: UpstreamId) -> bool:
        """Tell whether this instance is a database's rightful holder.

        One that cannot confirm its keys leaves the connections to the others.
        """
        known = self.view.databases.get(database)
        if known is None or not self.view.is_confirmed():
            return False
        return self.view.holders(known)[0] == self.view.me

    def tend(self) -> None:
        """Open, prove and close what is due."""
        for database in list(self.view.databases.values()):
            if self.holds(database.id):
                self.task(database.id)
        for identifier, task in list(self.tasks.items()):
            task.tend(holding=self.holds(identifier))
            seen = task.seen()
            known = self.view.databases.get(identifier)
            if known is None:
                if not task.pinned and not task.queue.running:
                    task.close()
                    del self.tasks[identifier]
                continue
            self.view.see_all((seen,), now_seconds())
