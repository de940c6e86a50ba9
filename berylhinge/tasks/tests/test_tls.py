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
from ..http_server import Address, respond, server_address, start_server
from ..tls import load_callers_context, load_upstream_context, TlsReloader

CERTIFICATES = Path(__file__).parent / "certificates"


class CallerFiles:
    """Own the certificate and key files of one test."""

    def __init__(self, folder: Path) -> None:
        self.certificate = folder / "callers.pem"
        self.key = folder / "callers.key"

    def copy(self, certificate: str, key: str) -> None:
        shutil.copy(CERTIFICATES / certificate, self.certificate)
        shutil.copy(CERTIFICATES / key, self.key)

    def tls(self) -> TlsSettings:
        return TlsSettings(str(self.certificate), str(self.key))


@pytest.fixture
def files(tmp_path: Path) -> CallerFiles:
    caller_files = CallerFiles(tmp_path)
    caller_files.copy("first.pem", "first.key")
    return caller_files


class Listener:
    """Serve over TLS and record the errors of each reload."""

    def __init__(self, files: CallerFiles) -> None:
        context = load_callers_context(files.tls())
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
        client_context = load_upstream_context(
            TlsSettings(upstream_ca=str(CERTIFICATES / authority))
        )
        assert client_context is not None
        plain_socket = socket.create_connection(self.address, timeout=2.0)
        return client_context.wrap_socket(plain_socket, server_hostname=None)


@pytest.fixture
def listener(files: CallerFiles) -> Iterator[Listener]:
    tls_listener = Listener(files)
    yield tls_listener
    tls_listener.server.stop()


def request_status_line(connection: Any) -> bytes:
    connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    answer = b""
    while not answer.endswith(b"{}"):
        answer += connection.recv(1_000)
    return answer[:12]


def test_no_context_without_files() -> None:
    assert load_callers_context(TlsSettings()) is None
    assert load_upstream_context(TlsSettings()) is None


def test_client_accepts_only_the_listeners_authority(listener: Listener) -> None:
    assert request_status_line(listener.connect("first.pem")) == b"HTTP/1.1 200"
    with pytest.raises(ssl.SSLError):
        listener.connect("second.pem")


def test_reload_uses_new_files_and_keeps_open_connections(
    files: CallerFiles, listener: Listener
) -> None:
    connected = listener.connect("first.pem")
    assert request_status_line(connected) == b"HTTP/1.1 200"
    files.copy("second.pem", "second.key")
    listener.reloader.reload_if_changed()
    assert listener.reloads == [()]
    assert request_status_line(listener.connect("second.pem")) == b"HTTP/1.1 200"
    assert request_status_line(connected) == b"HTTP/1.1 200"
    listener.reloader.reload_if_changed()
    assert listener.reloads == [()]


INVALID_FILES = [
    ("first.pem", "second.key", "$.tls.callers_certificate"),
    ("first.key", "first.key", "$.tls.callers_certificate"),
    ("first.pem", "first.pem", "$.tls.callers_certificate"),
    ("first.pem", "encrypted.key", "$.tls.callers_certificate"),
]


@pytest.mark.parametrize(("certificate", "key", "path"), INVALID_FILES)
def test_invalid_files_raise_a_document_error(
    files: CallerFiles, certificate: str, key: str, path: str
) -> None:
    files.copy(certificate, key)
    with pytest.raises(DocumentError) as caught:
        load_callers_context(files.tls())
    (field,) = caught.value.fields
    assert field.path == path
    assert str(files.certificate) in field.got
    assert field.expected and field.remedy


@pytest.mark.parametrize(("certificate", "key", "path"), INVALID_FILES)
def test_invalid_files_keep_the_old_ones_in_use(
    files: CallerFiles, listener: Listener, certificate: str, key: str, path: str
) -> None:
    files.copy(certificate, key)
    listener.reloader.reload_if_changed()
    (errors,) = listener.reloads
    assert [field.path for field in errors] == [path]
    assert request_status_line(listener.connect("first.pem")) == b"HTTP/1.1 200"


@pytest.mark.parametrize(
    ("name", "path"),
    [("certificate", "$.tls.callers_certificate"), ("key", "$.tls.callers_key")],
)
def test_error_names_the_missing_file(files: CallerFiles, name: str, path: str) -> None:
    getattr(files, name).unlink()
    with pytest.raises(DocumentError) as caught:
        load_callers_context(files.tls())
    assert [field.path for field in caught.value.fields] == [path]


@pytest.mark.parametrize("name", ["missing.pem", "first.key"])
def test_error_names_the_authority_field(name: str) -> None:
    with pytest.raises(DocumentError) as caught:
        load_upstream_context(TlsSettings(upstream_ca=str(CERTIFICATES / name)))
    assert caught.value.fields[0].path == "$.tls.upstream_ca"


def test_changed_files_are_reloaded_in_the_background(
    files: CallerFiles, listener: Listener
) -> None:
    listener.reloader.poll_seconds = 0.01
    listener.reloader.start()
    files.copy("second.pem", "second.key")
    with gevent.Timeout(5.0):
        while not listener.reloads:
            gevent.sleep(0.01)
    listener.reloader.stop()
    assert listener.reloads[-1] == ()
