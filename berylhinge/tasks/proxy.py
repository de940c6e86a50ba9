"""Compose one instance from its tasks."""

from __future__ import annotations

import time
from typing import Any, TYPE_CHECKING

import gevent
from gevent.event import Event

from ..core.lifecycle import INSTANCE_CHART, InstanceConditions, next_stage, READY_STAGE
from ..core.requests import TimeoutLimits
from ..core.roster import majority_size, Member
from ..wire.operators import DRAIN_PATH, WITHDRAWALS_PATH
from . import shutdown
from .callers_app import CallersApp
from .capacity_task import CapacityTask
from .configuration_task import ConfigurationTask
from .dispatcher import Dispatcher
from .http_server import parse_address, server_address, start_server
from .instance_list import InstanceListTask
from .logs import Log
from .membership_task import MembershipCallbacks, MembershipTask
from .metrics import Metrics
from .operators_app import OperatorsApp
from .peer_sockets import open_peer_sockets
from .platform_client import PlatformClient
from .served_groups import ServedGroups, ServedGroupsOptions
from .tls import load_callers_context, load_upstream_context, TlsReloader
from .transactions import TransactionTable

if TYPE_CHECKING:
    from ..core.configuration import Configuration
    from ..core.declaration_index import DeclarationIndex
    from ..errors import FieldError
    from ..settings import Settings
    from ..wire.platform import InstanceRecord

HUB_LAG_SAMPLE_SECONDS = 0.05
RETIRE_PAUSE_SECONDS = 0.05


class Proxy:
    """Own every task of one instance."""

    def __init__(self, settings: Settings, *, incarnation: int) -> None:
        """Listen on every address; serve after ``start``."""
        self.settings = settings
        self.incarnation = incarnation
        self.own_member = Member(settings.instance, incarnation)
        self.metrics = Metrics()
        self.log = Log("proxy", settings.instance)
        self.index: DeclarationIndex | None = None
        self.hub_lag_seconds = 0.0
        self.majority_was_known = False
        self.stage = INSTANCE_CHART.initial
        self.stop_requested = Event()
        self.reloader: TlsReloader | None = None
        self.upstream_context = load_upstream_context(settings.tls)
        self.platform_client = PlatformClient(
            [parse_address(text) for text in settings.platform],
            timeout_seconds=settings.limits.store_seconds,
            on_call=lambda result: self.metrics.count("store_calls_total", result),
        )
        self.links, self.probes = open_peer_sockets(
            settings, self.own_member, self.metrics.count_peer_message
        )
        self.transactions = TransactionTable(
            settings.instance, limit_seconds=settings.limits.transaction_seconds
        )
        self.build_tasks()
        self.open_listeners()
        self.record_bound_addresses()

    def build_tasks(self) -> None:
        """Create the tasks that share this instance's links and platform."""
        settings = self.settings
        self.membership = MembershipTask(
            self.own_member,
            address=self.links.address,
            probe_socket=self.probes,
            get_version=lambda: self.configuration.version,
            callbacks=MembershipCallbacks(
                on_change=self.on_instances_changed,
                on_version=lambda *received: self.configuration.record_peer_version(
                    *received
                ),
                on_superseded=self.on_superseded,
            ),
            log=Log("members", settings.instance),
        )
        self.live_list = InstanceListTask(
            self.make_instance_record(),
            self.platform_client,
            on_list=self.membership.apply_list,
            log=Log("live", settings.instance),
        )
        self.fleet = CapacityTask(
            self.own_member,
            links=self.links,
            platform=self.platform_client,
            list_live_members=self.membership.serving_members,
            is_gone=self.membership.is_gone,
            is_suspect=self.membership.is_suspect,
            serving_count=settings.serving_instances,
            get_version_state=lambda: self.configuration.version_state(),
            on_version_proof=lambda *proof: self.configuration.record_proof(*proof),
            log=Log("fleet", settings.instance),
        )
        self.configuration = ConfigurationTask(
            settings.instance,
            links=self.links,
            platform=self.platform_client,
            list_attesters=self.fleet.attester_instances,
            on_adopt=self.on_configuration_adopted,
            log=Log("configuration", settings.instance),
        )
        self.groups = ServedGroups(
            ServedGroupsOptions(
                own_member=self.own_member,
                settings=settings,
                rank_serving_instances=self.fleet.instances_for_group,
                peer_links=self.links,
                transactions=self.transactions,
                metrics=self.metrics,
                ssl_context=self.upstream_context,
            )
        )
        self.dispatcher = Dispatcher(
            settings.instance,
            fleet=self.fleet,
            executors=self.groups.executors,
            await_key_proof=self.configuration.await_freshness,
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
            timeouts=TimeoutLimits(
                limits.statement_seconds, limits.statement_limit_seconds
            ),
        )
        context = load_callers_context(self.settings.tls)
        self.caller_server = start_server(
            parse_address(self.settings.callers),
            self.callers_app,
            ssl_context=context,
            max_connections=limits.connections,
            idle_seconds=limits.idle_seconds,
        )
        if context is not None:
            self.reloader = TlsReloader(
                context, self.settings.tls, on_reload=self.on_certificate_reload
            )
        operators_app = OperatorsApp(
            self.metrics,
            is_ready=self.is_ready,
            get_status=self.status,
            refresh_metrics=self.refresh_gauges,
            actions={
                WITHDRAWALS_PATH: self.withdraw_keys,
                DRAIN_PATH: self.request_drain,
            },
        )
        self.operator_server = start_server(
            parse_address(self.settings.operators), operators_app
        )

    def make_instance_record(self) -> InstanceRecord:
        """Return this instance's record for the platform's list of instances."""
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

    def record_bound_addresses(self) -> None:
        """Record the advertised addresses; by default those of the bound sockets."""
        settings, record = self.settings, self.live_list.own_record
        callers = str(server_address(self.caller_server))
        operators = str(server_address(self.operator_server))
        record["peer"] = settings.advertised_peers or str(self.links.address)
        record["callers"] = settings.advertised_callers or callers
        record["operators"] = settings.advertised_operators or operators
        self.links.advertised_address = record["peer"]
        self.membership.set_advertised_address(record["peer"])

    def start(self) -> None:
        """Start every task."""
        self.links.start()
        self.transactions.start()
        self.membership.start()
        self.live_list.start()
        self.fleet.start()
        self.configuration.start()
        gevent.spawn(self.measure_hub_lag)
        if self.reloader is not None:
            self.reloader.start()
        self.log.info("The instance started.", callers=self.settings.callers)

    def shut_down(self) -> None:
        """Announce leaving, finish running requests, return rate units, then stop."""
        shutdown.shut_down(self)
        self.stop()

    def stop(self) -> None:
        """Stop every task and close every socket at once."""
        if self.reloader is not None:
            self.reloader.stop()
        self.caller_server.stop(timeout=0)
        self.operator_server.stop(timeout=0)
        self.configuration.stop()
        self.fleet.stop()
        self.live_list.stop()
        self.membership.stop()
        self.transactions.stop()
        self.groups.stop()
        self.links.stop()
        self.platform_client.close()

    def on_instances_changed(self) -> None:
        """Apply a changed list of instances to every task."""
        self.fleet.clear_serving_cache()
        peers = self.membership.peer_addresses()
        self.links.set_peers(peers)
        self.configuration.set_peers(tuple(sorted(peers)))
        self.groups.reconcile_tasks()

    def on_superseded(self) -> None:
        """Request a stop, because a newer process runs as this instance."""
        self.log.info("Another process runs as this instance; stopping.")
        self.stop_requested.set()

    def on_configuration_adopted(
        self, configuration: Configuration, index: DeclarationIndex
    ) -> None:
        """Apply a newly adopted configuration to every task."""
        self.index = index
        self.dispatcher.index = index
        self.groups.declaration_index = index
        self.fleet.apply_limits(index)
        self.transactions.abort_withdrawn(self.is_key_withdrawn)
        self.groups.reconcile_tasks()

    def is_key_withdrawn(self, key: str) -> bool:
        """Tell whether a key is withdrawn or no longer declared."""
        known = self.index.keys.get(key) if self.index else None
        return bool(key) and (known is None or known.withdrawn)

    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        return self.advance_stage() == READY_STAGE

    def advance_stage(self) -> str:
        """Advance the instance's state chart by the current conditions."""
        conditions = InstanceConditions(
            listening=self.caller_server.started or self.callers_app.is_leaving,
            synced=self.is_synced(),
            stop_asked=self.callers_app.is_leaving,
            drained=self.callers_app.is_refusing,
            grace_expired=False,
        )
        self.stage = next_stage(self.stage, conditions)
        return self.stage

    def is_synced(self) -> bool:
        """Tell whether the instance has a configuration and proven keys.

        It must also be in the roster and have known a majority of the other members.
        """
        if self.index is None:
            return False
        members = self.fleet.state.permit.roster.members
        return (
            self.own_member in members
            and self.has_known_majority(members)
            and self.configuration.is_fresh()
        )

    def has_known_majority(self, members: tuple[Member, ...]) -> bool:
        """Tell whether a majority of the other members was ever known by address.

        From then on, rate units can be requested.
        """
        if not self.majority_was_known:
            others = [
                member.instance for member in members if member != self.own_member
            ]
            known = sum(name in self.links.contacts.registered for name in others)
            self.majority_was_known = known >= majority_size(len(others))
        return self.majority_was_known

    def on_certificate_reload(self, errors: tuple[FieldError, ...]) -> None:
        """Log the result of reloading changed certificate files."""
        if errors:
            text = "; ".join(map(str, errors))
            self.log.info("The old certificate stays in use.", errors=text)
        else:
            self.log.info("A new certificate is in use.")

    def measure_hub_lag(self) -> None:
        """Measure how long the gevent hub stalls, as a decaying maximum (seconds)."""
        while True:
            started = time.monotonic()
            gevent.sleep(HUB_LAG_SAMPLE_SECONDS)
            stall = time.monotonic() - started - HUB_LAG_SAMPLE_SECONDS
            self.hub_lag_seconds = max(self.hub_lag_seconds * 0.99, stall)

    def withdraw_keys(self, body: dict[str, Any]) -> dict[str, Any]:
        """Withdraw keys at once and return the configuration version."""
        self.configuration.withdraw_keys(tuple(str(key) for key in body["keys"]))
        return {"version": self.configuration.version}

    def request_drain(self, body: dict[str, Any]) -> dict[str, Any]:
        """Begin a planned stop."""
        self.stop_requested.set()
        return {"draining": self.settings.instance}

    def refresh_gauges(self) -> None:
        """Set the gauges before a scrape."""
        gauge = self.metrics.gauge
        gauge("configuration_version", self.configuration.version)
        gauge("hub_lag_seconds", self.hub_lag_seconds)
        for name, group in self.groups.group_tasks.items():
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
            "state": self.advance_stage(),
            "ready": self.is_ready(),
            "config_version": self.configuration.version,
            "roster_epoch": self.fleet.state.permit.roster.epoch,
            "keys_proven": self.configuration.is_fresh(),
            "groups": {
                name: group.report() for name, group in self.groups.group_tasks.items()
            },
            "shares": {
                name: {"units": bucket.units, "tokens": bucket.tokens}
                for name, bucket in self.fleet.state.rates.buckets.items()
            },
        }
