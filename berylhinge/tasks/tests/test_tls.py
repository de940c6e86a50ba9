from __future__ import annotations

import shutil
import ssl
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

from ...errors import DocumentError
from ...settings import TlsSettings
from ..http import Address, respond, server_address, start_server
from ..tls import callers_context, TlsReloader, upstream_context

CERTIFICATES = Path(__file__).parent / "certificates"


class Files:
    """Hold the certificate files of one test."""

    def __init__(self, folder: Path) -> None:
        self.certificate = folder / "callers.pem"
        self.key = folder / "callers.key"

    def copy(self, certificate: str, key: str) -> None:
        shutil.copy(CERTIFICATES / certificate, self.certificate)
        shutil.copy(CERTIFICATES / key, self.key)

    def tls(self) -> TlsSettings:
        return TlsSettings(str(self.certificate), str(self.key))


@pytest.fixture
def files(tmp_path: Path) -> Files:
    found = Files(tmp_path)
    found.copy("first.pem", "first.key")
    return found


class Listener:
    """Serve over TLS and note each reload."""

    def __init__(self, files: Files) -> None:
        context = callers_context(files.tls())
        assert context is not None
        self.reloads: list[Any] = []
        self.reloader = TlsReloader(context, files.tls(), on_reload=self.reloads.append)
        self.server = start_server(
            Address("127.0.0.1", 0), self.answer, ssl_context=context
        )
        self.address = server_address(self.server)

    def answer(self, environ: Any, start_response: Any) -> list[bytes]:
        return respond(start_response, 200, b"{}")

    def connect(self, authority: str) -> Any:
        trust = upstream_context(TlsSettings(upstream_ca=str(CERTIFICATES / authority)))
        assert trust is not None
        plain = socket.create_connection(self.address, timeout=2.0)
        return trust.wrap_socket(plain, server_hostname=None)


@pytest.fixture
def listener(files: Files) -> Iterator[Listener]:
    found = Listener(files)
    yield found
    found.server.stop()


def ask(connection: Any) -> bytes:
    connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    answer = b""
    while not answer.endswith(b"{}"):
        answer += connection.recv(1_000)
    return answer[:12]


def test_without_files_there_is_no_context() -> None:
    assert callers_context(TlsSettings()) is None
    assert upstream_context(TlsSettings()) is None


def test_a_listener_is_proven_by_its_authority(listener: Listener) -> None:
    assert ask(listener.connect("first.pem")) == b"HTTP/1.1 200"
    with pytest.raises(ssl.SSLError):
        listener.connect("second.pem")


def test_reload_serves_new_files_and_keeps_callers(
    files: Files, listener: Listener
) -> None:
    connected = listener.connect("first.pem")
    assert ask(connected) == b"HTTP/1.1 200"
    files.copy("second.pem", "second.key")
    listener.reloader.look()
    assert listener.reloads == [()]
    assert ask(listener.connect("second.pem")) == b"HTTP/1.1 200"
    assert ask(connected) == b"HTTP/1.1 200"
    listener.reloader.look()
    assert listener.reloads == [()]


BAD_FILES = [
    ("first.pem", "second.key", "$.tls.callers_certificate"),
    ("first.key", "first.key", "$.tls.callers_certificate"),
    ("first.pem", "first.pem", "$.tls.callers_certificate"),
    ("first.pem", "encrypted.key", "$.tls.callers_certificate"),
]


@pytest.mark.parametrize(("certificate", "key", "path"), BAD_FILES)
def test_bad_files_end_the_start_with_a_clear_error(
    files: Files, certificate: str, key: str, path: str
) -> None:
    files.copy(certificate, key)
    with pytest.raises(DocumentError) as caught:
        callers_context(files.tls())
    (field,) = caught.value.fields
    assert field.path == path
    assert str(files.certificate) in field.got
    assert field.expected and field.remedy


@pytest.mark.parametrize(("certificate", "key", "path"), BAD_FILES)
def test_bad_files_leave_the_old_ones_in_use(
    files: Files, listener: Listener, certificate: str, key: str, path: str
) -> None:
    files.copy(certificate, key)
    listener.reloader.look()
    (errors,) = listener.reloads
    assert [field.path for field in errors] == [path]
    assert ask(listener.connect("first.pem")) == b"HTTP/1.1 200"


@pytest.mark.parametrize(
    ("name", "path"),
    [("certificate", "$.tls.callers_certificate"), ("key", "$.tls.callers_key")],
)
def test_missing_files_are_named(files: Files, name: str, path: str) -> None:
    getattr(files, name).unlink()
    with pytest.raises(DocumentError) as caught:
        callers_context(files.tls())
    assert [field.path for field in caught.value.fields] == [path]


@pytest.mark.parametrize("name", ["missing.pem", "first.key"])
def test_bad_authorities_are_named(name: str) -> None:
    with pytest.raises(DocumentError) as caught:
        upstream_context(TlsSettings(upstream_ca=str(CERTIFICATES / name)))
    assert caught.value.fields[0].path == "$.tls.upstream_ca"


def test_files_are_watched(files: Files, listener: Listener) -> None:
    listener.reloader.poll_seconds = 0.01
    listener.reloader.start()
    files.copy("second.pem", "second.key")
    with gevent.Timeout(5.0):
        while not listener.reloads:
            gevent.sleep(0.01)
    listener.reloader.stop()
    assert listener.reloads[-1] == ()
