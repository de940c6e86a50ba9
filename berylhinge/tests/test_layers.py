from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parents[1]
FORBIDDEN_IN_CORE = {
    "gevent",
    "socket",
    "pynng",
    "time",
    "geventhttpclient",
    "eliot",
    "aioprometheus",
    "threading",
    "asyncio",
    "subprocess",
}
LAYERS = {
    "core": {"core", "types", "errors", "reasons", "options", "charts", "wire"},
    "wire": {"wire", "types", "errors", "reasons", "core"},
    "standins": {"standins", "core", "wire", "types", "errors", "reasons", "tasks"},
}


def modules(folder: str) -> list[Path]:
    found = sorted((PACKAGE / folder).glob("*.py"))
    assert found, folder
    return found


def absolute_imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            names.add((node.module or "").split(".")[0])
    return names


def package_imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 2:
            head = (node.module or "").split(".")[0]
            names |= {head} if head else {alias.name for alias in node.names}
    return names


@pytest.mark.parametrize("path", modules("core"), ids=lambda path: path.stem)
def test_core_does_no_io(path: Path) -> None:
    assert not absolute_imports(path) & FORBIDDEN_IN_CORE


@pytest.mark.parametrize("folder", sorted(LAYERS))
def test_layers_import_only_what_lies_beneath(folder: str) -> None:
    for path in modules(folder):
        assert package_imports(path) <= LAYERS[folder], path


def test_no_module_is_over_400_lines() -> None:
    grown = {
        str(path.relative_to(PACKAGE)): count
        for path in sorted(PACKAGE.rglob("*.py"))
        if (count := len(path.read_text().splitlines())) > 400
    }
    assert grown == {}


PLATFORM_WIRE_NAMES = (
    "kv-",
    "op/config",
    "servers/",
    "Berylhinge-Duty-Holder",
    "Berylhinge-Fence-Token",
    "READONLY",
    "WRONGNODE",
    "latency-goal-ms",
    "api-keys",
)


def test_the_platforms_names_stay_in_its_adapter() -> None:
    leaks = [
        (str(path.relative_to(PACKAGE)), name)
        for path in sorted(PACKAGE.rglob("*.py"))
        if not {"platform", "standins", "tests"} & set(path.relative_to(PACKAGE).parts)
        for name in PLATFORM_WIRE_NAMES
        if name in path.read_text()
    ]
    assert leaks == []
