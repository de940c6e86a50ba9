"""Serve the groups for which rendezvous hashing ranks this instance high enough."""

from __future__ import annotations

import random
import time
from typing import NamedTuple, TYPE_CHECKING

import gevent

from ..core.connections import divide_connection_limit
from ..wire.peers import UnreachableReport
from .group_task import GroupOptions, GroupTask
from .logs import Log
from .statement_executor import StatementExecutor

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from ..core.declaration_index import DeclarationIndex
    from ..core.declarations import Upstream
    from ..core.roster import Member
    from ..settings import Settings
    from ..types import GroupId, InstanceId
    from .metrics import Metrics
    from .peer_links import Links
    from .transactions import TransactionTable

RETIRE_POLL_SECONDS = 0.05


class ServedGroupsOptions(NamedTuple):
    """Carry the settings and services that all group tasks share.

    ``rank_serving_instances`` returns the live instances that serve a group, best rank
    first.
    """

    own_member: Member
    settings: Settings
    rank_serving_instances: Callable[[GroupId], tuple[InstanceId, ...]]
    peer_links: Links
    transactions: TransactionTable
    metrics: Metrics
    ssl_context: ssl.SSLContext | None


class ServedGroups:
    """Own the tasks of the groups that this instance serves."""

    def __init__(self, options: ServedGroupsOptions) -> None:
        """Serve no group until a configuration is set."""
        self.options = options
        self.own_instance = options.own_member.instance
        self.declaration_index: DeclarationIndex | None = None
        self.group_tasks: dict[GroupId, GroupTask] = {}
        self.executors: dict[GroupId, StatementExecutor] = {}
        options.peer_links.register(UnreachableReport, self.on_unreachable_report)

    def stop(self) -> None:
        """Stop every task at once."""
        for task in self.group_tasks.values():
            task.stop()

    def reconcile_tasks(self) -> None:
        """Start, update and stop group tasks to match the rendezvous ranking."""
        if self.declaration_index is None:
            return
        wanted = {}
        for group, upstreams in self.declaration_index.members.items():
            serving = self.options.rank_serving_instances(group)
            if not serving and group in self.group_tasks:
                # A leaving instance that knows no other instance keeps serving.
                serving = (self.own_instance,)
            if self.own_instance in serving and upstreams:
                wanted[group] = (serving.index(self.own_instance), len(serving))
        for group in list(self.group_tasks):
            if group not in wanted:
                self.retire_group(group)
        for group, (rank, count) in wanted.items():
            self.ensure_task(group, self.declaration_index.members[group], rank, count)

    def ensure_task(
        self,
        group: GroupId,
        upstreams: tuple[Upstream, ...],
        rank: int,
        count: int,
    ) -> None:
        """Start a group's task, or update a running one."""
        allowances = {
            upstream["id"]: divide_connection_limit(
                upstream["connections"], count, rank
            )
            for upstream in upstreams
        }
        running = self.group_tasks.get(group)
        if running is not None and running.has_members(upstreams):
            running.update_allocation(rank, allowances)
            return
        if running is not None:
            self.retire_group(group)
        options = GroupOptions(
            instance=self.own_instance,
            promoter_name=f"{self.own_instance}#{self.options.own_member.incarnation}",
            failure_domain=self.options.settings.place,
            rank=rank,
            connection_allowances=allowances,
            max_queued=self.options.settings.limits.queue,
            connect_seconds=self.options.settings.limits.connect_seconds,
            ssl_context=self.options.ssl_context,
            weights=self.organisation_weights(),
        )
        task = GroupTask(
            group,
            upstreams,
            options,
            live_peers=lambda: self.serving_peers(group),
            send_to_peer=self.options.peer_links.send,
            metrics=self.options.metrics,
            log=Log("group", self.own_instance),
        )
        task.start()
        self.group_tasks[group] = task
        rng = random.Random(f"{self.options.own_member}/{group}")
        self.executors[group] = StatementExecutor(task, self.options.metrics, rng)

    def organisation_weights(self) -> dict[str, float]:
        """Return each organisation's weight in the fair queue."""
        organisations = (
            self.declaration_index.organisations if self.declaration_index else {}
        )
        return {
            name: organisation.get("weight", 1.0)
            for name, organisation in organisations.items()
        }

    def on_unreachable_report(
        self, sender: InstanceId, message: UnreachableReport
    ) -> None:
        """Pass a peer's report of unreachable members to the group's task."""
        if message.group in self.group_tasks:
            self.group_tasks[message.group].on_unreachable_report(sender, message)

    def retire_group(self, group: GroupId) -> None:
        """Stop serving a group; statements that already run here may finish."""
        executor = self.executors.pop(group)
        gevent.spawn(self.stop_when_idle, self.group_tasks.pop(group), executor)

    def stop_when_idle(self, task: GroupTask, executor: StatementExecutor) -> None:
        """Stop a group's task once it is unused or the transaction limit has passed."""
        ends_at = time.monotonic() + self.options.settings.limits.transaction_seconds
        while time.monotonic() < ends_at and self.is_in_use(executor):
            task.close_idle_connections()
            gevent.sleep(RETIRE_POLL_SECONDS)
        task.stop()

    def is_in_use(self, executor: StatementExecutor) -> bool:
        """Tell whether statements or transactions still use a group here."""
        return (
            executor.active_statements > 0
            or self.options.transactions.count_open(executor) > 0
        )

    def serving_peers(self, group: GroupId) -> frozenset[InstanceId]:
        """Return the other live instances that serve a group."""
        return frozenset(self.options.rank_serving_instances(group)) - {
            self.own_instance
        }
