from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

import pytest

from ..docs import render_refusals_page, render_settings_page
from ..errors import DocumentError
from ..reasons import REFUSAL_KINDS, RefusalReason
from ..settings import load_settings, parse_settings

SECRET = base64.b64encode(b"s" * 32).decode()
PAGE = Path(__file__).resolve().parents[2] / "docs/operating/settings.md"


def sample_settings(**changes: Any) -> dict[str, Any]:
    return {
        "instance": "i-1",
        "place": "oslo-a",
        "callers": "127.0.0.1:0",
        "operators": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "platform": ["127.0.0.1:9000"],
        "peer_secrets": [SECRET],
        **changes,
    }


def document_without(name: str) -> dict[str, Any]:
    found = sample_settings()
    del found[name]
    return found


def test_defaults_and_secrets() -> None:
    settings = parse_settings(json.dumps(sample_settings()))
    assert settings.limits.queue == 1_000
    assert settings.peer_secrets[0].reveal() == b"s" * 32
    assert SECRET not in repr(settings)


@pytest.mark.parametrize("name", sorted(sample_settings()))
def test_missing_field_is_reported(name: str) -> None:
    with pytest.raises(DocumentError) as caught:
        parse_settings(json.dumps(document_without(name)))
    (field,) = caught.value.fields
    assert (field.path, field.got) == (f"$.{name}", "nothing")


@pytest.mark.parametrize(
    "changes, path",
    [
        ({"instence": "a"}, "$.instence"),
        ({"instance": 5}, "$.instance"),
        ({"callers": "0.0.0.0"}, "$.callers"),
        ({"callers": "localhost:80"}, "$.callers"),
        ({"advertised_callers": "127.0.0.1:0"}, "$.advertised_callers"),
        ({"platform": []}, "$.platform"),
        ({"platform": ["x"]}, "$.platform[0]"),
        ({"peer_secrets": []}, "$.peer_secrets"),
        ({"peer_secrets": [SECRET] * 3}, "$.peer_secrets"),
        ({"peer_secrets": [SECRET[:8]]}, "$.peer_secrets[0]"),
        ({"peer_secrets": ["é" * 44]}, "$.peer_secrets[0]"),
        ({"tls": {"callers_key": "k.pem"}}, "$.tls"),
        ({"tls": {"upstream_ca": ""}}, "$.tls.upstream_ca"),
        ({"limits": {"queue": True}}, "$.limits.queue"),
        ({"limits": {"body_bytes": 0}}, "$.limits.body_bytes"),
        ({"limits": {"body_seconds": float("nan")}}, "$.limits.body_seconds"),
        ({"limits": {"body_seconds": float("inf")}}, "$.limits.body_seconds"),
        ({"limits": {"statement_seconds": 90}}, "$.limits.statement_seconds"),
        ({"limits": {"bodybytes": 1}}, "$.limits.bodybytes"),
        ({"serving_instances": 0}, "$.serving_instances"),
    ],
)
def test_invalid_field_is_reported(changes: dict[str, Any], path: str) -> None:
    with pytest.raises(DocumentError) as caught:
        parse_settings(json.dumps(sample_settings(**changes)))
    (field,) = caught.value.fields
    assert field.path == path
    assert field.expected and field.remedy


def test_secrets_are_not_shown_in_errors() -> None:
    with pytest.raises(DocumentError) as caught:
        parse_settings(json.dumps(sample_settings(peer_secrets=["hush"])))
    assert "hush" not in str(caught.value)


def test_missing_file_is_reported() -> None:
    with pytest.raises(DocumentError, match="no-such-file"):
        load_settings("no-such-file")


def test_settings_page_is_current() -> None:
    assert PAGE.read_text() == render_settings_page()


def test_refusals_page_is_current():
    page = PAGE.with_name("refusals.md")
    assert page.read_text() == render_refusals_page()


def test_every_refusal_reason_is_described():
    assert set(REFUSAL_KINDS) == set(RefusalReason)
