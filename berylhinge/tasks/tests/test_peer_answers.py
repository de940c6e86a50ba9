from __future__ import annotations

from typing import Any, NamedTuple

import gevent
import msgspec
import pytest
from gevent.event import Event

from ...core.peer_contacts import PeerAddress
from ...core.peer_envelopes import new_channel, seal_message
from ...wire.kinds import kind_of
from ..peer_frames import Frame, PeerLost, RestartNotice
from ..peer_links import Links
from .test_peer_links import Answer, make_links, Question, SECRET


class OtherAnswer(NamedTuple):
    text: str


@pytest.fixture
def asked():
    """Run an instance that answers each question once its text is released."""
    links, counts = make_links("asked", [SECRET])
    arrived: dict[str, Event] = {"former": Event(), "own": Event()}
    released: dict[str, Event] = {"former": Event(), "own": Event()}

    def answer(_sender: str, message: Question) -> Answer:
        arrived[message.text].set()
        released[message.text].wait(5.0)
        return Answer(message.text)

    links.register_call(Question, answer)
    yield links, counts, arrived, released
    links.stop()


def start_asking(asked: Links, incarnation: int) -> Links:
    links, _ = make_links("asking", [SECRET], incarnation)
    links.set_peers({"asked": PeerAddress(str(asked.address), 1)})
    return links


def test_an_answer_to_a_former_process_ends_no_call_of_its_successor(asked):
    # Callers of a restarted instance got other callers' rows and receipts, and BUSY for
    # writes that were committed.
    links, counts, arrived, released = asked
    former = start_asking(links, 1)
    gevent.spawn(former.call, "asked", Question("former"), Answer, 5.0)
    assert arrived["former"].wait(5.0)
    former.stop()
    successor = start_asking(links, 2)
    call = gevent.spawn(successor.call, "asked", Question("own"), Answer, 5.0)
    assert arrived["own"].wait(5.0)
    released["former"].set()
    gevent.sleep(0.1)
    assert not call.ready()
    released["own"].set()
    assert call.get(timeout=5.0) == Answer("own")
    assert counts["other-incarnation"] == 1
    successor.stop()


@pytest.mark.parametrize(
    ("sender", "incarnation", "message", "outcome", "counted"),
    [
        ("asked", 1, Answer("x"), "answered", ""),
        ("other", 1, Answer("x"), "pending", "misdirected-answer"),
        ("asked", 2, Answer("x"), "pending", "misdirected-answer"),
        ("asked", 1, RestartNotice(1), "pending", "misdirected-answer"),
        ("other", 2, RestartNotice(1), "pending", "misdirected-answer"),
        ("asked", 2, RestartNotice(1), "restarted", ""),
        ("asked", 1, OtherAnswer("x"), "lost", "unexpected-answer"),
    ],
    ids=[
        "of-the-asked-process",
        "of-another-peer",
        "of-the-peers-next-process",
        "notice-of-the-asked-process",
        "notice-of-another-peer",
        "notice-of-the-next-process",
        "of-another-type",
    ],
)
def test_a_call_ends_only_with_an_answer_of_the_process_that_was_asked(
    asked, sender: str, incarnation: int, message: Any, outcome: str, counted: str
):
    # A call number alone identified a call, whoever sent the answer.
    links, _, arrived, _ = asked
    asking, counts = make_links("asking", [SECRET])
    asking.register(OtherAnswer)
    asking.set_peers({"asked": PeerAddress(str(links.address), 1)})
    call = gevent.spawn(asking.call, "asked", Question("own"), Answer, 5.0)
    assert arrived["own"].wait(5.0)
    reply = 0 if isinstance(message, RestartNotice) else 1
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    frame = Frame(kind_of(type(message)), 0, reply, "", 0, body)
    asking.receive_message(
        seal_message(
            new_channel(sender, incarnation, [SECRET]),
            msgspec.msgpack.encode(frame),
            recipient="asking",
            recipient_incarnation=1,
        )
    )
    call.join(0.1)
    if outcome == "pending":
        assert not call.ready()
    elif outcome == "answered":
        assert call.value == message
    else:
        assert isinstance(call.exception, PeerLost)
        assert call.exception.restarted is (outcome == "restarted")
    assert not counted or counts[counted] == 1
    call.kill()
    asking.stop()
