from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from ...errors import DocumentError
from ..scenario import decode_scenario, with_seconds

SCENARIOS = sorted((Path(__file__).parents[1] / "scenarios").glob("*.json"))
USERS = ("kattevakt", "agency")
FAULTS = (
    "calm",
    "primary-cut-off",
    "noisy-organisation",
    "store-down",
    "rolling-replacement",
)


def test_every_user_ships_every_fault() -> None:
    names = {path.stem for path in SCENARIOS}
    assert names == {f"{user}-{fault}" for user in USERS for fault in FAULTS}


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_shipped_scenarios_hold(path: Path) -> None:
    scenario = decode_scenario(path.read_bytes())
    assert scenario["name"] == path.stem
    assert scenario["name"] == f"{scenario['user']}-{scenario['fault']}"


WRONG = [
    ({"seconds": "long"}, "$.seconds"),
    ({"seconds": -1}, "$.seconds"),
    ({"colour": 1}, "$.colour"),
    ({"organisations": []}, "$.organisations"),
    ({"faults": [{"at_seconds": 1, "action": "explode"}]}, "$.faults[0].action"),
    (
        {"faults": [{"at_seconds": 1, "action": "cut-primary", "target": "x"}]},
        "$.faults[0].target",
    ),
    ({"faults": [{"at_seconds": 1, "action": "platform-up", "x": 1}]}, "$.faults[0].x"),
    (
        {"mix": dict.fromkeys(("read", "fresh", "aged"), 0)},
        "$.mix.write",
    ),
    (
        {
            "mix": dict.fromkeys(
                ("read", "fresh", "aged", "write", "insert", "transaction"), 0
            )
        },
        "$.mix",
    ),
]


@pytest.mark.parametrize(("change", "path"), WRONG)
def test_wrong_fields_are_named(change: dict[str, object], path: str) -> None:
    raw = msgspec.json.decode(SCENARIOS[0].read_bytes()) | change
    with pytest.raises(DocumentError) as caught:
        decode_scenario(msgspec.json.encode(raw))
    assert path in {field.path for field in caught.value.fields}


def test_a_missing_field_and_bad_json_are_named() -> None:
    raw = msgspec.json.decode(SCENARIOS[0].read_bytes())
    del raw["seed"]
    with pytest.raises(DocumentError, match="seed"):
        decode_scenario(msgspec.json.encode(raw))
    with pytest.raises(DocumentError, match="JSON"):
        decode_scenario(b"{")


def test_with_seconds_moves_faults_and_surges() -> None:
    path = next(one for one in SCENARIOS if one.stem == "agency-noisy-organisation")
    scenario = decode_scenario(path.read_bytes())
    half = with_seconds(scenario, scenario["seconds"] / 2)
    whole_surge = scenario["organisations"][0]["surges"][0]
    half_surge = half["organisations"][0]["surges"][0]
    assert half_surge["from_seconds"] == whole_surge["from_seconds"] / 2
    assert half_surge["factor"] == whole_surge["factor"]
