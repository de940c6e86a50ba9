from __future__ import annotations

import json
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner

from ... import __version__
from ..standin import main

COMMAND = [sys.executable, "-m", "berylhinge.cli.standin"]
STOP_SECONDS = 10


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (["--help"], 0, "Exit codes"),
        (["--version"], 0, __version__),
        (["platform", "--help"], 0, "--list-lag"),
        (["upstream", "--help"], 0, "--connect-cost"),
        ([], 2, "Usage"),
        (["nothing"], 2, "No such command"),
        (["upstream"], 2, "--name"),
        (["upstream", "--name", "a", "--slots", "0"], 2, "--slots"),
        (["upstream", "--name", "a", "--lag", "-1"], 2, "--lag"),
        (["upstream", "--name", "a", "--data", "here"], 2, "expected IP:PORT"),
        (["platform", "--address", "127.0.0.1:70000"], 2, "expected IP:PORT"),
        (["platform", "--address", "192.0.2.1:80"], 1, "cannot listen"),
    ],
)
def test_exit_codes_and_messages(arguments, code, said):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == code
    assert said in result.output


@pytest.mark.parametrize(
    ("arguments", "names"),
    [
        (["platform"], {"address", "faults"}),
        (
            ["upstream", "--name", "a", "--place", "oslo-a"],
            {"upstream", "place", "data", "control", "faults"},
        ),
    ],
)
def test_a_process_prints_its_addresses_and_ends_on_sigterm(arguments, names):
    process = subprocess.Popen([*COMMAND, *arguments], stdout=subprocess.PIPE)
    try:
        assert set(json.loads(process.stdout.readline())) == names
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=STOP_SECONDS) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
