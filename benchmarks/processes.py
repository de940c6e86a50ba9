"""Start, stop and watch the processes of one experiment."""

from __future__ import annotations

import os
import signal
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple, TYPE_CHECKING

import gevent
import msgspec
from gevent import subprocess

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parents[1]
READY_SECONDS = 20.0
STOP_SECONDS = 40.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """Hold a process's processor time in seconds and resident bytes."""

    processor_seconds: float
    resident_bytes: int


class Process:
    """Own one child; its standard output and errors go to a file."""

    def __init__(self, name: str, arguments: Sequence[str], folder: Path) -> None:
        """Start ``python -m`` with the arguments."""
        self.name = name
        self.log = folder / f"{name}.log"
        self.errors = folder / f"{name}.err"
        with self.log.open("wb") as out, self.errors.open("wb") as errors:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=errors,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.child.pid

    def first_line(self) -> dict[str, Any]:
        """Wait for the JSON line that a stand-in prints when ready."""
        with gevent.Timeout(
            READY_SECONDS, RuntimeError(f"{self.name} printed nothing")
        ):
            while b"\n" not in (text := self.log.read_bytes()):
                if self.child.poll() is not None:
                    raise RuntimeError(
                        f"{self.name}: {self.errors.read_text()[-2000:]}"
                    )
                gevent.sleep(0.02)
        return msgspec.json.decode(text.splitlines()[0])

    def usage(self) -> Usage:
        """Read the processor time and resident size from /proc."""
        stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(stat[11]) + int(stat[12])
        return Usage(ticks / CLOCK_TICKS, int(stat[21]) * PAGE_BYTES)

    def kill(self) -> None:
        """Kill at once."""
        self.child.kill()
        self.child.wait()

    def stop(self) -> int:
        """Ask for a graceful end; kill what has not ended in time."""
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
            try:
                self.child.wait(timeout=STOP_SECONDS)
            except subprocess.TimeoutExpired:
                self.kill()
        return self.child.returncode


class Processes:
    """Own every child of one experiment, and end only those."""

    def __init__(self) -> None:
        """Start with none, in a folder of its own."""
        self.folder = Path(tempfile.mkdtemp(prefix="berylhinge-fleet-"))
        self.running: list[Process] = []

    def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start one child."""
        process = Process(name, arguments, self.folder)
        self.running.append(process)
        return process

    def forget(self, process: Process) -> None:
        """Drop a child that has ended."""
        self.running.remove(process)

    def stop(self) -> None:
        """End all, the latest first."""
        while self.running:
            process = self.running.pop()
            if process.child.poll() is None:
                process.kill()


def free_port() -> int:
    """Return a port that nothing listens on at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
