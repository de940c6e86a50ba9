"""Remember of which services reads of bounded age are expected, and by whom."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import now_seconds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...types import Seconds

# After a read of a service, more are expected for this long; callers pause for less.
READ_DEMAND_SECONDS = 2.0


class ReadDemand:
    """Own the services of which this instance or its peers expect reads."""

    def __init__(self) -> None:
        """Start without demand."""
        self.expected_until: dict[str, Seconds] = {}
        self.positions_needed_until: dict[str, Seconds] = {}

    def expect(self, service: str) -> None:
        """Expect more reads of bounded age, which need recent proofs."""
        self.expected_until[service] = now_seconds() + READ_DEMAND_SECONDS

    def is_expected(self, service: str) -> bool:
        """Return whether reads of bounded age are expected."""
        return self.expected_until.get(service, 0.0) > now_seconds()

    def request_positions(self, services: Iterable[str]) -> None:
        """Record that a peer needs the log positions of services' replicas."""
        until = now_seconds() + READ_DEMAND_SECONDS
        self.positions_needed_until.update(dict.fromkeys(services, until))

    def needs_positions(self, service: str) -> bool:
        """Return whether the positions of replicas are needed here or at a peer."""
        needed_until = self.positions_needed_until.get(service, 0.0)
        return needed_until > now_seconds() or self.is_expected(service)
