from __future__ import annotations

from types import SimpleNamespace

import pytest

from ..transactions import OpenTransaction, UNCLAIMED_SECONDS


class FakeConnection:
    def __init__(self) -> None:
        self.is_open = True

    def close(self) -> None:
        self.is_open = False


def open_transaction() -> tuple[OpenTransaction, FakeConnection, list]:
    connection = FakeConnection()
    given_back: list = []
    link = SimpleNamespace(data=SimpleNamespace(give_back=given_back.append))
    transaction = OpenTransaction(
        "instance.1",
        executor=None,
        link=link,
        connection=connection,
        target=None,
        organisation="acme",
        key="k",
        ends_at=0.0,
    )
    return transaction, connection, given_back


@pytest.mark.parametrize(
    ("calls", "is_open"),
    [
        (["release"], True),
        (["release", "abandon"], True),
        (["release", "release"], True),
        (["abandon"], False),
        (["abandon", "release"], False),
        (["abandon", "abandon"], False),
    ],
    ids=["given", "given-abandoned", "given-twice", "left", "left-given", "left-twice"],
)
def test_a_connection_is_given_back_once_and_never_closed_after(calls, is_open):
    transaction, connection, given_back = open_transaction()
    for call in calls:
        getattr(transaction, call)()
    assert given_back == [connection]
    assert connection.is_open is is_open


@pytest.mark.parametrize(
    ("seconds", "busy", "is_over"),
    [
        (0.0, False, False),
        (UNCLAIMED_SECONDS + 1, False, True),
        (UNCLAIMED_SECONDS + 1, True, False),
        (100.0, True, True),
    ],
    ids=["begun", "unclaimed", "running", "past its limit"],
)
def test_when_a_transaction_is_over(seconds, busy, is_over):
    transaction, _, _ = open_transaction()
    started_at = transaction.idle_until - UNCLAIMED_SECONDS
    transaction.ends_at = started_at + 60.0
    if busy:
        transaction.turn.acquire()
    assert transaction.is_over(started_at + seconds) is is_over
