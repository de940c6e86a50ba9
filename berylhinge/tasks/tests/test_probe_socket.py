from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from ...core import membership, membership_state
from ...core.roster import Member
from ..http_server import Address
from ..logs import Log
from ..membership_task import MembershipCallbacks, MembershipTask
from ..probe_socket import ProbeSocket

SECRET = b"s" * 32
WAIT_SECONDS = 10.0


class RunningMember:
    """Run one membership task over UDP and record what it reports."""

    def __init__(self, name: str, *, secret: bytes = SECRET) -> None:
        self.counts: Counter[str] = Counter()
        self.changes = 0
        self.versions: dict[str, int] = {}
        self.member = Member(name, 1)
        address = Address("127.0.0.1", free_port())
        self.probes = ProbeSocket(
            self.member,
            address,
            secrets=[secret],
            on_count=lambda event, size: self.counts.update([event]),
            log=Log("probes", name),
        )
        self.task = MembershipTask(
            self.member,
            address=address,
            probe_socket=self.probes,
            get_version=lambda: len(name),
            callbacks=MembershipCallbacks(
                self.record_change, self.versions.__setitem__, lambda: None
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

    def record_change(self) -> None:
        self.changes += 1

    def serving(self) -> set[str]:
        return {member.instance for member in self.task.serving_members()}


def free_port() -> int:
    probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    probe.bind(("127.0.0.1", 0))
    port = int(probe.getsockname()[1])
    probe.close()
    return port


def wait_until(condition: Any) -> None:
    with gevent.Timeout(WAIT_SECONDS):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "PROBE_PERIOD_SECONDS", 0.1)
    monkeypatch.setattr(membership, "ACK_TIMEOUT_SECONDS", 0.03)
    monkeypatch.setattr(membership_state, "SUSPICION_BASE_SECONDS", 0.3)
    monkeypatch.setattr(membership_state, "SUSPICION_SECONDS_PER_DOUBLING", 0.0)
    monkeypatch.setattr("berylhinge.tasks.membership_task.TICK_SECONDS", 0.01)


@pytest.fixture
def three_members(short_timeouts: None) -> Iterator[list[RunningMember]]:
    members = [RunningMember(name) for name in ("a", "bb", "ccc")]
    for member in members:
        member.task.apply_list([other.record for other in members])
        member.task.start()
    yield members
    for member in members:
        member.task.stop()


def test_members_probe_each_other_and_exchange_versions(
    three_members: list[RunningMember],
) -> None:
    first = three_members[0]
    wait_until(lambda: first.versions == {"bb": 2, "ccc": 3})
    assert first.serving() == {"a", "bb", "ccc"}
    assert first.counts["probe-sent"] > 0


def test_a_stopped_member_is_dead_for_all_others(
    three_members: list[RunningMember],
) -> None:
    three_members[2].task.stop()
    wait_until(
        lambda: all(member.serving() == {"a", "bb"} for member in three_members[:2])
    )


def test_a_leaving_member_is_removed_by_the_others(
    three_members: list[RunningMember],
) -> None:
    before = three_members[0].changes
    three_members[1].task.announce_leaving()
    wait_until(
        lambda: three_members[0].serving() == {"a", "ccc"} == three_members[2].serving()
    )
    assert three_members[0].changes > before


def test_an_unlisted_prober_is_answered_and_becomes_a_member(
    short_timeouts: None,
) -> None:
    first, second = RunningMember("a"), RunningMember("b")
    first.task.apply_list([second.record])
    for member in (first, second):
        member.task.start()
    wait_until(lambda: second.serving() == {"a", "b"} and "b" in first.versions)
    for member in (first, second):
        member.task.stop()


def test_a_message_under_another_secret_is_dropped_and_counted(
    short_timeouts: None,
) -> None:
    receiver, other = RunningMember("a"), RunningMember("b", secret=b"o" * 32)
    receiver.task.start()
    other.task.apply_list([receiver.record])
    other.task.start()
    wait_until(lambda: receiver.counts["unauthenticated"] > 0)
    assert receiver.serving() == {"a"}
    receiver.task.stop()
    other.task.stop()


@pytest.mark.parametrize("data", [b"", b"noise", b"x" * 5_000])
def test_a_malformed_datagram_is_dropped_and_counted(data: bytes) -> None:
    receiver = RunningMember("a")
    receiver.task.start()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.sendto(data, receiver.probes.socket.getsockname())
    wait_until(lambda: receiver.counts["unauthenticated"] > 0)
    sender.close()
    receiver.task.stop()


def test_a_port_in_use_is_an_error_at_once() -> None:
    member = RunningMember("a")
    address = Address(*member.probes.socket.getsockname())
    with pytest.raises(OSError, match="in use"):
        ProbeSocket(
            Member("b", 1),
            address,
            secrets=[SECRET],
            on_count=lambda event, size: None,
            log=Log("probes", "b"),
        )
    member.task.stop()
