from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from click.testing import CliRunner
from gevent import socket
from gevent.server import StreamServer

from ...cli.soak import draw_case, main, play
from ...platform.terms import FEATURE_TERMS
from ..cases import Case, read_case, write_case
from ..proxy import LoopbackProxy
from ..schedule import Fault

CASES = sorted((Path(__file__).parents[1] / "kept").glob("*.json"))


@pytest.fixture
def echo() -> Iterator[StreamServer]:
    def serve(sock: socket.socket, _address: object) -> None:
        while data := sock.recv(100):
            sock.sendall(data)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    yield server
    server.stop()


def answered(proxy: LoopbackProxy, seconds: float = 0.3) -> bytes:
    host, _, port = proxy.address.partition(":")
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        try:
            sock.sendall(b"hello")
            return bytes(sock.recv(100))
        except TimeoutError:
            return b"timeout"
        except OSError:
            return b""


@pytest.mark.parametrize(
    ("fault", "value", "expected"),
    [
        ("delay_seconds", 0.05, b"hello"),
        ("silent", True, b"timeout"),
        ("cut", True, b"timeout"),
        ("refusing", True, b""),
    ],
)
def test_a_proxy_harms_and_heals(
    echo: StreamServer, fault: str, value: object, expected: bytes
) -> None:
    proxy = LoopbackProxy("127.0.0.1", echo.server_port)
    setattr(proxy, fault, value)
    assert answered(proxy) == expected
    proxy.heal()
    assert answered(proxy) == b"hello"
    proxy.close()


def test_a_reset_breaks_open_connections(echo: StreamServer) -> None:
    proxy = LoopbackProxy("127.0.0.1", echo.server_port)
    host, _, port = proxy.address.partition(":")
    with socket.create_connection((host, int(port)), timeout=1.0) as sock:
        sock.sendall(b"hello")
        assert sock.recv(100) == b"hello"
        gevent.spawn_later(0.05, proxy.reset)
        assert sock.recv(100) == b""
    proxy.close()


def test_a_case_is_kept_whole(tmp_path: Path) -> None:
    case = Case(7, 5.0, 3, "a cause", (Fault("kill", "n1", 1.0, 0.5),), ("pool",))
    write_case(case, tmp_path / "case.json")
    assert read_case(tmp_path / "case.json") == case


@pytest.mark.parametrize("arguments", [["run", "--seconds", "1"], ["replay", "none"]])
def test_misuse_is_told(arguments: list[str]) -> None:
    assert CliRunner().invoke(main, arguments).exit_code == 2


@pytest.mark.parametrize(
    ("terms", "synchronous_replicas"), [((), 0), (FEATURE_TERMS, 0), ((), 1)]
)
def test_a_fresh_seed_keeps_every_promise(
    terms: tuple[str, ...], synchronous_replicas: int
) -> None:
    seed = random.SystemRandom().randrange(10**6)
    case = draw_case(seed, 8.0, 3, terms, synchronous_replicas)
    assert play(case, None), f"seed {seed}"


@pytest.mark.parametrize("path", CASES, ids=lambda path: path.stem)
def test_a_case_that_failed_once(path: Path) -> None:
    assert play(read_case(path), None)
