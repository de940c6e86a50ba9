from __future__ import annotations

import pytest

from ..database_group import DatabaseGroup, Entry
from ..session_database import Connection, SessionDatabase


@pytest.fixture
def group():
    group = DatabaseGroup("s", lag_seconds=0.0)
    for name in ("primary", "replica", "other"):
        SessionDatabase(group, name)
    yield group
    for member in group.members.values():
        member.crash()


def ask(group: DatabaseGroup, name: str, text: str) -> str:
    return Connection(group.members[name], None).run("-", text).decode()


def resume(group: DatabaseGroup) -> None:
    ask(group, "replica", "RESUME")


def promote_another(group: DatabaseGroup) -> None:
    group.promote("s", "other")


def restart(group: DatabaseGroup) -> None:
    group.members["replica"].crash()
    group.members["replica"].restart()


def do_nothing(group: DatabaseGroup) -> None:
    """Leave the group alone."""


@pytest.mark.parametrize(
    ("term", "then", "received"),
    [
        (1, do_nothing, 3),
        (2, do_nothing, 0),
        (2, resume, 3),
        (2, promote_another, 3),
        (2, restart, 3),
    ],
    ids=["old-term", "paused", "resumed", "promoted", "restarted"],
)
def test_a_paused_replica_receives_nothing_until_its_pause_ends(
    group, term, then, received
):
    assert "replica" in ask(group, "replica", f"PAUSE {term}")
    then(group)
    group.log += [Entry(1, [])] * (3 - len(group.log))
    group.members["replica"].receive(3)
    assert group.members["replica"].received == received


@pytest.mark.parametrize(
    ("command", "known", "answer"),
    [
        ("DEMOTE 1", True, "ROW primary 1"),
        ("DEMOTE 2", True, "ROW replica 1"),
        ("DEMOTE 2", False, "ERROR MALFORMED"),
        ("PAUSE 2", False, "ERROR MALFORMED"),
        ("RESUME", False, "ERROR MALFORMED"),
    ],
)
def test_a_primary_of_a_lower_term_becomes_a_replica(group, command, known, answer):
    group.members["primary"].knows_commands = known
    assert ask(group, "primary", command).startswith(answer)
    leads = not answer.startswith("ROW replica")
    write = ask(group, "primary", "WRITE item x")
    assert write.startswith("COMPLETE" if leads else "ERROR READONLY")
