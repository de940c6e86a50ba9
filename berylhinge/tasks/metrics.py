"""Count requests, refusals and retries, and render them for scraping."""

from __future__ import annotations

import collections
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from ..reasons import RefusalReason, RetryReason
from ..types import StatementOutcome

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    float("inf"),
)


class CounterSpec(NamedTuple):
    """Describe a counter by its help text and its one or two labels."""

    help_text: str
    labels: tuple[str, ...]


COUNTERS = {
    "answers_total": CounterSpec("Answered requests.", ("access",)),
    "refusals_total": CounterSpec("Refused requests.", ("reason", "outcome")),
    "retries_total": CounterSpec("Retried statements.", ("reason",)),
    "reads_total": CounterSpec("Reads by the role that served them.", ("role",)),
    "peer_messages_total": CounterSpec("Peer messages.", ("event",)),
    "peer_bytes_total": CounterSpec("Peer bytes.", ("event",)),
    "slot_refusals_total": CounterSpec(
        "Statements refused for lack of room at a database.", ("reason", "priority")
    ),
    "connections_total": CounterSpec(
        "Connections to databases, by whether they were opened, reused or evicted.",
        ("event",),
    ),
    "overdue_statements_total": CounterSpec(
        "Statements whose slots were freed before an answer came.", ()
    ),
    "promotions_total": CounterSpec("Promotions.", ("result",)),
    "databases_set_aside_total": CounterSpec(
        "Databases that were set aside for reads, or returned.", ("reason",)
    ),
    "store_calls_total": CounterSpec("Platform calls.", ("result",)),
    "platform_calls_total": CounterSpec(
        "Calls to the users' platform by their name.", ("call", "result")
    ),
}
GAUGES = {
    "group_term": "Highest term seen, by group.",
    "replica_lag_entries": "Entries behind the primary, by upstream.",
    "rate_units": "Rate units held, by organisation.",
    "configuration_version": "Configuration version in force.",
    "hub_lag_seconds": "Longest recent stall of the hub.",
    "store_era": "How many times the users' store was restored, as it says.",
    "store_revision": "Newest revision of the users' store that is known.",
    "slot_waiting": "Statements that wait for a slot, by database and priority.",
    "slot_largest_share": "Largest organisation's part of the admitted slot time.",
    "database_busy_share": "Share of the slots in use as last reported, by database.",
    "database_statements": "Statements that wait or run as last reported, by database.",
    "database_load_age_seconds": "Age of the last report of load, by database.",
    "database_set_aside": "1 if set aside for reads, by database and reason.",
    "service_load_spread": "Busiest database's share of slots over the mean, by service.",
    "database_connections": "Connections that this instance holds, by database.",
    "fleet_reached_fraction": "Part of the asked instances that answer.",
    "evacuated_domains": "Failure domains that are evacuated, as known here.",
    "evacuated_databases_in_use": "Evacuated databases with work, held here.",
    "queue_length": "Requests that wait for a connection, by group.",
}


class Metrics:
    """Count in plain integers and copy them into collectors at each scrape."""

    def __init__(self) -> None:
        """Register every collector and start each reason at zero."""
        self.registry = Registry()
        self.counts: dict[str, collections.Counter[tuple[str, ...]]] = {
            name: collections.Counter() for name in COUNTERS
        }
        self.counters = {
            name: Counter(f"berylhinge_{name}", spec.help_text, registry=self.registry)
            for name, spec in COUNTERS.items()
        }
        self.gauges = {
            name: Gauge(f"berylhinge_{name}", help_text, registry=self.registry)
            for name, help_text in GAUGES.items()
        }
        self.latency = Histogram(
            "berylhinge_request_seconds",
            "Time from request to answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self.slot_refusal = Histogram(
            "berylhinge_slot_refusal_seconds",
            "Time from a statement's arrival at a database's queue to its refusal.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        for reason in RefusalReason:
            self.counts["refusals_total"][
                reason.value, StatementOutcome.NOT_RUN.value
            ] = 0
        for retry in RetryReason:
            self.counts["retries_total"][retry.value,] = 0

    def count(self, name: str, *labels: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name][labels] += by

    def count_refusal(self, reason: RefusalReason, outcome: StatementOutcome) -> None:
        """Count one refusal by the reason and outcome sent to the caller."""
        self.counts["refusals_total"][reason.value, outcome.value] += 1

    def count_retry(self, reason: RetryReason) -> None:
        """Count one retry."""
        self.counts["retries_total"][reason.value,] += 1

    def count_peer_message(self, event: str, size_bytes: int) -> None:
        """Count one peer message and its bytes."""
        self.counts["peer_messages_total"][event,] += 1
        self.counts["peer_bytes_total"][event,] += size_bytes

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[name].set(labels, value)

    def render(self) -> tuple[bytes, str]:
        """Return the text exposition and its content type."""
        for name, counts in self.counts.items():
            labels = COUNTERS[name].labels
            for values, value in counts.items():
                self.counters[name].set(dict(zip(labels, values, strict=True)), value)
        body, headers = render(self.registry, ["text/plain"])
        return body, headers["Content-Type"]
