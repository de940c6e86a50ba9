from __future__ import annotations

from types import SimpleNamespace

import pytest

from ..transactions import OpenTransaction


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
