"""Keep a task for each database that units are sent to through this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.outcomes import may_be_kept, not_run
from ...core.pooler.placement import UNSEEN
from ...types import Role
from ...wire.pooling import Abandon, Looked, Seen, UnitDone
from ..clock import now_seconds
from .holder import DatabaseTask
from .view import PASSED_OVER_SECONDS

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Database
    from ...types import InstanceId, Seconds, UpstreamId
    from ...wire.pooling import Look, RunUnit
    from ..logs import Log
    from .view import View


class Holding:
    """Own the tasks of databases."""

    def __init__(self, view: View, log: Log) -> None:
        """Start without databases."""
        self.view = view
        self.log = log
        self.tasks: dict[UpstreamId, DatabaseTask] = {}

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

    def run(self, sender: InstanceId, unit: RunUnit, delay: Seconds = 0.0) -> UnitDone:
        """Run one unit that was this much longer on its way than others."""
        if delay >= PASSED_OVER_SECONDS and not may_be_kept(unit):
            if unit.continues:
                self.abandon(sender, Abandon(unit.database, unit.transaction))
            result = not_run(unit, f"it arrived {delay:.3f} s late")
            return UnitDone(result, "late")
        unit = unit._replace(
            goal_seconds=unit.goal_seconds - delay,
            give_up_seconds=unit.give_up_seconds - delay,
        )
        task = self.tasks.get(unit.database)
        if task is None or not unit.continues:
            task = self.task(unit.database)
        if task is None:
            result = not_run(unit, f"{unit.database} is not known here")
            return UnitDone(result, "not-holding")
        given_up = self.view.given_up.get(unit.database, 0.0) > now_seconds()
        if given_up and not unit.continues:
            result = not_run(unit, f"{unit.database} is not reached from here")
            return UnitDone(result, "given-up")
        return task.run(sender, unit, delay)

    def abandon(self, sender: InstanceId, message: Abandon) -> None:
        """Roll back a transaction."""
        task = self.tasks.get(message.database)
        if task is not None:
            task.abandon(sender, message)

    def look(self, sender: InstanceId, message: Look) -> Looked:
        """Tell what is known of the databases that this instance holds.

        The holder of a primary also tells of its replicas, which spares those that
        ask a question to each.
        """
        held = [
            task.seen()
            for task in self.tasks.values()
            if task.database.id in self.view.databases
        ]
        known = {entry.database for entry in held}
        led = {
            task.database.service
            for task in self.tasks.values()
            if task.database.role is Role.PRIMARY and self.holds(task.database.id)
        }
        others = [
            self.reported_state(database)
            for database in self.view.databases.values()
            if database.service in led and database.id not in known
        ]
        age = now_seconds() - self.view.confirmed_at
        return Looked((*held, *others), self.view.revision, age)

    def reported_state(self, database: Database) -> Seen:
        """Return what another holder told of its database."""
        sight = self.view.sights.get(database.id, UNSEEN)
        age = now_seconds() - sight.heard_at
        return Seen(database.id, sight.point, sight.wait_seconds, None, True, age)

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
        self.view.tick()
        held = {name for name in self.view.databases if self.holds(name)}
        for identifier in held:
            self.task(identifier)
        for identifier, task in list(self.tasks.items()):
            task.tend(holding=identifier in held)
            if identifier in self.view.databases:
                self.view.see_all((task.seen(),), now_seconds())
            elif not task.pinned and not task.queue.running:
                task.close()
                del self.tasks[identifier]
