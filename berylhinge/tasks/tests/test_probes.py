from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from ...core import membership, membership_state
from ...core.roster import Member as Start
from ..http import Address
from ..logs import Log
from ..members import MembershipCallbacks, MembershipTask
from ..probes import ProbeSocket

SECRET = b"s" * 32
WAIT_SECONDS = 10.0


class Member:
    """Run one membership task over UDP and note what it reports."""

    def __init__(self, name: str, *, secret: bytes = SECRET) -> None:
        self.counts: Counter[str] = Counter()
        self.changes = 0
        self.versions: dict[str, int] = {}
        self.start = Start(name, 1)
        address = Address("127.0.0.1", free_port())
        self.probes = ProbeSocket(
            self.start,
            address,
            secrets=[secret],
            on_count=lambda event, size: self.counts.update([event]),
            log=Log("probes", name),
        )
        self.task = MembershipTask(
            self.start,
            address=address,
            probes=self.probes,
            version=lambda: len(name),
            callbacks=MembershipCallbacks(
                self.note_change, self.versions.__setitem__, lambda: None
            ),
            log=Log("members", name),
        )
        self.record: Any = {
            "instance": name,
            "incarnation": 1,
            "place": "oslo-a",
            "state": "live",
            "peer": str(address),
            "callers": "",
            "operators": "",
        }

    def note_change(self) -> None:
        self.changes += 1

    def sees(self) -> set[str]:
        return {member.instance for member in self.task.members()}


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
    monkeypatch.setattr(membership, "PROBE_PERIOD_SECONDS", 0.1)
    monkeypatch.setattr(membership, "ACK_TIMEOUT_SECONDS", 0.03)
    monkeypatch.setattr(membership_state, "SUSPICION_BASE_SECONDS", 0.3)
    monkeypatch.setattr(membership_state, "SUSPICION_SECONDS_PER_DOUBLING", 0.0)
    monkeypatch.setattr("berylhinge.tasks.members.TICK_SECONDS", 0.01)


@pytest.fixture
def three(quick: None) -> Iterator[list[Member]]:
    members = [Member(name) for name in ("a", "bb", "ccc")]
    for member in members:
        member.task.take_list([other.record for other in members])
        member.task.start()
    yield members
    for member in members:
        member.task.stop()


def test_members_probe_each_other_and_tell_versions(three: list[Member]) -> None:
    first = three[0]
    until(lambda: first.versions == {"bb": 2, "ccc": 3})
    assert first.sees() == {"a", "bb", "ccc"}
    assert first.counts["probe-sent"] > 0


def test_a_stopped_member_is_dead_for_all(three: list[Member]) -> None:
    three[2].task.stop()
    until(lambda: all(one.sees() == {"a", "bb"} for one in three[:2]))


def test_leaving_is_heard(three: list[Member]) -> None:
    before = three[0].changes
    three[1].task.leave()
    until(lambda: three[0].sees() == {"a", "ccc"} == three[2].sees())
    assert three[0].changes > before


def test_an_unlisted_prober_is_answered_and_becomes_a_member(quick: None) -> None:
    first, second = Member("a"), Member("b")
    first.task.take_list([second.record])
    for member in (first, second):
        member.task.start()
    until(lambda: second.sees() == {"a", "b"} and "b" in first.versions)
    for member in (first, second):
        member.task.stop()


def test_a_message_under_another_secret_is_dropped_and_counted(quick: None) -> None:
    receiver, other = Member("a"), Member("b", secret=b"o" * 32)
    receiver.task.start()
    other.task.take_list([receiver.record])
    other.task.start()
    until(lambda: receiver.counts["unauthenticated"] > 0)
    assert receiver.sees() == {"a"}
    receiver.task.stop()
    other.task.stop()


@pytest.mark.parametrize("data", [b"", b"noise", b"x" * 5_000])
def test_noise_is_dropped_and_counted(data: bytes) -> None:
    receiver = Member("a")
    receiver.task.start()
    noise = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    noise.sendto(data, receiver.probes.socket.getsockname())
    until(lambda: receiver.counts["unauthenticated"] > 0)
    noise.close()
    receiver.task.stop()


def test_a_taken_port_is_an_error_at_once() -> None:
    member = Member("a")
    address = Address(*member.probes.socket.getsockname())
    with pytest.raises(OSError, match="in use"):
        ProbeSocket(
            Start("b", 1),
            address,
            secrets=[SECRET],
            on_count=lambda event, size: None,
            log=Log("probes", "b"),
        )
    member.task.stop()
