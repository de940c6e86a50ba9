"""Validate a declaration's references, selectors and unique route resolution."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple, TYPE_CHECKING

from ..errors import FieldError
from .api_keys import KEY_HASH_BYTES, KEY_SALT_BYTES
from .declaration_index import build_index
from .declarations import Declaration, GROUP_MEMBERS_LIMIT
from .route_resolution import is_organisation_allowed, select_groups
from .selectors import check_selector, compile_selector, selector_matches
from .text_formats import parse_base64

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .declaration_index import DeclarationIndex
    from .declarations import Key, Organisation, Route


class ValidationFindings(NamedTuple):
    """Hold the problems found in a declaration.

    Errors prevent its use; warnings are errors only in ``berylhingectl check``.
    """

    errors: tuple[FieldError, ...]
    warnings: tuple[FieldError, ...]


def validate_declaration(declaration: Declaration) -> ValidationFindings:
    """Return all problems of a declaration whose fields have the right types."""
    errors = [
        *check_unique(declaration),
        *check_references(declaration),
        *check_selectors(declaration),
    ]
    if errors:
        return ValidationFindings(tuple(errors), ())
    index = build_index(declaration)
    warnings: list[FieldError] = []
    for position, route in enumerate(declaration["routes"]):
        check_route(f"$.routes[{position}]", route, index, errors, warnings)
    return ValidationFindings(tuple(errors), tuple(warnings))


def check_unique(declaration: Declaration) -> list[FieldError]:
    """Return an error for each repeated identifier or address."""
    upstreams = declaration["upstreams"]
    named = {
        "organisations": [entry["id"] for entry in declaration["organisations"]],
        "keys": [key["id"] for key in declaration.get("keys", ())],
        "groups": [group["id"] for group in declaration["groups"]],
        "upstreams": [upstream["id"] for upstream in upstreams],
        "routes": [route["id"] for route in declaration["routes"]],
    }
    errors = []
    for section, identifiers in named.items():
        errors += check_repeated(section, "id", identifiers)
    errors += check_repeated(
        "upstreams", "data", [upstream["data"] for upstream in upstreams]
    )
    controls = [upstream["control"] for upstream in upstreams]
    return [*errors, *check_repeated("upstreams", "control", controls)]


def check_repeated(section: str, field: str, values: Sequence[str]) -> list[FieldError]:
    """Return an error for each repetition of a value after its first occurrence."""
    counts = Counter(values)
    seen: set[str] = set()
    errors = []
    for position, value in enumerate(values):
        if counts[value] > 1 and value in seen:
            path = f"$.{section}[{position}].{field}"
            errors.append(
                FieldError(path, f"{value!r} again", "a unique value", "rename one")
            )
        seen.add(value)
    return errors


def check_references(declaration: Declaration) -> list[FieldError]:
    """Return an error for each undeclared name, wrong key length and group size."""
    organisations = {entry["id"] for entry in declaration["organisations"]}
    groups = {group["id"] for group in declaration["groups"]}
    errors = []
    for position, key in enumerate(declaration.get("keys", ())):
        path = f"$.keys[{position}]"
        errors += check_name(f"{path}.organisation", key["organisation"], organisations)
        errors += check_key(path, key)
    members: Counter[str] = Counter()
    for position, upstream in enumerate(declaration["upstreams"]):
        errors += check_name(
            f"$.upstreams[{position}].group", upstream["group"], groups
        )
        members[upstream["group"]] += 1
    for position, group in enumerate(declaration["groups"]):
        count = members[group["id"]]
        if not 1 <= count <= GROUP_MEMBERS_LIMIT:
            path = f"$.groups[{position}]"
            expected = f"1 to {GROUP_MEMBERS_LIMIT} upstreams"
            remedy = "declare upstreams of the group or remove it"
            errors.append(FieldError(path, f"{count} upstreams", expected, remedy))
    return errors


def check_name(path: str, name: str, known: set[str]) -> list[FieldError]:
    """Return an error if a name is not declared."""
    if name in known:
        return []
    remedy = "declare it or correct the name"
    return [FieldError(path, repr(name), "a declared identifier", remedy)]


def check_key(path: str, key: Key) -> list[FieldError]:
    """Return an error for each of salt and hash that has the wrong length."""
    errors = []
    sizes = (
        ("salt", key["salt"], KEY_SALT_BYTES),
        ("hash", key["hash"], KEY_HASH_BYTES),
    )
    for field, text, size in sizes:
        got = len(parse_base64(text))
        if got != size:
            remedy = "let berylhingectl key grant write it"
            error = FieldError(f"{path}.{field}", f"{got} bytes", f"{size}", remedy)
            errors.append(error)
    return errors


def check_selectors(declaration: Declaration) -> list[FieldError]:
    """Return an error for each selector or access rule that contradicts itself."""
    errors = []
    for position, route in enumerate(declaration["routes"]):
        path = f"$.routes[{position}]"
        errors += check_selector(route["groups"], f"{path}.groups")
        selector = route.get("organisations")
        if selector is not None:
            errors += check_selector(selector, f"{path}.organisations")
        errors += check_access(path, route)
    return errors


def check_access(path: str, route: Route) -> list[FieldError]:
    """Return an error unless a route is open or selects organisations, but not both."""
    is_open = route.get("open", False)
    if is_open == ("organisations" in route):
        got = "both" if is_open else "neither"
        expected = "either open: true or an organisations selector"
        remedy = "write exactly one of the two"
        return [FieldError(path, got, expected, remedy)]
    if is_open and route.get("match_organisation"):
        where = f"{path}.match_organisation"
        remedy = "remove it, as callers of an open route have no organisation"
        return [FieldError(where, "label keys", "none on an open route", remedy)]
    return []


def check_route(
    path: str,
    route: Route,
    index: DeclarationIndex,
    errors: list[FieldError],
    warnings: list[FieldError],
) -> None:
    """Append a problem for each caller whose route does not resolve to one group.

    A selection of several groups is an error, an empty selection a warning.
    """
    indexed = index.routes[route["id"]]
    selector = compile_selector(route["groups"])
    if not any(
        selector_matches(selector, group.get("labels", {}))
        for group in index.groups.values()
    ):
        remedy = "correct the selector or the groups' labels"
        warnings.append(
            FieldError(f"{path}.groups", "no group", "at least one", remedy)
        )
        return
    callers = (
        [(None, {})] if indexed.open else list_callers(index.organisations.values())
    )
    selected = [
        (name, labels)
        for name, labels in callers
        if indexed.open or is_organisation_allowed(indexed, labels)
    ]
    if not selected:
        where = f"{path}.organisations"
        remedy = "correct the selector or the organisations' labels"
        warnings.append(FieldError(where, "no organisation", "at least one", remedy))
    for name, labels in selected:
        groups = select_groups(indexed, labels)
        if len(groups) != 1:
            error = resolution_error(path, name, groups)
            (errors if groups else warnings).append(error)


def list_callers(
    organisations: Iterable[Organisation],
) -> list[tuple[str | None, dict[str, str]]]:
    """Return the identifier and labels of each organisation."""
    return [
        (organisation["id"], organisation.get("labels", {}))
        for organisation in organisations
    ]


def resolution_error(
    path: str, organisation: str | None, groups: tuple[str, ...]
) -> FieldError:
    """Describe how a route does not resolve to exactly one group."""
    caller = f"organisation {organisation}" if organisation else "callers"
    got = ", ".join(groups) if groups else "no group"
    expected = f"exactly one group for {caller}"
    remedy = "narrow the selector, or set match_organisation and the labels it names"
    return FieldError(path, got, expected, remedy)
