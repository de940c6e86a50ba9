from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from ...platform.tests.test_configuration_check import changed, VALID
from ..ctl import main


# Guards against: a script that sends a configuration since its check ended with 0.
@pytest.mark.parametrize(
    ("document", "in_force", "exit_code", "faults"),
    [
        (VALID, None, 0, []),
        (changed("version", 4), VALID, 0, []),
        (VALID, VALID, 1, ["$.version"]),
        (changed("routes.0.service", "t"), None, 1, ["$.routes[0].service"]),
        (changed("tenants.0.burst", 0), None, 1, ["$.tenants[0].burst"]),
        (VALID, [], 1, None),
    ],
)
def test_the_exit_code_tells_whether_there_are_faults(
    tmp_path: Path, document: Any, in_force: Any, exit_code: int, faults: Any
) -> None:
    files = []
    for name, content in (("new", document), ("old", in_force)):
        if content is not None:
            path = tmp_path / name
            path.write_text(json.dumps(content))
            files.append(str(path))
    result = CliRunner().invoke(main, ["check-configuration", *files, "--json"])
    assert result.exit_code == exit_code
    answer = json.loads(result.output)
    if faults is not None:
        tables = ("errors", "never_used", "contradictions")
        assert [row["path"] for name in tables for row in answer[name]] == faults


def test_a_missing_file_is_misuse() -> None:
    assert CliRunner().invoke(main, ["check-configuration", "none"]).exit_code == 2
