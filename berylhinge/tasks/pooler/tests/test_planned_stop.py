from __future__ import annotations

import gevent
import pytest

from ...clock import now_seconds
from .conftest import Caller, Fleet

CALLERS = 8


def run_transaction(
    caller: Caller, cuts: set[str], stops: list[gevent.Greenlet]
) -> None:
    """Run statements until the stops are over, one is refused or has no answer."""
    item = f"item-{id(caller)}"
    text = "BEGIN"
    while text != "COMMIT":
        try:
            answer = caller.ask(text)
        except OSError:
            answer = [""]
        if not answer[-1].startswith("READY"):
            cuts.add(f"q{id(caller)}n{caller.number}")
            return
        if answer[0].startswith("ERROR"):
            # Nothing is kept, so the caller may try elsewhere.
            assert answer[0].startswith("ERROR ABORTED")
            return
        gevent.sleep(0.05)
        text = "COMMIT" if all(stop.ready() for stop in stops) else f"WRITE {item} x"


def stop_process(fleet: Fleet, number: int) -> None:
    """Stop an instance, and close its sockets as the end of its process does."""
    started_at = now_seconds()
    fleet.instances[number].shut_down()
    assert now_seconds() - started_at < fleet.instances[number].settings.grace_seconds
    fleet.instances[number].stop()


@pytest.mark.parametrize("work_seconds", [0.04, 0.15])
@pytest.mark.parametrize("stopped", [(0,), (1,), (0, 1)])
def test_a_planned_stop_answers_the_statements_that_it_took(
    fleet: Fleet, stopped: tuple[int, ...], work_seconds: float
) -> None:
    # Statements that a database ran were cut at the end of the process, whether it had
    # taken them from a caller or for another instance.
    callers = [fleet.caller("strict", instance=n % 2) for n in range(CALLERS)]
    callers[0].ask("WRITE item x")
    for member in fleet.group.members.values():
        member.statement_seconds = work_seconds
    cuts: set[str] = set()
    stops = [
        gevent.spawn_later(0.2 + 0.1 * number, stop_process, fleet, number)
        for number in stopped
    ]
    jobs = [gevent.spawn(run_transaction, caller, cuts, stops) for caller in callers]
    gevent.joinall([*stops, *jobs], raise_error=True)
    gevent.sleep(work_seconds + 0.05)
    assert not cuts & {run.request for run in fleet.group.runs}


def test_a_transaction_that_cannot_end_in_time_is_refused_and_rolled_back(
    fleet: Fleet,
) -> None:
    caller, other = fleet.caller("strict"), fleet.caller("strict", instance=1)
    caller.ask("BEGIN")
    caller.ask("WRITE item lost")
    job = gevent.spawn(stop_process, fleet, 0)
    last = ""
    while not last.startswith("ERROR") and not job.ready():
        gevent.sleep(0.2)
        last = caller.ask("READ item")[0]
    # The route's timeout ends after the process.
    assert last.startswith("ERROR ABORTED")
    assert other.ask("READ item")[0].startswith("COMPLETE")
    job.join()
