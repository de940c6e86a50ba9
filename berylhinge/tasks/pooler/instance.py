"""Run one pooler instance from its start to its planned stop."""

from __future__ import annotations

from random import Random, SystemRandom
from typing import Any, TYPE_CHECKING

import gevent
from gevent.event import Event

from ...core.peer_envelopes import new_channel, replace_secrets
from ...core.pooler.cold_start import ColdTolerance
from ...core.pooler.placement import instance_weight
from ...core.pooler.planned_stop import are_transactions_ended, schedule_stop
from ...core.pooler.sessions import IDLE
from ...core.pooler.token_buckets import RateTolerance
from ...platform.metadata_store import MetadataStore
from ...platform.terms import features_of
from ...wire.pooling import (
    BucketHandover,
    BucketRequest,
    DatabaseStatesRequest,
    ExecuteRequest,
    RollbackRequest,
    TokenRequest,
)
from ..clock import now_seconds
from ..http_server import respond, start_server
from ..logs import Log
from ..loops import spawn_steps
from ..metrics import Metrics
from ..peer_links import Links
from .callers import CallerListener
from .evacuation_monitor import EvacuationMonitor
from .fleet_view import FleetView
from .held_databases import HeldDatabases
from .peers import PeerMonitor, register_message_types
from .promotion_duty import PromotionTask
from .rates import RateLimiter
from .registry import Registry
from .router import Router
from .store_relay import StoreRelay

if TYPE_CHECKING:
    from ...core.pooler.planned_stop import StopSchedule
    from .settings import PoolerSettings

DRAIN_POLL_SECONDS = 0.05
# Time for the last answers to leave the queues of the links and the sockets, which
# cannot be waited for.
LAST_ANSWERS_SECONDS = 0.2
# A silence is detected late by this at most, a fraction of the shortest limit, 0.15 s.
STEP_INTERVAL_SECONDS = 0.1
# Fraction of ``revocation_ms`` after which unconfirmed keys are no longer accepted; the
# rest allows for clocks that run at different speeds and for the confirming call.
TRUST_FRACTION = 0.9


class Pooler:
    """Own every task of one instance."""

    def __init__(self, settings: PoolerSettings) -> None:
        """Prepare without sockets."""
        self.settings = settings
        self.metrics = Metrics()
        self.view = FleetView(
            settings.instance,
            settings.place,
            trust_seconds=settings.revocation_ms / 1000 * TRUST_FRACTION,
            leaving_seconds=settings.leaving_ms / 1000,
            are_promotions_fenced=settings.promotions_fenced,
            features=features_of(settings.agreed_terms),
            weight=instance_weight(settings.processor_cores, settings.bandwidth_mbps),
            evacuation_seconds=settings.evacuation_ms / 1000,
            cold_tolerance=ColdTolerance(
                settings.cold_excess_factor, settings.cold_excess_requests
            ),
            regions=settings.regions or {},
        )
        self.log = Log("pooler", settings.instance)
        self.stopping = Event()
        self.ready = False
        self.links: Links | None = None
        self.link_secrets: tuple[bytes, ...] = ()
        self.jobs: list[gevent.Greenlet] = []
        self.store = MetadataStore(settings.store, on_call=self.count_platform_call)
        self.promotions = MetadataStore(
            settings.promotions, on_call=self.count_platform_call
        )
        self.registry = Registry(
            settings,
            self.store,
            self.view,
            log=Log("registry", settings.instance),
            on_change=self.on_change,
            call_counts=lambda: self.metrics.counts["platform_calls_total"],
            rng=Random(SystemRandom().getrandbits(64)),
        )

    def count_platform_call(self, call: str, result: str) -> None:
        """Count one call to the platform."""
        self.metrics.count("platform_calls_total", call, result)

    def start(self) -> None:
        """Read the declarations, register, then serve callers."""
        settings = self.settings
        self.log.info("The instance starts.", place=settings.place)
        self.readiness_server = start_server(settings.readiness, self.answer_readiness)
        self.metrics_server = start_server(settings.metrics, self.answer_metrics)
        self.registry.start()
        self.open_links()
        self.registry.follow()
        self.caller_listener.start()
        self.ready = True
        self.log.info(
            "The instance serves.",
            version=self.view.declarations.version,
            databases=len(self.view.databases),
        )

    def open_links(self) -> None:
        """Open the links to peers and create the tasks that use them."""
        settings, view = self.settings, self.view
        links = Links(
            settings.peers,
            channel=new_channel(
                settings.instance,
                self.registry.applier.incarnation,
                self.registry.applier.secrets,
            ),
            on_count=self.metrics.count_peer_message,
            on_fault=Log("links", settings.instance).fault,
        )
        register_message_types(links)
        self.held_databases = HeldDatabases(
            view, Log("holder", settings.instance), self.metrics
        )
        links.register_call(
            ExecuteRequest, self.held_databases.run_statement, takes_delay=True
        )
        links.register(RollbackRequest, self.held_databases.abandon_transaction)
        links.register_call(DatabaseStatesRequest, self.held_databases.report_databases)
        self.peer_monitor = PeerMonitor(view, links, Log("peers", settings.instance))
        self.rate_limiter = RateLimiter(
            view,
            links,
            first_start=settings.first_start,
            tolerance=RateTolerance(
                settings.rate_window_seconds,
                settings.rate_excess_part,
                settings.rate_excess_operations,
            ),
            is_starting=self.peer_monitor.starting.is_starting,
            reached_fraction=lambda: self.peer_monitor.reached_fraction,
            log=Log("rates", settings.instance),
        )
        links.register_call(TokenRequest, self.rate_limiter.answer_token_request)
        handover = self.rate_limiter.handover
        links.register(BucketHandover, handover.receive_buckets)
        links.register_call(BucketRequest, handover.answer_bucket_request)
        self.promotion_task = PromotionTask(
            view,
            self.held_databases,
            links,
            store=self.store,
            promotions=self.promotions,
            metrics=self.metrics,
            log=Log("duty", settings.instance),
        )
        self.evacuation_monitor = EvacuationMonitor(
            view,
            self.held_databases,
            metrics=self.metrics,
            log=Log("evacuation", settings.instance),
        )
        self.router = Router(
            view,
            self.held_databases,
            links,
            await_proof=self.peer_monitor.await_proof,
            await_peer=self.peer_monitor.await_peer,
            metrics=self.metrics,
            log=Log("router", settings.instance),
        )
        self.caller_listener = CallerListener(
            settings.callers,
            view,
            router=self.router,
            rate_limiter=self.rate_limiter,
            metrics=self.metrics,
            log=Log("callers", settings.instance),
        )
        self.links = links
        self.registry.relay = StoreRelay(
            view,
            links,
            self.registry.history,
            log=Log("relay", settings.instance),
            rng=self.registry.rng,
        )
        self.on_change()
        links.start()
        steps = (
            self.held_databases.tend,
            self.rate_limiter.handover.hand_over,
            self.peer_monitor.look_at_holders,
            self.promotion_task.watch,
            self.evacuation_monitor.watch,
        )
        self.jobs = [spawn_steps(steps, STEP_INTERVAL_SECONDS, self.log)]

    def on_change(self) -> None:
        """Update the tasks after the registry changed the view."""
        self.view.invalidate_assignment()
        if self.links is not None:
            secrets = self.registry.applier.secrets
            if secrets != self.link_secrets:
                self.link_secrets = secrets
                self.links.channel = replace_secrets(self.links.channel, secrets)
            self.peer_monitor.update_link_peers()
        self.view.changed.notify()

    def answer_readiness(self, environ: Any, start_response: Any) -> list[bytes]:
        """Answer the load balancer whether new callers may be sent here."""
        serving = (
            self.ready
            and self.view.is_confirmed()
            and self.peer_monitor.has_reached_fleet()
            and self.view.stop is None
        )
        return respond(start_response, 200 if serving else 503, b"{}")

    def answer_metrics(self, environ: Any, start_response: Any) -> list[bytes]:
        """Return the metrics."""
        self.metrics.gauge("store_era", self.store.era)
        self.metrics.gauge("store_revision", self.view.revision)
        if self.links is not None:
            self.held_databases.update_gauges()
            self.router.read_balancer.set_gauges()
            self.metrics.gauge(
                "fleet_reached_fraction", self.peer_monitor.reached_fraction
            )
        body, content_type = self.metrics.render()
        return respond(start_response, 200, body, content_type=content_type)

    def shut_down(self) -> None:
        """Leave the fleet without interrupting a request, within the grace period."""
        self.log.info("The instance is leaving.")
        stop = schedule_stop(now_seconds(), self.settings.grace_seconds)
        self.view.stop = stop
        self.view.invalidate_assignment()
        if self.links is None:
            return
        self.rate_limiter.handover.hand_over()
        gevent.spawn(self.registry.registration.announce_leaving)
        while now_seconds() < stop.closes_all_at:
            if self.caller_listener.closing:
                self.caller_listener.close_idle()
                if self.owes_nothing():
                    break
            if are_transactions_ended(stop, now_seconds()):
                self.held_databases.end_transactions()
            gevent.sleep(DRAIN_POLL_SECONDS)
        self.end_connections(stop)
        self.log.info(
            "The instance stopped.",
            seconds=round(now_seconds() - stop.begins_at, 3),
            sessions=len(self.caller_listener.sessions),
            running=self.held_databases.running,
            open=sum(
                session.session.state != IDLE
                for session in self.caller_listener.sessions
            ),
        )

    def end_connections(self, stop: StopSchedule) -> None:
        """Refuse what still comes, and let answers leave before the process ends."""
        now = now_seconds()
        self.view.stop = stop._replace(free_until=now, answered_by=now)
        self.caller_listener.end_waiting()
        gevent.sleep(min(LAST_ANSWERS_SECONDS, stop.ends_at - now))
        self.caller_listener.log_running()

    def stop(self) -> None:
        """Close every socket immediately."""
        self.ready = False
        self.view.stop = schedule_stop(now_seconds(), 0.0)
        self.readiness_server.stop()
        self.metrics_server.stop()
        gevent.killall(self.registry.running_loops, block=False)
        if self.links is not None:
            self.caller_listener.stop()
            gevent.killall([job for job in self.jobs if job], block=False)
            for task in self.held_databases.tasks.values():
                task.close()
            self.links.stop()

    def owes_nothing(self) -> bool:
        """Return whether no caller and no other instance waits for an answer."""
        return (
            not self.caller_listener.sessions
            and not self.held_databases.running
            and not self.held_databases.has_open_transactions()
        )
