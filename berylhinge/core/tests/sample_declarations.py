from __future__ import annotations

from typing import Any

from ..declarations import convert_declaration, Declaration


def sample_document(**changes: Any) -> dict[str, Any]:
    """Return a declaration of 2 groups of 3 upstreams, 2 organisations and 2 routes."""
    return {
        "organisations": [
            organisation_record("ark", home="north"),
            organisation_record("bod", home="south"),
        ],
        "keys": [],
        "groups": [
            {"id": "g1", "labels": {"home": "north", "service": "rota"}},
            {"id": "g2", "labels": {"home": "south", "service": "rota"}},
        ],
        "upstreams": [upstream_record(number) for number in range(6)],
        "routes": [
            {
                "id": "rota",
                "groups": {"match_labels": {"service": "rota"}},
                "match_organisation": ["home"],
                "organisations": {},
            },
            {
                "id": "public",
                "groups": {"match_labels": {"home": "south"}},
                "open": True,
                "max_age_seconds": 5,
            },
        ],
        **changes,
    }


def organisation_record(identifier: str, **labels: str) -> dict[str, Any]:
    return {
        "id": identifier,
        "rate_per_second": 100,
        "burst": 20,
        "labels": labels,
    }


def upstream_record(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "id": f"db-{number}",
        "group": "g1" if number < 3 else "g2",
        "data": f"127.0.0.1:{7000 + number}",
        "control": f"127.0.0.1:{8000 + number}",
        "place": "oslo-a",
        "connections": 16,
        "slots": 2,
        **changes,
    }


def parsed_sample(**changes: Any) -> Declaration:
    return convert_declaration(sample_document(**changes)).unwrap()
