"""Compose one instance from its tasks."""

from __future__ import annotations

import random
import time
from typing import Any, TYPE_CHECKING

import gevent
from gevent.event import Event

from ..core.connections import connection_allowance
from ..core.envelopes import new_envelopes
from ..core.requests import Timeouts
from ..core.roster import Member, vouchers
from ..settings import reveal_secrets
from ..wire.operators import DRAIN_PATH, WITHDRAWALS_PATH
from ..wire.peers import ReachReport
from . import shutdown
from .callers import CallersApp
from .configuration import ConfigurationTask
from .dispatch import Dispatcher
from .execution import Executor
from .fleet import FleetTask
from .group import GroupOptions, GroupTask
from .http import parse_address, server_address, start_server
from .links import Links
from .live import LiveList
from .logs import Log
from .metrics import Metrics
from .operators import OperatorsApp
from .platform import PlatformClient
from .tls import callers_context, TlsReloader, upstream_context
from .transactions import Transactions

if TYPE_CHECKING:
    from ..core.configuration import Configuration
    from ..core.declarations import Upstream
    from ..core.index import DeclarationIndex
    from ..errors import FieldError
    from ..settings import Settings
    from ..types import GroupId, InstanceId
    from ..wire.platform import InstanceRecord

LAG_SAMPLE_SECONDS = 0.05
RETIRE_PAUSE_SECONDS = 0.05


class Proxy:
    """Own every task of one instance."""

    def __init__(self, settings: Settings, *, incarnation: int) -> None:
        """Listen on every address; serve after ``start``."""
        self.settings = settings
        self.incarnation = incarnation
        self.me = Member(settings.instance, incarnation)
        self.metrics = Metrics()
        self.log = Log("proxy", settings.instance)
        self.index: DeclarationIndex | None = None
        self.groups: dict[GroupId, GroupTask] = {}
        self.hub_lag = 0.0
        self.stopping = Event()
        self.reloader: TlsReloader | None = None
        self.upstream_context = upstream_context(settings.tls)
        self.platform = PlatformClient(
            [parse_address(text) for text in settings.platform],
            timeout_seconds=settings.limits.store_seconds,
            on_call=lambda result: self.metrics.count("store_calls_total", result),
        )
        secrets = reveal_secrets(settings)
        self.links = Links(
            parse_address(settings.peers),
            envelopes=new_envelopes(settings.instance, incarnation, secrets),
            on_count=self.metrics.count_peer,
        )
        self.transactions = Transactions(
            settings.instance, limit_seconds=settings.limits.transaction_seconds
        )
        self.links.register(ReachReport, self.on_reach)
        self.build_tasks()
        self.open_listeners()
        self.take_bound_addresses()

    def build_tasks(self) -> None:
        """Create the tasks that share this instance's links and platform."""
        settings = self.settings
        self.live = LiveList(
            self.record(),
            self.platform,
            on_change=self.on_live,
            log=Log("live", settings.instance),
        )
        self.fleet = FleetTask(
            self.me,
            links=self.links,
            platform=self.platform,
            live=self.live.members,
            serving_count=settings.serving_instances,
            log=Log("fleet", settings.instance),
        )
        self.configuration = ConfigurationTask(
            settings.instance,
            links=self.links,
            platform=self.platform,
            vouchers=self.voucher_names,
            on_adopt=self.on_adopt,
            log=Log("configuration", settings.instance),
        )
        self.dispatcher = Dispatcher(
            settings.instance,
            fleet=self.fleet,
            prove_keys=self.configuration.await_fresh,
            links=self.links,
            transactions=self.transactions,
            metrics=self.metrics,
            log=self.log,
        )

    def open_listeners(self) -> None:
        """Listen for callers and operators."""
        limits = self.settings.limits
        self.callers_app = CallersApp(
            self.dispatcher,
            self.metrics,
            body_limit_bytes=limits.body_bytes,
            body_timeout_seconds=limits.body_seconds,
            timeouts=Timeouts(limits.statement_seconds, limits.statement_limit_seconds),
        )
        context = callers_context(self.settings.tls)
        self.callers = start_server(
            parse_address(self.settings.callers),
            self.callers_app,
            ssl_context=context,
            max_connections=limits.connections,
            idle_seconds=limits.idle_seconds,
        )
        if context is not None:
            self.reloader = TlsReloader(
                context, self.settings.tls, on_reload=self.on_reload
            )
        operators = OperatorsApp(
            self.metrics,
            is_ready=self.is_ready,
            status=self.status,
            refresh=self.refresh_gauges,
            actions={WITHDRAWALS_PATH: self.withdraw, DRAIN_PATH: self.drain},
        )
        self.operators = start_server(parse_address(self.settings.operators), operators)

    def record(self) -> InstanceRecord:
        """Return what the platform lists of this instance."""
        settings = self.settings
        return {
            "instance": settings.instance,
            "incarnation": self.incarnation,
            "place": settings.place,
            "state": "live",
            "peer": settings.peers,
            "callers": settings.callers,
            "operators": settings.operators,
        }

    def take_bound_addresses(self) -> None:
        """Announce the addresses that others use, with the ports really bound."""
        settings, record = self.settings, self.live.record
        callers = str(server_address(self.callers))
        operators = str(server_address(self.operators))
        record["peer"] = settings.advertised_peers or str(self.links.address)
        record["callers"] = settings.advertised_callers or callers
        record["operators"] = settings.advertised_operators or operators

    def start(self) -> None:
        """Start every task."""
        self.links.start()
        self.transactions.start()
        self.live.start()
        self.fleet.start()
        self.configuration.start()
        gevent.spawn(self.watch_hub)
        if self.reloader is not None:
            self.reloader.start()
        self.log.info("The instance started.", callers=self.settings.callers)

    def shut_down(self) -> None:
        """Stop gracefully: leave, finish what runs, hand units back, then stop."""
        shutdown.shut_down(self)
        self.stop()

    def stop(self) -> None:
        """Stop at once."""
        if self.reloader is not None:
            self.reloader.stop()
        self.callers.stop(timeout=0)
        self.operators.stop(timeout=0)
        self.configuration.stop()
        self.fleet.stop()
        self.live.stop()
        self.transactions.stop()
        for group in self.groups.values():
            group.stop()
        self.links.stop()
        self.platform.close()

    def voucher_names(self) -> tuple[InstanceId, ...]:
        """Return the instances that vouch for this one."""
        members = self.fleet.state.permit.roster.members
        return tuple(member.instance for member in vouchers(members, self.me))

    def on_live(self) -> None:
        """Follow a changed list of instances."""
        peers = self.live.peers()
        self.links.set_peers(peers)
        self.configuration.set_peers(tuple(sorted(peers)))
        self.serve_groups()

    def on_adopt(self, configuration: Configuration, index: DeclarationIndex) -> None:
        """Put a configuration in force on every task."""
        self.index = index
        self.dispatcher.index = index
        self.fleet.configure(index)
        self.transactions.abandon_keys(self.is_withdrawn)
        self.serve_groups()

    def is_withdrawn(self, key: str) -> bool:
        """Tell whether a key no longer works."""
        known = self.index.keys.get(key) if self.index else None
        return bool(key) and (known is None or known.withdrawn)

    def serve_groups(self) -> None:
        """Start and stop group tasks as rendezvous hashing says."""
        if self.index is None:
            return
        wanted = {}
        for group, upstreams in self.index.members.items():
            serving = self.fleet.serving(group)
            if self.settings.instance in serving and upstreams:
                wanted[group] = (serving.index(self.settings.instance), len(serving))
        for group in list(self.groups):
            if group not in wanted:
                self.stop_group(group)
        for group, (rank, count) in wanted.items():
            self.serve_group(group, self.index.members[group], rank, count)

    def serve_group(
        self,
        group: GroupId,
        upstreams: tuple[Upstream, ...],
        rank: int,
        count: int,
    ) -> None:
        """Start a group's task, or adjust a running one."""
        allowances = {
            upstream["id"]: connection_allowance(upstream["connections"], count, rank)
            for upstream in upstreams
        }
        running = self.groups.get(group)
        if running is not None and running.serves(upstreams):
            running.adjust(rank, allowances)
            return
        if running is not None:
            self.stop_group(group)
        options = GroupOptions(
            instance=self.settings.instance,
            promoter=f"{self.settings.instance}#{self.incarnation}",
            place=self.settings.place,
            rank=rank,
            allowances=allowances,
            queue=self.settings.limits.queue,
            connect_seconds=self.settings.limits.connect_seconds,
            ssl_context=self.upstream_context,
            weights=self.weights(),
        )
        task = GroupTask(
            group,
            upstreams,
            options,
            live_peers=lambda: self.serving_peers(group),
            send=self.links.send,
            metrics=self.metrics,
            log=Log("group", self.settings.instance),
        )
        task.start()
        self.groups[group] = task
        rng = random.Random(f"{self.me}/{group}")
        self.dispatcher.executors[group] = Executor(task, self.metrics, rng)

    def weights(self) -> dict[str, float]:
        """Return the organisations' weights."""
        organisations = self.index.organisations if self.index else {}
        return {name: one.get("weight", 1.0) for name, one in organisations.items()}

    def on_reach(self, sender: InstanceId, message: ReachReport) -> None:
        """Hand a peer's evidence to the group's task."""
        if message.group in self.groups:
            self.groups[message.group].on_report(sender, message)

    def stop_group(self, group: GroupId) -> None:
        """Give a group to others and let what runs here end."""
        executor = self.dispatcher.executors.pop(group)
        gevent.spawn(self.retire, self.groups.pop(group), executor)

    def retire(self, task: GroupTask, executor: Executor) -> None:
        """Stop a group's task once nothing runs on it, or at the limit."""
        ends_at = time.monotonic() + self.settings.limits.transaction_seconds
        while time.monotonic() < ends_at and self.is_busy(executor):
            task.close_idle()
            gevent.sleep(RETIRE_PAUSE_SECONDS)
        task.stop()

    def is_busy(self, executor: Executor) -> bool:
        """Tell whether statements or transactions still use a group here."""
        return executor.active > 0 or self.transactions.count(executor) > 0

    def serving_peers(self, group: GroupId) -> frozenset[InstanceId]:
        """Return the other live instances that serve a group."""
        return frozenset(self.fleet.serving(group)) - {self.settings.instance}

    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        if self.index is None or self.callers_app.leaving:
            return False
        member = self.me in self.fleet.state.permit.roster.members
        return member and self.configuration.is_fresh()

    def on_reload(self, errors: tuple[FieldError, ...]) -> None:
        """Log what came of changed certificate files."""
        if errors:
            text = "; ".join(map(str, errors))
            self.log.info("The old certificate stays in use.", errors=text)
        else:
            self.log.info("A new certificate is in use.")

    def watch_hub(self) -> None:
        """Measure how long the hub stalls."""
        while True:
            started = time.monotonic()
            gevent.sleep(LAG_SAMPLE_SECONDS)
            stall = time.monotonic() - started - LAG_SAMPLE_SECONDS
            self.hub_lag = max(self.hub_lag * 0.99, stall)

    def withdraw(self, body: dict[str, Any]) -> dict[str, Any]:
        """Withdraw keys at once."""
        self.configuration.withdraw(tuple(str(key) for key in body["keys"]))
        return {"version": self.configuration.version}

    def drain(self, body: dict[str, Any]) -> dict[str, Any]:
        """Begin a planned stop."""
        self.stopping.set()
        return {"draining": self.settings.instance}

    def refresh_gauges(self) -> None:
        """Set the gauges before a scrape."""
        gauge = self.metrics.gauge
        gauge("configuration_version", self.configuration.version)
        gauge("hub_lag_seconds", self.hub_lag)
        for name, group in self.groups.items():
            report = group.report()
            gauge("group_term", report["term"], group=name)
            for upstream, member in report["members"].items():
                if member["lag_entries"] is not None:
                    gauge(
                        "replica_lag_entries",
                        member["lag_entries"],
                        upstream=upstream,
                    )
        for name, bucket in self.fleet.state.rates.buckets.items():
            gauge("rate_units", bucket.units, organisation=name)

    def status(self) -> dict[str, Any]:
        """Return the instance's status for operators."""
        return {
            "instance": self.settings.instance,
            "incarnation": self.incarnation,
            "place": self.settings.place,
            "state": self.live.record["state"],
            "ready": self.is_ready(),
            "config_version": self.configuration.version,
            "roster_epoch": self.fleet.state.permit.roster.epoch,
            "keys_proven": self.configuration.is_fresh(),
            "groups": {name: group.report() for name, group in self.groups.items()},
            "shares": {
                name: {"units": bucket.units, "tokens": bucket.tokens}
                for name, bucket in self.fleet.state.rates.buckets.items()
            },
        }
