from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from ....errors import DocumentError
from ...http_server import Address
from ..settings import load_pooler_settings

ADDRESSES = ("callers", "readiness", "peers", "metrics", "store", "promotions")
COMPLETE_SETTINGS: dict[str, Any] = {
    "instance": "n1",
    "place": "x",
    **{name: f"10.0.0.{number}:80" for number, name in enumerate(ADDRESSES)},
    "leaving_ms": 7000,
}


def write_settings(folder: Path, document: object) -> str:
    path = folder / "settings.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return str(path)


def test_settings_are_read_and_new_fields_ignored(tmp_path: Path) -> None:
    path = write_settings(tmp_path, {**COMPLETE_SETTINGS, "new-field": {"deep": [1]}})
    settings = load_pooler_settings(path)
    assert settings.store == Address("10.0.0.4", 80)
    assert settings.leaving_ms == 7000.0
    assert not settings.first_start
    assert settings.grace_seconds == 6.0


@pytest.mark.parametrize(
    ("document", "paths"),
    [
        ({**COMPLETE_SETTINGS, "store": "nowhere"}, ["$.store"]),
        ({**COMPLETE_SETTINGS, "leaving_ms": "soon"}, ["$.leaving_ms"]),
        (
            {**COMPLETE_SETTINGS, "first_start": 1, "place": 3},
            ["$.place", "$.first_start"],
        ),
        ({**COMPLETE_SETTINGS, "agreed_terms": "pool"}, ["$.agreed_terms"]),
        ({**COMPLETE_SETTINGS, "processor_cores": 0}, ["$.processor_cores"]),
        ({"instance": "n1"}, ["$.place", *(f"$.{name}" for name in ADDRESSES)]),
        ([], ["$"]),
        ("{", ["$"]),
    ],
)
def test_every_bad_field_is_named(
    tmp_path: Path, document: object, paths: list[str]
) -> None:
    with pytest.raises(DocumentError) as raised:
        load_pooler_settings(write_settings(tmp_path, document))
    assert [field.path for field in raised.value.fields] == paths
    assert all(field.remedy for field in raised.value.fields)


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    path = str(tmp_path / "none.json")
    with pytest.raises(DocumentError) as raised:
        load_pooler_settings(path)
    assert [field.path for field in raised.value.fields] == [path]
