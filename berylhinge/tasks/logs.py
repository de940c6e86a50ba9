"""Write structured log lines with a fixed prefix for each part."""

from __future__ import annotations

import os
import sys
import traceback
from collections import deque
from typing import Any, TYPE_CHECKING

import eliot
import gevent
import orjson
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

from ..log_lines import UNEXPECTED_ERROR_TEXT

if TYPE_CHECKING:
    from ..errors import Refusal

# Lines that are queued for a slow reader; further ones are dropped and counted.
MAX_QUEUED_LINES = 2_000
# Lines of one message type per second; the rest are dropped and counted.
MAX_LINES_PER_TYPE = 50
COUNT_PERIOD_SECONDS = 1.0


class BoundedLog:
    """Write log lines without ever blocking, and count the dropped ones."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking and start writing in the background."""
        make_nonblocking(descriptor)
        self.descriptor = descriptor
        self.queued_lines: deque[bytes] = deque()
        self.lines_available = Event()
        self.counts_by_type: dict[str, int] = {}
        self.dropped_count = 0
        self.writer_greenlet = gevent.spawn(self.write_forever)
        self.counter_greenlet = gevent.spawn(self.reset_counts_forever)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Queue one line, or drop it beyond the limits."""
        message_type = message.get("message_type", "")
        count = self.counts_by_type[message_type] = (
            self.counts_by_type.get(message_type, 0) + 1
        )
        if count > MAX_LINES_PER_TYPE or len(self.queued_lines) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        self.queued_lines.append(orjson.dumps(message, default=str) + b"\n")
        self.lines_available.set()

    def write_forever(self) -> None:
        """Write queued lines as fast as the reader accepts them."""
        while True:
            self.lines_available.wait()
            self.lines_available.clear()
            while self.queued_lines:
                data = self.queued_lines.popleft()
                while data:
                    data = data[self.write_available(data) :]

    def write_available(self, data: bytes) -> int:
        """Write what the pipe accepts; without a reader count all as written."""
        try:
            return int(nb_write(self.descriptor, data))
        except BrokenPipeError:
            return len(data)

    def reset_counts_forever(self) -> None:
        """Reset the counts each second and log how many lines were dropped."""
        while True:
            gevent.sleep(COUNT_PERIOD_SECONDS)
            self.counts_by_type.clear()
            if self.dropped_count:
                dropped, self.dropped_count = self.dropped_count, 0
                eliot.log_message(
                    message_type="log: Lines were dropped.", lines=dropped
                )

    def flush(self) -> None:
        """Write the queued lines that the pipe accepts at once."""
        while self.queued_lines:
            try:
                os.write(self.descriptor, self.queued_lines.popleft())
            except OSError:
                return


def start_bounded_logging(descriptor: int) -> BoundedLog:
    """Send every log line to a descriptor that may have no reader."""
    log = BoundedLog(descriptor)
    eliot.add_destinations(log.enqueue)
    return log


def start_logging(stream: Any = None) -> None:
    """Send every log line to a stream, standard error by default."""
    eliot.to_file(stream or sys.stderr)


class Log:
    """Write the log lines of one part of one instance."""

    def __init__(self, part: str, instance: str) -> None:
        """Set the part, which is the prefix of each line, and the instance."""
        self.part = part
        self.instance = instance

    def info(self, text: str, **fields: object) -> None:
        """Write one line with a short sentence and its fields."""
        eliot.log_message(
            message_type=f"{self.part}: {text}", instance=self.instance, **fields
        )

    def refusal(self, request_id: str, refusal: Refusal) -> None:
        """Write a refused request, which a caller may ask an operator about."""
        self.info(
            "A request was refused.",
            request_id=request_id,
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
        )

    def fault(self, request_id: str, error: BaseException) -> None:
        """Write an unexpected exception with the file and line that raised it."""
        frames = traceback.extract_tb(error.__traceback__)
        where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        self.info(
            UNEXPECTED_ERROR_TEXT,
            request_id=request_id,
            error=f"{type(error).__name__}: {error}",
            where=where,
        )
