from __future__ import annotations

import pytest

from ...reasons import RefusalReason
from ...types import StatementOutcome
from ..declaration_index import build_index
from ..route_resolution import resolve_route, RouteTarget
from .sample_declarations import organisation_record, parsed_sample

ONLY_NORTH = {"match_labels": {"home": "north"}}
ROUTES = [
    {
        "id": "rota",
        "groups": {"match_labels": {"service": "rota"}},
        "match_organisation": ["home"],
        "organisations": {},
    },
    {"id": "north", "groups": ONLY_NORTH, "organisations": ONLY_NORTH},
    {"id": "public", "groups": ONLY_NORTH, "open": True, "max_age_seconds": 5},
    {"id": "wide", "groups": {}, "organisations": {}},
    {"id": "nothing", "groups": {"match_labels": {"no": "no"}}, "organisations": {}},
]
INDEX = build_index(
    parsed_sample(
        routes=ROUTES,
        organisations=[
            organisation_record("ark", home="north"),
            organisation_record("bod", home="south"),
            organisation_record("cat"),
        ],
    )
)


@pytest.mark.parametrize(
    "route, organisation_id, group",
    [
        ("rota", "ark", "g1"),
        ("rota", "bod", "g2"),
        ("north", "ark", "g1"),
        ("public", None, "g1"),
        ("public", "bod", "g1"),
    ],
)
def test_resolved_group(route: str, organisation_id: str | None, group: str) -> None:
    age = 5.0 if route == "public" else None
    expected = RouteTarget(route, organisation_id, group, age)
    assert resolve_route(INDEX, route, organisation_id).unwrap() == expected


@pytest.mark.parametrize(
    "route, organisation_id, reason",
    [
        ("absent", "ark", RefusalReason.UNKNOWN_ROUTE),
        ("rota", None, RefusalReason.MISSING_KEY),
        ("north", "bod", RefusalReason.ROUTE_FORBIDDEN),
        ("rota", "cat", RefusalReason.NO_UPSTREAM),
        ("wide", "ark", RefusalReason.NO_UPSTREAM),
        ("nothing", "ark", RefusalReason.NO_UPSTREAM),
    ],
)
def test_unresolved_route_is_refused(
    route: str, organisation_id: str | None, reason: RefusalReason
) -> None:
    refusal = resolve_route(INDEX, route, organisation_id).failure()
    assert refusal.reason is reason
    assert refusal.outcome is StatementOutcome.NOT_RUN
