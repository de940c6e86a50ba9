"""Describe the registered instances."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from ...types import FailureDomainId, InstanceId


class Member(NamedTuple):
    """Describe a registered instance."""

    instance: InstanceId
    failure_domain: FailureDomainId
    address: str
    incarnation: int
    leaving: bool
    weight: float = 1.0
