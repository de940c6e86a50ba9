from __future__ import annotations

from types import SimpleNamespace

import pytest

from ..transactions import OpenTransaction, UNCLAIMED_TIMEOUT_SECONDS


class FakeConnection:
    def __init__(self) -> None:
        self.is_open = True

    def close(self) -> None:
        self.is_open = False


def new_transaction() -> tuple[OpenTransaction, FakeConnection, list]:
    connection = FakeConnection()
    returned: list = []
    link = SimpleNamespace(data_pool=SimpleNamespace(release=returned.append))
    transaction = OpenTransaction(
        "instance.1",
        executor=None,
        link=link,
        connection=connection,
        primary=None,
        organisation="acme",
        key_id="k",
        expires_at=0.0,
    )
    return transaction, connection, returned


@pytest.mark.parametrize(
    ("calls", "is_open"),
    [
        (["release_connection"], True),
        (["release_connection", "abort"], True),
        (["release_connection", "release_connection"], True),
        (["abort"], False),
        (["abort", "release_connection"], False),
        (["abort", "abort"], False),
    ],
    ids=[
        "released",
        "released-abandoned",
        "released-twice",
        "abandoned",
        "abandoned-released",
        "abandoned-twice",
    ],
)
def test_a_connection_is_returned_once_and_not_closed_afterwards(calls, is_open):
    transaction, connection, returned = new_transaction()
    for call in calls:
        getattr(transaction, call)()
    assert returned == [connection]
    assert connection.is_open is is_open


@pytest.mark.parametrize(
    ("seconds", "busy", "is_over"),
    [
        (0.0, False, False),
        (UNCLAIMED_TIMEOUT_SECONDS + 1, False, True),
        (UNCLAIMED_TIMEOUT_SECONDS + 1, True, False),
        (100.0, True, True),
    ],
    ids=["begun", "unclaimed", "running", "past its limit"],
)
def test_a_transaction_expires_when_idle_or_past_its_limit(seconds, busy, is_over):
    transaction, _, _ = new_transaction()
    started_at = transaction.idle_deadline - UNCLAIMED_TIMEOUT_SECONDS
    transaction.expires_at = started_at + 60.0
    if busy:
        transaction.statement_lock.acquire()
    assert transaction.is_expired(started_at + seconds) is is_over
