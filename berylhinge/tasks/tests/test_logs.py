from __future__ import annotations

import os
from collections.abc import Iterator

import gevent
import orjson
import pytest

from ..logs import BoundedLog, MAX_LINES_PER_TYPE, MAX_QUEUED_LINES


@pytest.fixture
def pipe() -> Iterator[tuple[int, BoundedLog]]:
    reader, writer = os.pipe()
    log = BoundedLog(writer)
    yield reader, log
    gevent.killall([log.writer_greenlet, log.counter_greenlet])
    os.close(reader)
    os.close(writer)


def test_unread_pipe_does_not_block_writers(pipe: tuple[int, BoundedLog]) -> None:
    _, log = pipe
    with gevent.Timeout(5.0):
        for number in range(MAX_QUEUED_LINES * 4):
            log.enqueue({"message_type": f"kind {number}", "text": "x" * 100})
            if number % 100 == 0:
                gevent.sleep(0)
    assert len(log.queued_lines) <= MAX_QUEUED_LINES
    assert log.dropped_count > 0


def test_lines_are_written_completely(pipe: tuple[int, BoundedLog]) -> None:
    reader, log = pipe
    log.enqueue({"message_type": "one", "request_id": "5c"})
    gevent.sleep(0.05)
    assert orjson.loads(os.read(reader, 10_000)) == {
        "message_type": "one",
        "request_id": "5c",
    }


def test_frequent_message_type_leaves_room_for_others(
    pipe: tuple[int, BoundedLog],
) -> None:
    _, log = pipe
    for _ in range(MAX_LINES_PER_TYPE * 3):
        log.enqueue({"message_type": "many"})
    log.enqueue({"message_type": "rare"})
    assert log.dropped_count == MAX_LINES_PER_TYPE * 2
    assert b"rare" in log.queued_lines[-1]
