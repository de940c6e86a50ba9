from __future__ import annotations

import socket
import time
from collections import Counter
from typing import NamedTuple

import gevent
import msgspec
import pytest

from ...core.peer_contacts import PeerAddress
from ...core.peer_envelopes import new_channel, seal_message
from .. import peer_outboxes
from ..http_server import Address
from ..peer_frames import Frame
from ..peer_links import Links, PeerLost

SECRET = b"s" * 32
OTHER_SECRET = b"o" * 32
LOOPBACK = Address("127.0.0.1", 0)


class Question(NamedTuple):
    text: str


class Answer(NamedTuple):
    text: str


def make_links(
    name: str, secrets: list[bytes], incarnation: int = 1
) -> tuple[Links, Counter]:
    counts: Counter = Counter()
    links = Links(
        LOOPBACK,
        channel=new_channel(name, incarnation, secrets),
        on_count=lambda event, size: counts.update([event]),
    )
    links.register(Answer)
    links.register_call(Question, lambda sender, message: Answer(message.text + "!"))
    links.start()
    return links, counts


@pytest.fixture
def pair(request):
    first, first_counts = make_links("first", [SECRET])
    second, second_counts = make_links("second", request.param)
    first.set_peers({"second": PeerAddress(str(second.address), 1)})
    second.set_peers({"first": PeerAddress(str(first.address), 1)})
    yield first, first_counts, second_counts
    first.stop()
    second.stop()


@pytest.mark.parametrize(
    "pair", [[SECRET], [SECRET, OTHER_SECRET]], indirect=True, ids=["one", "rotating"]
)
def test_a_call_is_answered(pair):
    first, _, _ = pair
    assert first.call("second", Question("hello"), Answer, 5.0) == Answer("hello!")


@pytest.mark.parametrize("pair", [[OTHER_SECRET]], indirect=True, ids=["other"])
def test_a_message_under_another_secret_is_dropped_and_counted(pair):
    first, _, second_counts = pair
    with pytest.raises(PeerLost) as lost:
        first.call("second", Question("hello"), Answer, 0.3)
    assert lost.value.sent
    assert second_counts["unauthenticated"] == 1


@pytest.mark.parametrize("pair", [[SECRET]], indirect=True)
def test_a_call_to_an_unknown_peer_is_not_sent(pair):
    first, counts, _ = pair
    with pytest.raises(PeerLost) as lost:
        first.call("third", Question("hello"), Answer, 0.1)
    assert not lost.value.sent
    assert counts["unknown-peer"] == 1


@pytest.mark.parametrize("pair", [[SECRET]], indirect=True)
def test_concurrent_calls_get_their_own_answers(pair):
    first, _, _ = pair
    calls = [
        gevent.spawn(first.call, "second", Question(str(number)), Answer, 5.0)
        for number in range(200)
    ]
    gevent.joinall(calls)
    assert [call.value.text for call in calls] == [f"{n}!" for n in range(200)]


@pytest.mark.parametrize("pair", [[SECRET]], indirect=True)
def test_a_call_from_an_unlisted_instance_is_answered(pair):
    first, _, _ = pair
    unlisted, _ = make_links("unlisted", [SECRET])
    unlisted.set_peers({"first": PeerAddress(str(first.address), 1)})
    assert unlisted.call("first", Question("hello"), Answer, 5.0) == Answer("hello!")
    unlisted.stop()


def test_a_handler_is_passed_the_delay_of_a_message():
    first, _ = make_links("first", [SECRET])
    second, _ = make_links("second", [SECRET])
    delays: list[float] = []

    def handle(sender, message, delay):
        delays.append(delay)
        return Answer(message.text)

    second.register_call(Question, handle, takes_delay=True)
    first.set_peers({"second": PeerAddress(str(second.address), 1)})
    second.set_peers({"first": PeerAddress(str(first.address), 1)})
    first.call("second", Question("quick"), Answer, 5.0)
    second.reader.kill()
    gevent.spawn_later(0.3, second.start)
    first.call("second", Question("delayed"), Answer, 5.0)
    first.call("second", Question("quick again"), Answer, 5.0)
    first.stop()
    second.stop()
    assert delays[0] == 0.0
    assert delays[1] >= 0.25
    assert delays[2] < 0.25


class Broken(NamedTuple):
    text: str


def fail(sender: str, message: Broken) -> None:
    raise KeyError(message.text)


def test_an_error_in_a_handler_does_not_stop_the_reader():
    first, _ = make_links("first", [SECRET])
    second, _ = make_links("second", [SECRET])
    first.set_peers({"second": PeerAddress(str(second.address), 1)})
    second.set_peers({"first": PeerAddress(str(first.address), 1)})
    faults: list[str] = []
    second.on_fault = lambda kind, error: faults.append(f"{kind}: {error!r}")
    try:
        second.register(Broken, fail)
        first.call("second", Question("connect"), Answer, 5.0)
        first.send("second", Broken("x"))
        assert first.call("second", Question("still"), Answer, 2.0) == Answer("still!")
        assert faults == ["Broken: KeyError('x')"]
        second.register_call(Broken, fail)
        with pytest.raises(PeerLost):
            first.call("second", Broken("y"), Answer, 0.3)
        assert faults[1:] == ["Broken: KeyError('y')"]
    finally:
        first.stop()
        second.stop()


@pytest.fixture
def restarted_pair():
    """Run two instances that both restarted, and know each other's former process."""
    first, _ = make_links("first", [SECRET], incarnation=7)
    second, second_counts = make_links("second", [SECRET], incarnation=8)
    first.set_peers({"second": PeerAddress(str(second.address), 1)})
    second.set_peers({"first": PeerAddress(str(first.address), 1)})
    yield first, second, second_counts
    first.stop()
    second.stop()


def test_a_call_reaches_a_peer_whose_restart_is_not_known_yet(restarted_pair):
    # Without a notice, calls time out until the store has delivered the registration.
    first, second, second_counts = restarted_pair
    answer = first.call("second", Question("hello"), Answer, 5.0, may_repeat=True)
    assert answer == Answer("hello!")
    assert second_counts["stale-recipient"] == 1
    assert first.contacts.has_heard("second")
    assert second.call("first", Question("back"), Answer, 5.0) == Answer("back!")


def test_a_call_that_must_not_run_twice_is_not_repeated_after_a_restart(
    restarted_pair,
):
    # The former process may have run it before it died.
    first, _, second_counts = restarted_pair
    started_at = time.monotonic()
    with pytest.raises(PeerLost) as lost:
        first.call("second", Question("hello"), Answer, 5.0)
    assert lost.value.sent
    # It runs, so it must not be taken for dead.
    assert lost.value.restarted
    assert time.monotonic() - started_at < 2.0
    assert second_counts["received"] == 0


def test_a_peer_that_was_heard_is_dialled_at_once(monkeypatch, restarted_pair):
    # A dial that failed before the peer listened paused until the peer, which ran and
    # had been heard, counted as silent.
    pause_ms = 60_000
    monkeypatch.setattr(peer_outboxes, "RECONNECT_MIN_MS", pause_ms)
    monkeypatch.setattr(peer_outboxes, "RECONNECT_MAX_MS", pause_ms)
    first, second, _ = restarted_pair
    address = PeerAddress(str(second.address), 8)
    refusing = socket.create_server(("127.0.0.1", 0))
    unused = str(Address(*refusing.getsockname()))
    refusing.close()
    first.outboxes.ensure("second", address._replace(address=unused))
    first.outboxes.open["second"] = first.outboxes.open["second"]._replace(
        address=address.address
    )
    gevent.sleep(0.1)
    assert not first.connect("second")
    second.call("first", Question("hello"), Answer, 5.0, may_repeat=True)
    assert first.call(
        "second", Question("back"), Answer, 0.5, may_repeat=True
    ) == Answer("back!")


def test_an_outdated_registration_does_not_replace_what_a_peer_said(restarted_pair):
    first, second, _ = restarted_pair
    first.call("second", Question("hello"), Answer, 5.0, may_repeat=True)
    first.set_peers({"second": PeerAddress(str(second.address), 1)})
    assert first.call("second", Question("again"), Answer, 5.0) == Answer("again!")


def test_a_restart_notice_for_a_former_process_is_not_sent(restarted_pair):
    # A replayed message of a former process must not make a peer answer it.
    first, second, second_counts = restarted_pair
    first.call("second", Question("hello"), Answer, 5.0, may_repeat=True)
    former = new_channel("first", 3, [SECRET])
    frame = Frame("Question", 9, 0, str(first.address), 0, msgspec.Raw(b"\x90"))
    sent = second_counts["sent"]
    second.receive_message(
        seal_message(
            former,
            msgspec.msgpack.encode(frame),
            recipient="second",
            recipient_incarnation=1,
        )
    )
    assert second_counts["stale-recipient"] == 2
    assert second_counts["sent"] == sent


@pytest.mark.parametrize("address", ["", "no address", "127.0.0.1"])
@pytest.mark.parametrize("pair", [[SECRET]], indirect=True)
def test_a_peer_whose_address_cannot_be_dialled_stops_no_sender(pair, address):
    # The error reached whoever sent, and ended its task.
    first, counts, _ = pair
    first.set_peers({"odd": PeerAddress(address, 1)})
    assert not first.send("odd", Question("x"))
    assert counts["address-invalid"] == 1
    with pytest.raises(PeerLost) as lost:
        first.call("odd", Question("x"), Answer, 0.2)
    assert not lost.value.sent
