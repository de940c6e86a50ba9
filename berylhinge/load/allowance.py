"""Judge refusals and service against each organisation's allowance."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from .records import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .records import Allowance, Operation

RATE_REASONS = frozenset({"rate-exceeded", "rate-unproven"})


class Service(NamedTuple):
    """Count how an organisation fared.

    ``due`` requests were sent while a token bucket of its allowance, debited by
    whatever was admitted, held a token. ``wrongful`` of them were refused, of
    these ``wrongful_rate`` for the rate.
    """

    sent: int
    due: int
    served: int
    wrongful: int
    wrongful_rate: int

    @property
    def success_share(self) -> float:
        """Return the share served of what was due, 1 where nothing was."""
        whole = self.served + self.wrongful
        return self.served / whole if whole else 1.0


def judge(operations: Iterable[Operation], allowance: Allowance) -> Service:
    """Replay the requests in the order sent against one ideal token bucket.

    A token bucket as in Turner 1986, New directions in communications.
    """
    tokens = allowance.burst
    last = 0.0
    sent = due = served = wrongful = wrongful_rate = 0
    for operation in sorted(operations, key=lambda one: one.sent):
        tokens += (operation.sent - last) * allowance.rate
        tokens = min(allowance.burst, tokens)
        last = operation.sent
        sent += 1
        cost = max(1, operation.admissions)
        inside = tokens >= cost
        due += inside
        if operation.verdict is Verdict.OK:
            served += 1
            tokens -= cost
        elif inside:
            wrongful += 1
            wrongful_rate += operation.reason in RATE_REASONS
            tokens -= cost
    return Service(sent, due, served, wrongful, wrongful_rate)
