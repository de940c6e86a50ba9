"""Load certificates for callers and upstreams, and reload them while serving."""

from __future__ import annotations

import os
import ssl
from collections.abc import Callable
from typing import NamedTuple, TYPE_CHECKING

import gevent
import gevent.ssl

from ..errors import DocumentError, FieldError

if TYPE_CHECKING:
    from ..settings import TlsSettings

RELOAD_POLL_SECONDS = 5.0
CERTIFICATE_FIELD = "$.tls.callers_certificate"
KEY_FIELD = "$.tls.callers_key"
CA_FIELD = "$.tls.upstream_ca"


class FileVersion(NamedTuple):
    """Identify one version of a file, to detect that it was replaced or changed."""

    path: str
    modified_ns: int
    size: int
    inode: int


def load_callers_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Load the TLS context for callers, none without files; raise DocumentError."""
    if tls.callers_certificate is None:
        return None
    context = new_server_context()
    errors = load_callers_chain(context, tls)
    if errors:
        raise DocumentError(errors)
    return context


def load_upstream_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Load the context that trusts the upstreams' authorities; raise DocumentError.

    Upstreams are addressed by IP number, so host names are not checked and the
    certificate authority alone authenticates them.
    """
    if tls.upstream_ca is None:
        return None
    context: ssl.SSLContext = gevent.ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    try:
        context.load_verify_locations(cafile=tls.upstream_ca)
    except (OSError, ValueError) as error:
        field = make_file_error(CA_FIELD, tls.upstream_ca, error, "PEM certificates")
        raise DocumentError((field,)) from error
    return context


def new_server_context() -> ssl.SSLContext:
    """Return a listener's context, still without a certificate."""
    context: ssl.SSLContext = gevent.ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def load_callers_chain(
    context: ssl.SSLContext, tls: TlsSettings
) -> tuple[FieldError, ...]:
    """Load the callers' certificate and key; return the errors that prevent it."""
    certificate, key = tls.callers_certificate, tls.callers_key
    if certificate is None or key is None:
        remedy = "name both files or neither"
        return (FieldError("$.tls", "one file", "certificate and key", remedy),)
    unreadable = [
        make_file_error(field, path, error, "a readable file")
        for field, path in ((CERTIFICATE_FIELD, certificate), (KEY_FIELD, key))
        if (error := find_read_error(path)) is not None
    ]
    if unreadable:
        return tuple(unreadable)
    try:
        # Without a password callback OpenSSL would prompt on the terminal.
        context.load_cert_chain(certificate, key, password=lambda: b"")
    except (OSError, ValueError) as error:
        expected = f"a PEM chain and the unencrypted key {key} that matches it"
        return (make_file_error(CERTIFICATE_FIELD, certificate, error, expected),)
    return ()


def find_read_error(path: str) -> OSError | None:
    """Return why a file can't be read, none if it can."""
    try:
        with open(path, "rb"):
            return None
    except OSError as error:
        return error


def make_file_error(
    field_path: str, file: str, error: Exception, expected: str
) -> FieldError:
    """Describe a file that can't be used."""
    reason = getattr(error, "reason", None) or getattr(error, "strerror", None)
    got = f"{file}: {reason or error}"
    return FieldError(field_path, got, expected, "correct the file or its name")


def reload_callers_chain(
    context: ssl.SSLContext, tls: TlsSettings
) -> tuple[FieldError, ...]:
    """Load changed files for new connections; keep the old ones if invalid."""
    # A failed load may leave the context half changed: try it on a new one first.
    errors = load_callers_chain(new_server_context(), tls)
    return errors or load_callers_chain(context, tls)


def read_file_versions(tls: TlsSettings) -> tuple[FileVersion | None, ...]:
    """Return the versions of the callers' files, none for a missing one."""
    return tuple(map(read_file_version, (tls.callers_certificate, tls.callers_key)))


def read_file_version(path: str | None) -> FileVersion | None:
    """Return a file's version, none if it is missing."""
    try:
        info = os.stat(path or "")
    except OSError:
        return None
    return FileVersion(path or "", info.st_mtime_ns, info.st_size, info.st_ino)


class TlsReloader:
    """Reload the callers' certificate and key when their files change."""

    def __init__(
        self,
        context: ssl.SSLContext,
        tls: TlsSettings,
        *,
        on_reload: Callable[[tuple[FieldError, ...]], None],
        poll_seconds: float = RELOAD_POLL_SECONDS,
    ) -> None:
        """Record the files' current versions as the loaded ones."""
        self.context = context
        self.tls = tls
        self.on_reload = on_reload
        self.poll_seconds = poll_seconds
        self.loaded_versions = read_file_versions(tls)
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start checking the files in the background."""
        self.greenlet = gevent.spawn(self.poll_forever)

    def stop(self) -> None:
        """Stop checking the files."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def poll_forever(self) -> None:
        """Check the files every ``poll_seconds`` until killed."""
        while True:
            gevent.sleep(self.poll_seconds)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reload the files if they changed, and report the errors."""
        current = read_file_versions(self.tls)
        if current == self.loaded_versions:
            return
        self.loaded_versions = current
        self.on_reload(reload_callers_chain(self.context, self.tls))
