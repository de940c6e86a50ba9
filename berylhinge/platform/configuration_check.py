"""Check an operators' configuration before it is sent, and compare two versions."""

from __future__ import annotations

import difflib
from typing import Any, get_type_hints, NamedTuple, TYPE_CHECKING

import msgspec
from returns.result import Failure

from ..core.declaration_diff import FieldDifference
from ..core.document_reader import convert, describe_secret, format_value, parse_json
from ..errors import FieldError
from .documents import (
    ConfigurationDocument,
    CONSISTENCY_BY_KIND,
    decode_declarations,
    DEFAULT_LATENCY_GOAL_MS,
    DEFAULT_TIMEOUT_MS,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ..core.document_reader import JsonValue

# Type, name field and required fields of the entries of each section.
SECTIONS: Mapping[str, tuple[Any, str, tuple[str, ...]]] = {
    "routes": (RouteDocument, "host", ("host", "kind", "service")),
    "services": (ServiceDocument, "name", ("name",)),
    "tenants": (TenantDocument, "name", ("name",)),
}
# Least value of a number, and whether the value itself is allowed.
LEAST_VALUES = {
    "version": (1, True),
    "timeout-ms": (0, False),
    "latency-goal-ms": (0, False),
    "max-staleness-ms": (0, True),
    "max-conns": (1, True),
    "sync-replicas": (0, True),
    "rate-per-s": (0, True),
    "burst": (0, True),
    "tx-idle-ms": (0, False),
}
# An unknown field at least this similar to a known one is misspelled; others may be for
# other readers of the configuration.
SIMILARITY = 0.8
KEYS_FIELD = "api-keys"
HOMES_FIELD = "home-regions"
DEFAULT_BURST = 1.0


class CheckedConfiguration(NamedTuple):
    """Hold the document, if it is an object, and what is wrong with it.

    ``errors`` are bad fields, ``unmatched`` entries that no caller can ever use, and
    ``contradictions`` limits that exclude each other.
    """

    document: dict[str, Any] | None
    errors: tuple[FieldError, ...] = ()
    unmatched: tuple[FieldError, ...] = ()
    contradictions: tuple[FieldError, ...] = ()

    @property
    def faults(self) -> tuple[FieldError, ...]:
        """Return everything that is wrong."""
        return (*self.errors, *self.unmatched, *self.contradictions)


def check_configuration(value: bytes) -> CheckedConfiguration:
    """Check a configuration; report all of its faults at once."""
    parsed = parse_json(value)
    if isinstance(parsed, Failure):
        return CheckedConfiguration(None, parsed.failure())
    document = parsed.unwrap()
    if not isinstance(document, dict):
        got = format_value(document)
        error = FieldError("$", got, "an object", "write a JSON object")
        return CheckedConfiguration(None, (error,))
    errors = [*find_bad_fields(document), *find_repeated(document)]
    if not errors:
        decoded = decode_declarations(value)
        if isinstance(decoded, Failure):
            remedy = "correct the field"
            error = FieldError("$", decoded.failure(), "a configuration", remedy)
            errors.append(error)
    return CheckedConfiguration(
        document,
        tuple(errors),
        tuple(find_unmatched(document)),
        tuple(find_contradictions(document)),
    )


def find_bad_fields(document: dict[str, Any]) -> Iterator[FieldError]:
    """Yield each field that is missing, misspelled, of a wrong type or too small."""
    yield from check_record(document, ConfigurationDocument, ("version",), "$")
    limits = document.get("limits")
    if isinstance(limits, dict):
        yield from check_record(limits, LimitsDocument, (), "$.limits")
    for section, (kind, _, required) in SECTIONS.items():
        for path, entry in entries_of(document, section):
            yield from check_record(entry, kind, required, path)
    for path, route in entries_of(document, "routes"):
        found = route.get("kind")
        if isinstance(found, str) and found not in CONSISTENCY_BY_KIND:
            expected = "one of " + ", ".join(CONSISTENCY_BY_KIND)
            remedy = "name a known consistency"
            yield FieldError(f"{path}.kind", format_value(found), expected, remedy)


def check_record(
    record: dict[str, Any], kind: Any, required: tuple[str, ...], path: str
) -> Iterator[FieldError]:
    """Yield the bad fields of one object; unknown ones may belong to other readers."""
    hints = get_type_hints(kind)
    for name in required:
        if name not in record:
            yield FieldError(f"{path}.{name}", "nothing", "a value", "add the field")
    for name, value in record.items():
        place = f"{path}.{name}"
        if name in hints:
            yield from check_field(name, value, hints[name], place)
        elif close := difflib.get_close_matches(name, hints, 1, SIMILARITY):
            expected = "one of " + ", ".join(hints)
            remedy = f"did you mean {close[0]}?"
            yield FieldError(place, "an unknown field", expected, remedy)


def check_field(
    name: str, value: JsonValue, kind: Any, path: str
) -> Iterator[FieldError]:
    """Yield what is wrong with one field, except inside the entries of a section."""
    if name in SECTIONS:
        if not isinstance(value, list):
            yield FieldError(path, format_value(value), "a list", "write a JSON list")
            return
        for position, entry in enumerate(value):
            if not isinstance(entry, dict):
                place, got = f"{path}[{position}]", format_value(entry)
                yield FieldError(place, got, "an object", "write a JSON object")
        return
    if name == "limits":
        if not isinstance(value, dict):
            got, remedy = format_value(value), "write a JSON object"
            yield FieldError(path, got, "an object", remedy)
        return
    errors: list[FieldError] = []
    converted = convert(value, kind, path, errors)
    if name == KEYS_FIELD:
        # Keys are secrets, which messages must not show.
        errors = [error._replace(got=describe_secret(value)) for error in errors]
    yield from errors
    if not errors and name in LEAST_VALUES:
        least, is_included = LEAST_VALUES[name]
        if converted < least or (converted == least and not is_included):
            expected = f"{'at least' if is_included else 'more than'} {least}"
            remedy = "write a value within the bounds"
            yield FieldError(path, format_value(value), expected, remedy)


def find_repeated(document: dict[str, Any]) -> Iterator[FieldError]:
    """Yield each name and key that occurs again; of those only the last one counts."""
    for section, (_, field, _) in SECTIONS.items():
        places: dict[str, str] = {}
        for path, entry in entries_of(document, section):
            name = entry.get(field)
            if not isinstance(name, str):
                continue
            if name in places:
                expected = f"a name other than that of {places[name]}"
                remedy = "remove one of the entries"
                yield FieldError(f"{path}.{field}", name, expected, remedy)
            places.setdefault(name, path)
    owners: dict[str, str] = {}
    for path, tenant in entries_of(document, "tenants"):
        for position, key in enumerate(keys_of(tenant)):
            place = f"{path}.{KEYS_FIELD}[{position}]"
            if key in owners:
                expected = f"a key other than {owners[key]}"
                remedy = "give each key to one tenant, once"
                yield FieldError(place, describe_secret(key), expected, remedy)
            owners.setdefault(key, place)


def find_unmatched(document: dict[str, Any]) -> Iterator[FieldError]:
    """Yield entries that no statement can ever use."""
    declared = [entry.get("name") for _, entry in entries_of(document, "services")]
    used = [entry.get("service") for _, entry in entries_of(document, "routes")]
    for path, route in entries_of(document, "routes"):
        service = route.get("service")
        if isinstance(service, str) and service not in declared:
            expected = "a declared service"
            remedy = "declare the service or correct its name"
            yield FieldError(f"{path}.service", service, expected, remedy)
    for path, service in entries_of(document, "services"):
        if isinstance(service.get("name"), str) and service["name"] not in used:
            remedy = "add a route to it or remove it"
            expected = "a service that a route names"
            yield FieldError(f"{path}.name", service["name"], expected, remedy)
    for path, tenant in entries_of(document, "tenants"):
        if tenant.get(KEYS_FIELD, []) == []:
            remedy = "add a key or remove the tenant"
            yield FieldError(f"{path}.{KEYS_FIELD}", "no key", "a key", remedy)
    yield from find_excluded(document)


def find_contradictions(document: dict[str, Any]) -> Iterator[FieldError]:
    """Yield limits that exclude each other."""
    for path, route in entries_of(document, "routes"):
        goal = number_of(route, "latency-goal-ms", DEFAULT_LATENCY_GOAL_MS)
        timeout = number_of(route, "timeout-ms", DEFAULT_TIMEOUT_MS)
        if goal is not None and timeout is not None and goal > timeout:
            expected = f"at most timeout-ms, {timeout:g}"
            remedy = "lower the goal or raise the timeout"
            yield FieldError(f"{path}.latency-goal-ms", f"{goal:g}", expected, remedy)
        staleness = number_of(route, "max-staleness-ms", 0.0)
        if route.get("kind") == "bounded_stale" and staleness == 0.0:
            remedy = "allow some age, or make the route primary"
            expected = "more than 0 on a bounded_stale route"
            yield FieldError(f"{path}.max-staleness-ms", "0", expected, remedy)
        if route.get("kind") == "primary" and staleness:
            remedy = "remove the field, or make the route bounded_stale"
            expected = "0 or nothing on a primary route"
            place = f"{path}.max-staleness-ms"
            yield FieldError(place, f"{staleness:g}", expected, remedy)
    for path, tenant in entries_of(document, "tenants"):
        rate = number_of(tenant, "rate-per-s", None)
        burst = number_of(tenant, "burst", DEFAULT_BURST)
        if rate is not None and burst is not None and burst < 1.0:
            expected = "at least 1, since an operation takes one token"
            remedy = "raise the burst"
            yield FieldError(f"{path}.burst", f"{burst:g}", expected, remedy)
        if rate is None and "burst" in tenant and "rate-per-s" not in tenant:
            remedy = "add rate-per-s or remove burst"
            yield FieldError(f"{path}.rate-per-s", "nothing", "a rate", remedy)


def find_excluded(document: dict[str, Any]) -> Iterator[FieldError]:
    """Yield routes and tenants whose homes exclude those of all that could use them."""
    for section, others in (("routes", "tenants"), ("tenants", "routes")):
        allowed = [homes_in(entry) for _, entry in entries_of(document, others)]
        if not allowed or not all(allowed):
            # An entry without homes may be used anywhere.
            continue
        reachable = set().union(*allowed)
        for path, entry in entries_of(document, section):
            homes = homes_in(entry)
            if homes and not homes & reachable:
                got = ", ".join(sorted(homes))
                expected = f"a home of one of the {others}"
                remedy = "add a home that both have"
                place = f"{path}.{HOMES_FIELD}"
                yield FieldError(place, got, expected, remedy)


def diff_configurations(
    before: dict[str, Any], after: dict[str, Any]
) -> tuple[FieldDifference, ...]:
    """Return every changed field by section and name; of keys only their number."""
    found = []
    old, new = fields_of(before), fields_of(after)
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) == new.get(path) and (path in old) == (path in new):
            continue
        sides = (
            describe_side(path, old, new.get(path)),
            describe_side(path, new, old.get(path)),
        )
        found.append(FieldDifference(path, *sides))
    return tuple(found)


def check_version(before: dict[str, Any], after: dict[str, Any]) -> list[FieldError]:
    """Return an error unless the version is newer than the one in force."""
    old, new = before.get("version"), after.get("version")
    if not isinstance(old, int) or not isinstance(new, int) or new > old:
        return []
    remedy = "raise the version, or instances ignore the configuration"
    return [FieldError("$.version", str(new), f"more than {old}, in force", remedy)]


def fields_of(document: dict[str, Any]) -> dict[str, Any]:
    """Return all fields by path, in which the name of an entry takes its position."""
    found = {
        name: value
        for name, value in document.items()
        if name not in SECTIONS and name != "limits"
    }
    limits = document.get("limits")
    if isinstance(limits, dict):
        found |= {f"limits.{name}": value for name, value in limits.items()}
    for section, (_, field, _) in SECTIONS.items():
        for _, entry in entries_of(document, section):
            prefix = f"{section}.{entry.get(field)}"
            found |= {f"{prefix}.{name}": value for name, value in entry.items()}
    return found


def describe_side(path: str, fields: dict[str, Any], other: Any) -> str | None:
    """Return one side of a difference as text, None if the field is absent."""
    if path not in fields:
        return None
    value = fields[path]
    if not path.endswith(f".{KEYS_FIELD}"):
        return msgspec.json.encode(value).decode()
    keys = set(keys_of({KEYS_FIELD: value}))
    only = len(keys - set(keys_of({KEYS_FIELD: other})))
    return f"{len(keys)} keys, {only} of them only here"


def entries_of(
    document: dict[str, Any], section: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the objects of a section with their paths."""
    entries = document.get(section)
    for position, entry in enumerate(entries if isinstance(entries, list) else []):
        if isinstance(entry, dict):
            yield f"$.{section}[{position}]", entry


def keys_of(tenant: dict[str, Any]) -> list[str]:
    """Return the keys of a tenant that are texts."""
    return texts_in(tenant, KEYS_FIELD)


def homes_in(entry: dict[str, Any]) -> set[str]:
    """Return the home regions of a route or tenant that are texts."""
    return set(texts_in(entry, HOMES_FIELD))


def texts_in(entry: dict[str, Any], field: str) -> list[str]:
    """Return the texts of a list, none if it is no list."""
    value = entry.get(field)
    if not isinstance(value, list):
        return []
    return [text for text in value if isinstance(text, str)]


def number_of(entry: dict[str, Any], field: str, default: float | None) -> float | None:
    """Return a number, the default if it is absent, None if it is no number."""
    value = entry.get(field, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else None
