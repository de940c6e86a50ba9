"""Define the scenario document of a load experiment."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from ..core.text_formats import (
    Identifier,
    NonNegativeNumber,
    PositiveInteger,
    PositiveNumber,
)
from ..errors import DocumentError, FieldError
from .documents import decode_document

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Kind(StrEnum):
    """Identifier what one operation does."""

    READ = "read"
    FRESH = "fresh"
    AGED = "aged"
    WRITE = "write"
    INSERT = "insert"
    TRANSACTION = "transaction"


READS = frozenset({Kind.READ, Kind.FRESH, Kind.AGED})
WRITES = frozenset({Kind.WRITE, Kind.INSERT, Kind.TRANSACTION})


class Mix(TypedDict):
    """Weigh the kinds of operation against each other."""

    read: NonNegativeNumber
    fresh: NonNegativeNumber
    aged: NonNegativeNumber
    write: NonNegativeNumber
    insert: NonNegativeNumber
    transaction: NonNegativeNumber


class Surge(TypedDict):
    """Multiply an organisation's offered rate for a while."""

    from_seconds: NonNegativeNumber
    to_seconds: PositiveNumber
    factor: PositiveNumber


class Organisation(TypedDict):
    """Describe one organisation's allowance and what it offers.

    ``first_instance_share`` of its requests go to the first instance, the rest
    to any instance at random.
    """

    organisation: Identifier
    rate_per_second: PositiveNumber
    burst: PositiveNumber
    weight: PositiveNumber
    offered_per_second: PositiveNumber
    sessions: PositiveInteger
    shape: NotRequired[Literal["poisson", "uniform", "batches"]]
    first_instance_share: NotRequired[Share]
    surges: NotRequired[list[Surge]]


class FleetSize(TypedDict):
    """Describe the processes that the experiment runs against."""

    places: list[Identifier]
    service: Identifier
    databases: list[Identifier]
    upstreams_per_group: PositiveInteger
    slots: PositiveInteger
    connections: PositiveInteger
    connect_seconds: NonNegativeNumber
    link_seconds: NonNegativeNumber
    client_seconds: NonNegativeNumber
    statement_seconds: NonNegativeNumber
    replication_seconds: NonNegativeNumber
    instances: PositiveInteger


class Fault(TypedDict):
    """Order one action at a moment of the run.

    ``target`` names a route for ``cut-primary``, ``heal-group`` and
    ``leave-primary``; the platform's actions and ``replace-instances`` take none.
    """

    at_seconds: NonNegativeNumber
    action: Literal[
        "cut-primary",
        "leave-primary",
        "heal-group",
        "platform-down",
        "platform-up",
        "replace-instances",
        "kill-instance",
    ]
    target: NotRequired[str]


class Scenario(TypedDict):
    """Describe one experiment whole."""

    name: Identifier
    user: Identifier
    fault: Identifier
    seed: int
    seconds: PositiveNumber
    warmup_seconds: NonNegativeNumber
    timeout_seconds: PositiveNumber
    max_age_seconds: PositiveNumber
    mix: Mix
    organisations: list[Organisation]
    fleet: FleetSize
    faults: list[Fault]


def decode_scenario(data: bytes) -> Scenario:
    """Decode and check a scenario; raise DocumentError."""
    scenario = decode_document(Scenario, data)
    wrong = tuple(contradictions(scenario))
    if wrong:
        raise DocumentError(wrong)
    return scenario


def contradictions(scenario: Scenario) -> list[FieldError]:
    """List the fields that are well-formed but cannot hold together."""
    wrong = []
    if not sum(scenario["mix"].values()):  # type: ignore[arg-type]
        wrong.append(FieldError("$.mix", "all zero", "a weight", "weigh one kind"))
    names = [entry["organisation"] for entry in scenario["organisations"]]
    if not names or len(set(names)) != len(names):
        wrong.append(
            FieldError(
                "$.organisations",
                "none or a repeated name",
                "distinct names",
                "rename one",
            )
        )
    routes = scenario["fleet"]["databases"]
    for number, fault in enumerate(scenario["faults"]):
        target = fault.get("target")
        if target is not None and target not in routes:
            wrong.append(
                FieldError(
                    f"$.faults[{number}].target",
                    target,
                    f"one of {', '.join(routes)}",
                    "name a declared database",
                )
            )
    return wrong


def with_seconds(scenario: Scenario, seconds: float) -> Scenario:
    """Stretch or shorten the scenario, its faults and surges along with it."""
    factor = seconds / scenario["seconds"]
    faults = [
        fault | {"at_seconds": fault["at_seconds"] * factor}
        for fault in scenario["faults"]
    ]
    organisations = [
        entry
        | {
            "surges": [
                surge
                | {
                    "from_seconds": surge["from_seconds"] * factor,
                    "to_seconds": surge["to_seconds"] * factor,
                }
                for surge in entry.get("surges", [])
            ]
        }
        for entry in scenario["organisations"]
    ]
    return scenario | {  # type: ignore[return-value]
        "seconds": seconds,
        "faults": faults,
        "organisations": organisations,
    }
