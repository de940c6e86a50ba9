from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import pytest

from ...core import minting, permits, unit_messages
from .. import fleet, membership, peers, pooling
from ..kinds import kind_of, omit_defaults, sent_as

KINDS = {
    "Ping": membership.Ping,
    "Ack": membership.Ack,
    "PingRequest": membership.PingRequest,
    "ForwardStatement": peers.ForwardStatement,
    "ForwardTransaction": peers.ForwardTransaction,
    "ForwardAnswer": peers.ForwardAnswer,
    "ReachReport": peers.UnreachableReport,
    "RunUnit": pooling.ExecuteRequest,
    "UnitDone": pooling.ExecuteResponse,
    "Abandon": pooling.RollbackRequest,
    "Look": pooling.DatabaseStatesRequest,
    "Looked": pooling.DatabaseStatesResponse,
    "TakeTokens": pooling.TokenRequest,
    "Tokens": pooling.TokenGrant,
    "Reach": pooling.ReachabilityRequest,
    "Reached": pooling.ReachabilityResponse,
    "VouchRequest": permits.AttestationRequest,
    "Ask": unit_messages.UnitRequest,
    "Give": unit_messages.UnitTransfer,
    "Taken": unit_messages.TransferAck,
    "Deny": unit_messages.UnitDenial,
    "Collect": minting.HoldingsRequest,
    "Holdings": minting.HoldingsResponse,
    "RosterRequest": fleet.RosterRequest,
    "RosterNews": fleet.RosterAnnouncement,
    "RosterAnswer": fleet.RosterResponse,
    "ProvenAnswer": fleet.VersionedAttestation,
    "VersionNews": fleet.VersionAnnouncement,
    "PullRequest": fleet.ConfigurationPullRequest,
    "PullAnswer": fleet.ConfigurationPullResponse,
    "ProofRequest": fleet.VersionProofRequest,
    "ProofAnswer": fleet.VersionProofResponse,
}


class Unnamed(NamedTuple):
    number: int


@sent_as("Former")
class Renamed(NamedTuple):
    number: int


@pytest.mark.parametrize(("wire_kind", "message_class"), list(KINDS.items()))
def test_each_message_class_keeps_its_kind(wire_kind: str, message_class: Any) -> None:
    # Guards against a renamed class: instances of the former version would drop its
    # messages as malformed.
    assert kind_of(message_class) == wire_kind
    assert "wire_kind" in vars(message_class)
    assert "wire_kind" not in message_class._fields


def test_a_type_without_a_wire_kind_is_sent_under_its_class_name() -> None:
    assert kind_of(Unnamed) == "Unnamed"


def test_a_wire_kind_does_not_change_the_encoding() -> None:
    assert kind_of(Renamed) == "Former"
    assert Renamed._fields == ("number",)
    data = msgspec.msgpack.encode(Renamed(7))
    assert data == msgspec.msgpack.encode(Unnamed(7))
    assert msgspec.msgpack.decode(data, type=Renamed) == Renamed(7)


class Extended(NamedTuple):
    number: int
    text: str = ""
    flag: bool = False


@pytest.mark.parametrize(
    ("message", "sent"),
    [
        (Extended(7), (7,)),
        (Extended(7, flag=True), (7, "", True)),
        (Extended(7, "a"), (7, "a")),
        (Unnamed(7), (7,)),
        ("text", "text"),
    ],
)
def test_fields_with_defaults_are_not_sent_at_the_end(
    message: Any, sent: object
) -> None:
    # Guards against a rolling upgrade in which instances of the former version refuse
    # every message with a new optional field.
    assert omit_defaults(message) == sent
    data = msgspec.msgpack.encode(omit_defaults(message))
    assert msgspec.msgpack.decode(data, type=type(message)) == message
    if message == Extended(7):
        assert msgspec.msgpack.decode(data, type=Unnamed) == Unnamed(7)
