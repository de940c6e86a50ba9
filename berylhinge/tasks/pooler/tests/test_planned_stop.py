from __future__ import annotations

import gevent
import pytest

from ....core.pooler.planned_stop import schedule_stop
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


@pytest.fixture
def closing_fleet(fleet: Fleet) -> Fleet:
    """Let the first instance be in the part of a stop that ends idle sessions."""
    fleet.instances[0].view.stop = schedule_stop(now_seconds() - 2.6, 60.0)
    return fleet


@pytest.mark.parametrize("text", ["WRITE item x", "READ item", "BEGIN", "SET a b"])
def test_a_statement_that_has_arrived_is_answered_before_its_session_ends(
    closing_fleet: Fleet, text: str
) -> None:
    # The session was closed with the statement unread.
    caller = closing_fleet.caller("strict", instance=1)
    instance = closing_fleet.instances[1]
    caller.send(text)
    instance.view.stop = closing_fleet.instances[0].view.stop
    instance.caller_listener.close_idle()
    assert caller.read_answer()[0].startswith("COMPLETE")
    assert text == "BEGIN" or caller.read_line() == ""


def test_a_stopping_instance_refuses_new_sessions_at_once(closing_fleet: Fleet) -> None:
    # It opened them and closed them as their first statement arrived.
    caller = closing_fleet.caller("strict")
    assert caller.started.startswith("ERROR BUSY")
    assert caller.read_line() == ""


def test_a_refused_session_is_told_so_though_it_has_sent_more(
    closing_fleet: Fleet,
) -> None:
    address = tuple(closing_fleet.instances[0].settings.callers)
    sock = gevent.socket.create_connection(address, timeout=5)
    sock.sendall(b"START strict k1\r\nQUERY q1 WRITE item x\r\n")
    gevent.sleep(0.05)
    sock.sendall(b"QUERY q2 WRITE item x\r\n")
    gevent.sleep(0.05)
    assert sock.makefile("rb").readline().startswith(b"ERROR BUSY")
    assert not closing_fleet.group.runs


def test_a_session_that_waits_for_its_first_message_gets_a_moment(
    closing_fleet: Fleet,
) -> None:
    address = tuple(closing_fleet.instances[0].settings.callers)
    sock = gevent.socket.create_connection(address, timeout=5)
    gevent.sleep(0.05)
    closing_fleet.instances[0].caller_listener.close_idle()
    sock.sendall(b"START strict k1\r\n")
    assert sock.makefile("rb").readline().startswith(b"ERROR BUSY")


def test_a_stop_owes_an_answer_to_each_statement_without_a_result(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One that waited for a slot was not counted, and the process ended before it.
    instance = fleet.instances[0]
    monkeypatch.setattr(
        instance.held_databases,
        "run_if_possible",
        lambda _sender, _request, _delay: gevent.sleep(0.1),
    )
    job = gevent.spawn(instance.held_databases.run_statement, "n1", None)
    gevent.sleep(0.02)
    assert not instance.owes_nothing()
    job.join()
    assert instance.owes_nothing()
