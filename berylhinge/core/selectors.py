"""Select labelled objects by JSON selectors, as Kubernetes label selectors do."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from ..errors import FieldError
from ..types import Labels
from .text_formats import Identifier

Operator = Literal["In", "NotIn", "Exists", "DoesNotExist"]


class MatchExpression(TypedDict):
    """Require that a label's value is in a set or not, or that it exists or not."""

    key: Identifier
    operator: Operator
    values: NotRequired[list[Identifier]]


class Selector(TypedDict):
    """Require all labels and expressions; an empty selector matches everything."""

    match_labels: NotRequired[dict[Identifier, Identifier]]
    match_expressions: NotRequired[
        Annotated[list[MatchExpression], msgspec.Meta(max_length=64)]
    ]


class CompiledSelector(NamedTuple):
    """Hold the requirements of a selector by kind for fast matching."""

    required_values: tuple[tuple[str, frozenset[str]], ...]
    excluded_values: tuple[tuple[str, frozenset[str]], ...]
    required_keys: tuple[str, ...]
    excluded_keys: tuple[str, ...]


def check_selector(selector: Selector, path: str) -> list[FieldError]:
    """Return an error for each expression whose values contradict its operator."""
    errors = []
    for position, expression in enumerate(selector.get("match_expressions", ())):
        needs = expression["operator"] in ("In", "NotIn")
        values = expression.get("values", [])
        where = f"{path}.match_expressions[{position}].values"
        if needs and not values:
            remedy = "list the values or use Exists or DoesNotExist"
            errors.append(FieldError(where, "none", "at least one value", remedy))
        if values and not needs:
            expected = f"none with {expression['operator']}"
            remedy = "remove the values or use In or NotIn"
            errors.append(FieldError(where, f"{len(values)} values", expected, remedy))
    return errors


def compile_selector(selector: Selector) -> CompiledSelector:
    """Group the requirements of a checked selector by kind."""
    labels = selector.get("match_labels", {})
    inside = [(key, frozenset((value,))) for key, value in labels.items()]
    outside = []
    present = []
    absent = []
    for expression in selector.get("match_expressions", ()):
        key = expression["key"]
        values = frozenset(expression.get("values", ()))
        match expression["operator"]:
            case "In":
                inside.append((key, values))
            case "NotIn":
                outside.append((key, values))
            case "Exists":
                present.append(key)
            case "DoesNotExist":
                absent.append(key)
    return CompiledSelector(
        tuple(inside), tuple(outside), tuple(present), tuple(absent)
    )


def selector_matches(selector: CompiledSelector, labels: Labels) -> bool:
    """Tell whether labels meet all requirements; NotIn also matches an absent label."""
    for key, values in selector.required_values:
        if labels.get(key) not in values:
            return False
    for key, values in selector.excluded_values:
        if labels.get(key) in values:
            return False
    for key in selector.required_keys:
        if key not in labels:
            return False
    return all(key not in labels for key in selector.excluded_keys)
