"""Print the slopes that docs/CAPACITY.md is worked out from."""

from __future__ import annotations

import sys

from . import slopes_core, slopes_processes
from .series import print_head, print_series

PARTS = {"core": slopes_core.measure, "processes": slopes_processes.measure}


def main() -> None:
    for name in sys.argv[1:] or PARTS:
        print(f"# {name}")
        series = PARTS[name]()
        print_head()
        for one in series:
            print_series(one)


if __name__ == "__main__":
    main()
