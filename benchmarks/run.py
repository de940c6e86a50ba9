"""Run every benchmark in turn and print its figures."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parent


def main() -> None:
    chosen = sys.argv[1:] or sorted(path.stem for path in FOLDER.glob("bench_*.py"))
    failed = [name for name in chosen if not run(name)]
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
        sys.exit(1)


def run(name: str) -> bool:
    """Run one benchmark in a process of its own."""
    print(f"# {name}", flush=True)
    command = [sys.executable, "-m", f"benchmarks.{name}"]
    return subprocess.run(command, cwd=ROOT).returncode == 0


if __name__ == "__main__":
    main()
