"""Define the messages with which instances probe each other."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from ..types import InstanceId
from .kinds import sent_as


class MembershipStatus(IntEnum):
    """Name a member's status; of two for one incarnation the greater applies."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MemberUpdate(NamedTuple):
    """Report a member's status; ``refutation`` counts the suspicions it has refuted."""

    instance: InstanceId
    peer: str
    incarnation: int
    refutation: int
    status: MembershipStatus


@sent_as("Ping")
class Ping(NamedTuple):
    """Ask whether the recipient is alive; ``version`` is the sender's configuration."""

    sequence: int
    version: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...]


@sent_as("Ack")
class Ack(NamedTuple):
    """Answer a ping, or relay that the subject answered one."""

    sequence: int
    version: int
    subject: InstanceId
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...]


@sent_as("PingRequest")
class PingRequest(NamedTuple):
    """Ask the recipient to ping the subject on the sender's behalf."""

    sequence: int
    version: int
    subject: InstanceId
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...]


MembershipMessage = Ping | Ack | PingRequest
