"""Run a task's steps repeatedly, even if one raises an exception."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .logs import Log


def spawn_loop(
    step: Callable[[], object], pause: Callable[[], float], log: Log
) -> gevent.Greenlet:
    """Run a step and pause, repeatedly in the background, until killed."""
    return gevent.spawn(run_loop, (step,), pause, log)


def spawn_steps(
    steps: Sequence[Callable[[], object]], pause_seconds: float, log: Log
) -> gevent.Greenlet:
    """Run steps that do not block, in order, and pause, repeatedly until killed.

    One loop for all steps wakes the process less often than a loop for each would.
    """
    return gevent.spawn(run_loop, steps, lambda: pause_seconds, log)


def run_loop(
    steps: Sequence[Callable[[], object]], pause: Callable[[], float], log: Log
) -> None:
    """Run steps and pause, repeatedly until killed; log exceptions of a step."""
    while True:
        for step in steps:
            try:
                step()
            except Exception as error:
                log.fault(getattr(step, "__name__", "step"), error)
        gevent.sleep(pause())
