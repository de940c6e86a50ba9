"""Repeat a task's step for ever, whatever one turn raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

    from .logs import Log


def spawn_loop(
    step: Callable[[], object], pause: Callable[[], float], log: Log
) -> gevent.Greenlet:
    """Run a step and pause, in the background, until killed."""
    return gevent.spawn(run_loop, step, pause, log)


def run_loop(step: Callable[[], object], pause: Callable[[], float], log: Log) -> None:
    """Run a step and pause until killed; log what a step raises."""
    while True:
        try:
            step()
        except Exception as error:
            log.fault(getattr(step, "__name__", "step"), error)
        gevent.sleep(pause())
