"""Define the messages of an instance's listener for operators."""

from __future__ import annotations

from typing import NotRequired, TypedDict

STATUS_PATH = "/v1/status"
WITHDRAWALS_PATH = "/v1/withdrawals"
DRAIN_PATH = "/v1/drain"


class MemberStatus(TypedDict):
    """Report what an instance knows of one upstream."""

    role: str | None
    term: int | None
    last: tuple[int, int] | None
    reachable: bool
    lag_entries: NotRequired[int | None]
    lag_seconds: NotRequired[float | None]
    leaving: NotRequired[bool]


class GroupStatus(TypedDict):
    """Report what an instance knows of one group that it serves."""

    term: int
    primary: str | None
    confirmed: tuple[int, int] | None
    members: dict[str, MemberStatus]


class ShareStatus(TypedDict):
    """Report an instance's share of an organisation's rate, in units and tokens."""

    units: float
    tokens: float


class InstanceStatus(TypedDict):
    """Report the state of one instance."""

    instance: str
    place: str
    state: str
    config_version: int
    incarnation: int
    groups: dict[str, GroupStatus]
    shares: dict[str, ShareStatus]
    ready: NotRequired[bool]


class WithdrawalsRequest(TypedDict):
    """Withdraw API keys with immediate effect."""

    keys: list[str]
