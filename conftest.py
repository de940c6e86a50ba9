"""Load the scenarios' steps."""

from __future__ import annotations

pytest_plugins = [
    "berylhinge.tests.steps.system",
    "berylhinge.tests.steps.calls",
    "berylhinge.tests.steps.faults",
    "berylhinge.tests.steps.loads",
    "berylhinge.tests.steps.checks",
]
