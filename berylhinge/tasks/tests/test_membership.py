from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from ...core import membership, standings
from ...core.roster import Member as Start
from ..http import Address
from ..membership import MembershipTask

SECRET = b"s" * 32
WAIT_SECONDS = 10.0


class Member:
    """Run one membership task and note what it reports."""

    def __init__(self, name: str, *, secret: bytes = SECRET) -> None:
        self.counts: Counter[str] = Counter()
        self.changes = 0
        self.versions: dict[str, int] = {}
        port = free_port()
        self.task = MembershipTask(
            Start(name, 1),
            listen=Address("127.0.0.1", port),
            secrets=[secret],
            version=lambda: len(name),
            on_change=self.note_change,
            on_version=self.versions.__setitem__,
            on_count=lambda event, size: self.counts.update([event]),
        )
        self.record: Any = {
            "instance": name,
            "incarnation": 1,
            "place": "oslo-a",
            "state": "live",
            "peer": f"127.0.0.1:{port}",
            "callers": "",
            "operators": "",
        }

    def note_change(self) -> None:
        self.changes += 1

    def misses(self, name: str, incarnation: int = 1) -> bool:
        return self.task.is_absent(Start(name, incarnation))


def free_port() -> int:
    probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    probe.bind(("127.0.0.1", 0))
    port = int(probe.getsockname()[1])
    probe.close()
    return port


def until(holds: Any) -> None:
    with gevent.Timeout(WAIT_SECONDS):
        while not holds():
            gevent.sleep(0.01)


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "PERIOD_SECONDS", 0.1)
    monkeypatch.setattr(membership, "ACK_SECONDS", 0.03)
    monkeypatch.setattr(standings, "SUSPICION_BASE_SECONDS", 0.3)
    monkeypatch.setattr(standings, "SUSPICION_STEP_SECONDS", 0.0)
    monkeypatch.setattr("berylhinge.tasks.membership.TICK_SECONDS", 0.01)


@pytest.fixture
def three(quick: None) -> Iterator[list[Member]]:
    members = [Member(name) for name in ("a", "bb", "ccc")]
    for member in members:
        member.task.set_listed([other.record for other in members])
        member.task.start()
    yield members
    for member in members:
        member.task.stop()


def test_members_probe_each_other_and_tell_versions(three: list[Member]) -> None:
    first = three[0]
    until(lambda: first.versions == {"bb": 2, "ccc": 3})
    assert not any(first.misses(name) for name in ("bb", "ccc"))


def test_a_stopped_member_is_gone_for_all_but_not_its_next_start(
    three: list[Member],
) -> None:
    three[2].task.stop()
    until(lambda: all(one.misses("ccc") for one in three[:2]))
    assert not three[0].misses("ccc", incarnation=2)
    assert not three[0].misses("bb")


def test_leaving_is_heard(three: list[Member]) -> None:
    three[1].task.leave()
    before = three[0].changes
    until(lambda: three[0].misses("bb") and three[2].misses("bb"))
    assert three[0].changes > before


@pytest.mark.parametrize(
    ("secret", "data", "reason"),
    [(b"o" * 32, None, "unauthenticated"), (SECRET, b"noise", "unauthenticated")],
)
def test_what_is_not_from_an_instance_is_dropped_and_counted(
    quick: None, secret: bytes, data: bytes | None, reason: str
) -> None:
    receiver, other = Member("a"), Member("b", secret=secret)
    receiver.task.start()
    if data is None:
        other.task.set_listed([receiver.record])
        other.task.start()
    else:
        address = receiver.task.socket.getsockname()
        other.task.socket.sendto(data, address)
    until(lambda: receiver.counts[reason] > 0)
    assert receiver.changes == 0
    receiver.task.stop()
    other.task.stop()


def test_a_taken_port_is_an_error_at_once() -> None:
    member = Member("a")
    address = Address(*member.task.socket.getsockname())
    with pytest.raises(OSError, match="in use"):
        MembershipTask(
            Start("b", 1),
            listen=address,
            secrets=[SECRET],
            version=int,
            on_change=print,
            on_version=print,
            on_count=print,
        )
    member.task.stop()
