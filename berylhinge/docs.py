"""Generate the reference pages of settings and refusals from their types."""

from __future__ import annotations

import sys
from typing import Any, TYPE_CHECKING

import msgspec

from .core.document_reader import (
    describe_expected,
    extract_rules,
    is_record_type,
    list_fields,
)
from .core.secret_value import SecretValue
from .reasons import REFUSAL_KINDS, RetryReason
from .settings import Settings

if TYPE_CHECKING:
    from .core.document_reader import DocumentField

SETTINGS_HEAD = """# Settings of an instance

`berylhinge-proxy --settings FILE` reads one JSON object. Every field is checked at
start; an unknown, missing or wrong field ends the program with exit code 2 and one
line that names the field, what was got, what was expected and the remedy.

This page is made from the types by `python -m berylhinge.docs`; a test fails when
it isn't current.

"""


def render_settings_page() -> str:
    """Return the reference page of the settings as Markdown."""
    rows = "\n".join(settings_rows(Settings, ""))
    head = "| field | value | default | meaning |\n|---|---|---|---|\n"
    return f"{SETTINGS_HEAD}{head}{rows}\n"


def settings_rows(kind: Any, prefix: str) -> list[str]:
    """Return one table row for each field; nested records are flattened."""
    rows = []
    for field in list_fields(kind):
        rules = extract_rules(field.kind)
        name = f"{prefix}{field.name}"
        if is_record_type(rules.plain_type):
            rows += settings_rows(rules.plain_type, f"{name}.")
            continue
        cells = (
            f"`{name}`",
            describe_expected(rules),
            format_default(field),
            get_description(field),
        )
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def format_default(field: DocumentField) -> str:
    """Return a field's default as JSON, or "required" if it has none."""
    if field.required:
        return "required"
    if isinstance(field.default, SecretValue):
        return "concealed"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def get_description(field: DocumentField) -> str:
    """Return the description from the annotations of a field's type."""
    metas = [meta for meta in extract_rules(field.kind).metas if meta.description]
    return metas[-1].description or "" if metas else ""


REFUSALS_HEAD = """# Refusals and retries

Each refusal is `application/problem+json` with `reason`, `outcome`, `detail` and
`remedy`. `outcome` is `not-run` only where nothing ran; otherwise `unknown`. The
counters are `berylhinge_refusals_total{reason,outcome}` and
`berylhinge_retries_total{reason}`.

This page is made from the enumeration by `python -m berylhinge.docs refusals`; a
test fails when it isn't current.

"""


def render_refusals_page() -> str:
    """Return the reference page of refusals and retries as Markdown."""
    rows = [
        f"| `{reason.value}` | {kind.status} | {kind.title} | {kind.remedy} |"
        for reason, kind in REFUSAL_KINDS.items()
    ]
    head = "| reason | status | meaning | remedy |\n|---|---|---|---|\n"
    retries = "\n".join(f"- `{reason.value}`" for reason in RetryReason)
    table = "\n".join(rows)
    return f"{REFUSALS_HEAD}{head}{table}\n\n## Retry reasons\n\n{retries}\n"


PAGES = {"settings": render_settings_page, "refusals": render_refusals_page}

if __name__ == "__main__":
    print(PAGES[sys.argv[1] if sys.argv[1:] else "settings"](), end="")
