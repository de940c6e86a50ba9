from __future__ import annotations

import pytest

from ..cli.dev import Demo, start_demo


@pytest.fixture(scope="session")
def demo() -> Demo:
    running = start_demo()
    yield running
    running.stop()
