"""Write short log lines with a fixed prefix for each part."""

from __future__ import annotations

import sys
import traceback
from typing import Any, TYPE_CHECKING

import eliot

if TYPE_CHECKING:
    from ..errors import Refusal


def start_logging(stream: Any = None) -> None:
    """Send every log line to a stream, standard error by default."""
    eliot.to_file(stream or sys.stderr)


class Log:
    """Write lines of one part of one instance."""

    def __init__(self, part: str, instance: str) -> None:
        """Keep the prefix."""
        self.part = part
        self.instance = instance

    def info(self, text: str, **fields: object) -> None:
        """Write one short sentence."""
        eliot.log_message(
            message_type=f"{self.part}: {text}", instance=self.instance, **fields
        )

    def refusal(self, request_id: str, refusal: Refusal) -> None:
        """Write a refusal that an operator may be asked about."""
        self.info(
            "A request was refused.",
            request_id=request_id,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
        )

    def fault(self, request_id: str, error: BaseException) -> None:
        """Write an unexpected exception with where it came from."""
        frames = traceback.extract_tb(error.__traceback__)
        where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        self.info(
            "A request failed unexpectedly.",
            request_id=request_id,
            error=f"{type(error).__name__}: {error}",
            where=where,
        )
