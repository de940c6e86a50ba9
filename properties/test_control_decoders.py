"""Random input at each decoder of the control plane gives a typed answer."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure

from berylhinge.core.api_keys import authenticate_key, grant_key
from berylhinge.core.configuration import Configuration
from berylhinge.core.configuration_parts import (
    assemble_configuration,
    decode_head,
    encode_for_store,
    split_configuration,
)
from berylhinge.core.declaration_index import build_index
from berylhinge.core.declaration_validation import validate_declaration
from berylhinge.core.declarations import convert_declaration
from berylhinge.core.document_reader import parse_json
from berylhinge.core.route_resolution import resolve_route
from berylhinge.core.tests.sample_declarations import parsed_sample, sample_document
from berylhinge.errors import DocumentError, FieldError, Refusal
from berylhinge.settings import convert_settings, parse_settings
from berylhinge.tasks.probe_socket import decode_message
from berylhinge.tests.test_settings import sample_settings

GRANTED = grant_key("ark", lambda count: bytes(range(count)))
INDEX = build_index(parsed_sample(keys=[GRANTED.record]))
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def encoded(value: Any) -> bytes:
    """Encode a value as a membership message would be, as far as it can be."""
    try:
        return msgspec.msgpack.encode(("Ping", value))
    except (msgspec.MsgspecError, OverflowError, UnicodeEncodeError):
        return b""


quick = settings(derandomize=True, deadline=None, max_examples=150)


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of every value inside a document."""
    found = [path] if path else []
    if isinstance(value, dict):
        inner = [places(item, (*path, name)) for name, item in value.items()]
    elif isinstance(value, list):
        inner = [places(item, (*path, place)) for place, item in enumerate(value)]
    else:
        inner = []
    return found + [one for group in inner for one in group]


def replaced(value: Any, path: tuple[Any, ...], other: Any) -> Any:
    """Return a copy of a document with one value replaced."""
    if not path:
        return other
    copy = value.copy()
    copy[path[0]] = replaced(value[path[0]], path[1:], other)
    return copy


def is_typed(result: Any) -> bool:
    """Tell whether a failure lists field errors."""
    if not isinstance(result, Failure):
        return True
    errors = result.failure()
    return bool(errors) and all(isinstance(error, FieldError) for error in errors)


@quick
@given(st.binary(max_size=200) | st.text(max_size=200))
def test_any_text(text: bytes | str) -> None:
    assert is_typed(parse_json(text))
    assert is_typed(decode_head(text))
    with pytest.raises(DocumentError):
        parse_settings(text)


@quick
@given(VALUES)
def test_any_value(value: Any) -> None:
    assert is_typed(convert_settings(value))
    assert is_typed(convert_declaration(value))


DECLARATION_PLACES = places(sample_document())
SETTINGS_PLACES = places(sample_settings())


@quick
@given(st.sampled_from(DECLARATION_PLACES), VALUES)
def test_a_declaration_with_one_value_replaced(
    path: tuple[Any, ...], value: Any
) -> None:
    result = convert_declaration(replaced(sample_document(), path, value))
    assert is_typed(result)
    if isinstance(result, Failure):
        return
    findings = validate_declaration(result.unwrap())
    if not findings.errors:
        index = build_index(result.unwrap())
        for route in index.routes:
            for organisation in (None, *index.organisations):
                found = resolve_route(index, route, organisation)
                assert not isinstance(found, Failure) or isinstance(
                    found.failure(), Refusal
                )


@quick
@given(st.sampled_from(SETTINGS_PLACES), VALUES)
def test_settings_with_one_value_replaced(path: tuple[Any, ...], value: Any) -> None:
    assert is_typed(convert_settings(replaced(sample_settings(), path, value)))


@quick
@given(st.text(max_size=120) | st.binary(max_size=120))
def test_any_authorization_header(text: str | bytes) -> None:
    header = text if isinstance(text, str) else text.decode("latin-1")
    for presented in (header, f"Bearer {header}", f"Bearer bh_{header}"):
        assert isinstance(authenticate_key(INDEX, presented).failure(), Refusal)


@quick
@given(st.binary(max_size=200) | VALUES.map(encoded))
def test_any_membership_message(body: bytes) -> None:
    assert decode_message(body) is None


STORED = json.loads(
    encode_for_store(split_configuration(Configuration(3, (), {}, parsed_sample())))[0]
)
STORED_PLACES = places(STORED)


@quick
@given(st.sampled_from(STORED_PLACES), VALUES)
def test_a_stored_value_with_one_value_replaced(
    path: tuple[Any, ...], value: Any
) -> None:
    try:
        changed = msgspec.json.encode(replaced(STORED, path, value))
    except (msgspec.MsgspecError, OverflowError, UnicodeEncodeError):
        return
    decoded = decode_head(changed)
    assert is_typed(decoded)
    if not isinstance(decoded, Failure):
        assert is_typed(assemble_configuration(decoded.unwrap(), {}))
