"""Convert JSON documents to their declared types and collect every invalid field."""

from __future__ import annotations

import difflib
import functools
import json
import math
import types
from collections.abc import Callable
from typing import (
    Annotated,
    Any,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
    Literal,
    NamedTuple,
    NotRequired,
    Union,
)

import msgspec
from returns.result import Failure, Result, Success

from ..errors import FieldError
from ..types import JsonValue

FORMATTED_VALUE_CHARACTERS = 60


class TextFormat(NamedTuple):
    """Describe a text format by its parser, which raises ValueError for other texts.

    Values of a ``concealed`` format are secrets, which messages must not show.
    """

    expected: str
    parse: Callable[[str], Any]
    remedy: str
    concealed: bool = False


class DocumentField(NamedTuple):
    """Describe one field of a document type."""

    name: str
    kind: Any
    required: bool
    default: Any


class TypeRules(NamedTuple):
    """Hold the bounds and text formats that annotations add to a plain type."""

    plain_type: Any
    metas: tuple[msgspec.Meta, ...]
    text_formats: tuple[TextFormat, ...]


class Fault(Exception):
    """Reject a text that is not a single JSON document."""


def parse_json(text: bytes | str) -> Result[JsonValue, tuple[FieldError, ...]]:
    """Parse one JSON document; reject repeated names and excessive nesting."""
    try:
        return Success(json.loads(text, object_pairs_hook=build_unique_object))
    except (ValueError, Fault, RecursionError) as error:
        got = f"{type(error).__name__}: {error}"[:200]
        remedy = "correct the JSON text"
        return Failure((FieldError("$", got, "one JSON document", remedy),))


def build_unique_object(pairs: list[tuple[str, JsonValue]]) -> dict[str, JsonValue]:
    """Build an object; raise Fault if a name is repeated."""
    found = dict(pairs)
    if len(found) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = sorted({name for name in names if names.count(name) > 1})
        raise Fault(f"repeated names {repeated}")
    return found


def format_value(value: JsonValue) -> str:
    """Format a value for messages, shortened if long."""
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    text = json.dumps(value, default=str)
    return (
        text
        if len(text) <= FORMATTED_VALUE_CHARACTERS
        else text[:FORMATTED_VALUE_CHARACTERS] + "..."
    )


def convert_document(
    value: JsonValue, kind: Any, *, path: str = "$"
) -> Result[Any, tuple[FieldError, ...]]:
    """Convert a JSON value to a type, or return every invalid field."""
    errors: list[FieldError] = []
    converted = convert(value, kind, path, errors)
    return Failure(tuple(errors)) if errors else Success(converted)


def convert(value: JsonValue, kind: Any, path: str, errors: list[FieldError]) -> Any:
    """Convert one value and append its invalid fields to ``errors``."""
    rules = extract_rules(kind)
    before = len(errors)
    converted = convert_plain(value, rules, path, errors)
    if len(errors) == before:
        converted = apply_rules(converted, rules, path, errors)
    return converted


@functools.cache
def extract_rules(kind: Any) -> TypeRules:
    """Split an annotated type into its plain type, bounds and text formats."""
    if get_origin(kind) is not Annotated:
        return TypeRules(kind, (), ())
    plain, *extras = get_args(kind)
    metas = tuple(extra for extra in extras if isinstance(extra, msgspec.Meta))
    forms = tuple(extra for extra in extras if isinstance(extra, TextFormat))
    return TypeRules(plain, metas, forms)


def convert_plain(
    value: JsonValue, rules: TypeRules, path: str, errors: list[FieldError]
) -> Any:
    """Convert a value to its plain type, without applying the annotations."""
    kind = rules.plain_type
    origin = get_origin(kind)
    if is_record_type(kind):
        return convert_record(value, kind, path, errors)
    if origin is list or origin is tuple:
        return convert_list(value, kind, path, errors)
    if origin is dict:
        return convert_map(value, kind, path, errors)
    if origin in (Union, types.UnionType):
        return convert_optional(value, kind, path, errors)
    if matches_plain_type(value, kind):
        return float(value) if kind is float else value
    got = describe_secret(value) if is_concealed(rules) else format_value(value)
    remedy = "write a value of the expected type"
    errors.append(FieldError(path, got, describe_expected(rules), remedy))
    return None


def convert_optional(
    value: JsonValue, kind: Any, path: str, errors: list[FieldError]
) -> Any:
    """Convert a value that may be null."""
    if value is None:
        return None
    inner = [part for part in get_args(kind) if part is not types.NoneType]
    return convert(value, inner[0], path, errors)


def matches_plain_type(value: JsonValue, kind: Any) -> bool:
    """Tell whether a scalar has the plain type; a boolean is not a number."""
    if get_origin(kind) is Literal:
        return isinstance(value, str) and value in get_args(kind)
    if kind is bool:
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if kind is float:
        return isinstance(value, int | float) and is_finite(value)
    return isinstance(value, kind)


def is_finite(value: int | float) -> bool:
    """Tell whether a number is finite as a float."""
    try:
        return math.isfinite(value)
    except OverflowError:
        return False


def convert_record(
    value: JsonValue, kind: Any, path: str, errors: list[FieldError]
) -> Any:
    """Convert an object to a TypedDict or a NamedTuple."""
    if not isinstance(value, dict):
        errors.append(
            FieldError(path, format_value(value), "an object", "write a JSON object")
        )
        return None
    known = list_fields(kind)
    report_unknown_fields(value, known, path, errors)
    found = {}
    for field in known:
        inner = f"{path}.{field.name}"
        if field.name in value:
            found[field.name] = convert(value[field.name], field.kind, inner, errors)
        elif field.required:
            expected = describe_expected(extract_rules(field.kind))
            errors.append(FieldError(inner, "nothing", expected, "add the field"))
    if is_typeddict(kind):
        return found
    return None if errors else kind(**found)


def report_unknown_fields(
    value: dict[str, JsonValue],
    known: tuple[DocumentField, ...],
    path: str,
    errors: list[FieldError],
) -> None:
    """Append an error for each name that is not a field of the type."""
    names = [field.name for field in known]
    for name in value:
        if name in names:
            continue
        close = difflib.get_close_matches(name, names, n=1)
        remedy = f"did you mean {close[0]}?" if close else "remove the field"
        expected = "one of " + ", ".join(names)
        errors.append(
            FieldError(f"{path}.{name}", "an unknown field", expected, remedy)
        )


def convert_list(
    value: JsonValue, kind: Any, path: str, errors: list[FieldError]
) -> Any:
    """Convert each element of a list."""
    if not isinstance(value, list | tuple):
        errors.append(
            FieldError(path, format_value(value), "a list", "write a JSON list")
        )
        return None
    inner = get_args(kind)[0]
    found = [
        convert(item, inner, f"{path}[{position}]", errors)
        for position, item in enumerate(value)
    ]
    return tuple(found) if get_origin(kind) is tuple else found


def convert_map(
    value: JsonValue, kind: Any, path: str, errors: list[FieldError]
) -> Any:
    """Convert each name and value of an object with arbitrary names."""
    if not isinstance(value, dict):
        errors.append(
            FieldError(path, format_value(value), "an object", "write a JSON object")
        )
        return None
    name_kind, inner = get_args(kind)
    return {
        convert(name, name_kind, f"{path} (name)", errors): convert(
            item, inner, f"{path}.{name}", errors
        )
        for name, item in value.items()
    }


def apply_rules(
    value: Any, rules: TypeRules, path: str, errors: list[FieldError]
) -> Any:
    """Check the bounds of a converted value and parse its text formats."""
    hidden = is_concealed(rules)
    for meta in rules.metas:
        if not is_within_bounds(value, meta):
            got = describe_secret(value) if hidden else format_value(value)
            remedy = "write a value within the bounds"
            errors.append(FieldError(path, got, describe_expected(rules), remedy))
            return None
    for form in rules.text_formats:
        try:
            value = form.parse(value)
        except ValueError:
            got = describe_secret(value) if hidden else format_value(value)
            errors.append(FieldError(path, got, form.expected, form.remedy))
            return None
    return value


def is_within_bounds(value: Any, meta: msgspec.Meta) -> bool:
    """Tell whether a value is within the bounds of one Meta."""
    if meta.ge is not None and not value >= meta.ge:
        return False
    if meta.gt is not None and not value > meta.gt:
        return False
    if meta.le is not None and not value <= meta.le:
        return False
    if meta.min_length is not None and len(value) < meta.min_length:
        return False
    return meta.max_length is None or len(value) <= meta.max_length


def is_concealed(rules: TypeRules) -> bool:
    """Tell whether messages must not show the value."""
    return any(text_format.concealed for text_format in rules.text_formats)


def describe_secret(value: JsonValue) -> str:
    """Describe a value that must not be shown: its type, and the length of a text."""
    if isinstance(value, str):
        return f"a text of {len(value)} characters"
    return f"a {type(value).__name__}"


def is_record_type(kind: Any) -> bool:
    """Tell whether a type is a TypedDict or a NamedTuple."""
    return is_typeddict(kind) or hasattr(kind, "_fields")


@functools.cache
def list_fields(kind: Any) -> tuple[DocumentField, ...]:
    """Return the fields of a TypedDict or NamedTuple, in order."""
    hints = get_type_hints(kind, include_extras=True)
    defaults = getattr(kind, "_field_defaults", {})
    found = []
    for name, hint in hints.items():
        optional = get_origin(hint) is NotRequired
        inner = get_args(hint)[0] if optional else hint
        required = not optional and name not in defaults
        found.append(DocumentField(name, inner, required, defaults.get(name)))
    return tuple(found)


def describe_expected(rules: TypeRules) -> str:
    """Describe the values that a type accepts, for messages."""
    if rules.text_formats:
        return rules.text_formats[0].expected
    bounds = [text for meta in rules.metas for text in describe_bounds(meta)]
    return ", ".join([describe_plain_type(rules.plain_type), *bounds])


def describe_bounds(meta: msgspec.Meta) -> list[str]:
    """Describe the bounds of one Meta."""
    named = (
        (">=", meta.ge),
        (">", meta.gt),
        ("<=", meta.le),
        ("length >=", meta.min_length),
        ("length <=", meta.max_length),
    )
    return [f"{sign} {bound}" for sign, bound in named if bound is not None]


def describe_plain_type(kind: Any) -> str:
    """Describe a plain type in JSON terms."""
    origin = get_origin(kind)
    if origin is Literal:
        return "one of " + ", ".join(str(choice) for choice in get_args(kind))
    if origin in (Union, types.UnionType):
        inner = [part for part in get_args(kind) if part is not types.NoneType]
        return f"{describe_expected(extract_rules(inner[0]))} or null"
    if origin in (list, tuple):
        return f"a list of {describe_expected(extract_rules(get_args(kind)[0]))}"
    if origin is dict or is_record_type(kind):
        return "an object"
    names = {
        str: "a text",
        int: "an integer",
        float: "a number",
        bool: "true or false",
    }
    return names[kind]
