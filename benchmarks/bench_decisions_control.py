"""Measure the request path's control decisions and the work of a new version.

Prints ``name value unit`` lines, at today's size and at 2,400 upstreams.
"""

from __future__ import annotations

import random
from time import perf_counter
from typing import Any, TYPE_CHECKING

from berylhinge.core.api_keys import authenticate_key, grant_key
from berylhinge.core.configuration import (
    Configuration,
    RECORDED_CHANGES_LIMIT,
    RecordedChange,
)
from berylhinge.core.configuration_parts import (
    assemble_configuration,
    decode_head,
    encode_for_peer,
    encode_for_store,
    find_missing_parts,
    split_configuration,
)
from berylhinge.core.declaration_index import build_index
from berylhinge.core.declaration_validation import validate_declaration
from berylhinge.core.declarations import convert_declaration
from berylhinge.core.peer_envelopes import new_channel, open_message, seal_message
from berylhinge.core.route_resolution import resolve_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylhinge.core.declarations import Declaration

ROUNDS = 20_000
REPEATS = 5
BODY_BYTES = 200
CHANGES = tuple(
    RecordedChange(id=f"{number:016x}", version=number)
    for number in range(RECORDED_CHANGES_LIMIT)
)
SIZES = ((8, 3, 8), (2_000, 800, 20_000))


def report(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name} {value:.3f} {unit}", flush=True)


def per_call(name: str, call: Callable[[], Any]) -> None:
    """Print the best mean time of several repeats, as timeit advises."""
    best = min(mean_seconds(call, ROUNDS) for _ in range(REPEATS))
    report(name, best * 1e6, "us")


def mean_seconds(call: Callable[[], Any], rounds: int) -> float:
    """Return the mean time of a call."""
    started = perf_counter()
    for _ in range(rounds):
        call()
    return (perf_counter() - started) / rounds


def once(name: str, call: Callable[[], Any]) -> Any:
    """Print the time of one call and return its result."""
    started = perf_counter()
    result = call()
    report(name, (perf_counter() - started) * 1e3, "ms")
    return result


def declare(organisations: int, groups: int, keys: int) -> Declaration:
    """Declare a fleet of groups of three upstreams each."""
    homes = [f"home-{number}" for number in range(groups)]
    rng = random.Random(1)
    return {
        "organisations": [
            {
                "id": f"organisation-{number}",
                "rate_per_second": 100.0,
                "burst": 200.0,
                "weight": 1.0,
                "labels": {"home": homes[number % groups], "size": "small"},
            }
            for number in range(organisations)
        ],
        "keys": [
            grant_key(f"organisation-{number % organisations}", rng.randbytes).record
            for number in range(keys)
        ],
        "groups": [
            {"id": f"group-{home}", "labels": {"service": "rota-db", "home": home}}
            for home in homes
        ],
        "upstreams": [
            upstream(number, f"group-{homes[number // 3]}")
            for number in range(3 * groups)
        ],
        "routes": [
            {
                "id": f"route-{number}",
                "groups": {"match_labels": {"service": "rota-db"}},
                "match_organisation": ["home"],
                "organisations": {
                    "match_expressions": [
                        {"key": "size", "operator": "In", "values": ["small", "large"]}
                    ]
                },
            }
            for number in range(3)
        ],
    }


def upstream(number: int, group: str) -> Any:
    """Declare one upstream."""
    host = f"10.{number // 60_000}.{number // 250 % 250}.{number % 250}"
    return {
        "id": f"upstream-{number}",
        "group": group,
        "data": f"{host}:7000",
        "control": f"{host}:7001",
        "place": f"place-{number % 7}",
        "labels": {"tier": "database"},
        "connections": 16,
        "slots": 2,
        "state": "live",
    }


def request_path(prefix: str, declaration: Declaration) -> None:
    """Measure what each request pays."""
    granted = grant_key("organisation-1", random.Random(2).randbytes)
    keys = [*declaration["keys"], granted.record]
    index = build_index({**declaration, "keys": keys})
    header = f"Bearer {granted.text.reveal()}"
    wrong = "Bearer bh_0123456789abcdef_wrong"
    per_call(
        f"{prefix}routing", lambda: resolve_route(index, "route-1", "organisation-1")
    )
    per_call(f"{prefix}key_valid", lambda: authenticate_key(index, header))
    per_call(f"{prefix}key_unknown", lambda: authenticate_key(index, wrong))


def new_version(prefix: str, declaration: Declaration) -> None:
    """Measure what each new version costs an operator and an instance."""
    once(f"{prefix}read", lambda: convert_declaration(declaration))
    once(f"{prefix}validate", lambda: validate_declaration(declaration))
    configuration = Configuration(1, (), {}, declaration)
    parted = once(f"{prefix}part", lambda: split_configuration(configuration))
    value, parts = encode_for_store(parted)
    whole = sum(map(len, parted.encoded_parts.values()))
    report(f"{prefix}configuration_size", whole / 1e3, "kB")
    largest = max(map(len, [value, *parts.values()]))
    report(f"{prefix}largest_value", largest / 1e3, "kB")
    report(f"{prefix}part_values", len(parts), "values")
    head = decode_head(value).unwrap()
    held = once(
        f"{prefix}assemble", lambda: assemble_configuration(head, parts)
    ).unwrap()
    old = held.configuration.declaration
    index = once(f"{prefix}index", lambda: build_index(old))
    changed = list(declaration["keys"])
    changed[0] = {**changed[0], "state": "withdrawn"}
    later = split_configuration(
        Configuration(2, CHANGES, {}, {**declaration, "keys": changed})
    )
    pulled = encode_for_peer(later)
    moved = find_missing_parts(decode_head(pulled).unwrap(), parted.encoded_parts)
    size = len(pulled) + sum(len(later.encoded_parts[digest]) for digest in moved)
    report(f"{prefix}pull_of_one_change", size / 1e3, "kB")
    known = {
        **held.encoded_parts,
        **{digest: later.encoded_parts[digest] for digest in moved},
    }
    head = decode_head(pulled).unwrap()
    found = once(
        f"{prefix}assemble_one_change",
        lambda: assemble_configuration(head, known, previous=held),
    ).unwrap()
    changed_declaration = found.configuration.declaration
    once(
        f"{prefix}index_one_change",
        lambda: build_index(changed_declaration, previous=index),
    )


def peer_messages() -> None:
    """Measure sealing and opening one peer message, under two secrets."""
    sender = new_channel("instance-1", 1, (b"s" * 32,))
    receiver = new_channel("instance-2", 1, (b"n" * 32, b"s" * 32))
    body = bytes(BODY_BYTES)

    def make() -> bytes:
        return seal_message(
            sender, body, recipient="instance-2", recipient_incarnation=1
        )

    per_call("envelope_seal", make)
    messages = iter([make() for _ in range(ROUNDS * REPEATS)])
    per_call("envelope_unseal", lambda: open_message(receiver, next(messages)).unwrap())


def main() -> None:
    """Print all figures."""
    for organisations, groups, keys in SIZES:
        declaration = declare(organisations, groups, keys)
        prefix = f"upstreams_{3 * groups}_"
        request_path(prefix, declaration)
        new_version(prefix, declaration)
    peer_messages()


if __name__ == "__main__":
    main()
