"""Parse and validate the JSON settings of one instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeAlias

import msgspec
from returns.result import Failure, Result

from .core.document_reader import convert_document, parse_json, TextFormat
from .core.secret_value import SecretValue
from .core.text_formats import (
    Identifier,
    ListenAddress,
    parse_base64,
    PositiveInteger,
    PositiveNumber,
    SocketAddress,
)
from .errors import DocumentError, FieldError
from .types import JsonValue

PEER_SECRET_MIN_BYTES = 32


def parse_secret(text: str) -> SecretValue[bytes]:
    """Decode a peer secret; raise ValueError if it is no base64 or too short."""
    secret = parse_base64(text)
    if len(secret) < PEER_SECRET_MIN_BYTES:
        raise ValueError("too short")
    return SecretValue(secret)


def parse_path(text: str) -> str:
    """Check that a text can name a file; raise ValueError if it can't."""
    if not text or "\0" in text:
        raise ValueError(text)
    return text


PeerSecret: TypeAlias = Annotated[
    str,
    TextFormat(
        f"base64 of at least {PEER_SECRET_MIN_BYTES} bytes",
        parse_secret,
        "write the output of: openssl rand -base64 32",
        concealed=True,
    ),
]
FilePath: TypeAlias = Annotated[
    str, TextFormat("a file path", parse_path, "name an existing file")
]


class TlsSettings(NamedTuple):
    """Name the certificate files; without them the listener serves plain HTTP."""

    callers_certificate: Annotated[
        FilePath | None,
        msgspec.Meta(description="PEM certificate chain of the callers' listener"),
    ] = None
    callers_key: Annotated[
        FilePath | None,
        msgspec.Meta(description="PEM private key of the callers' listener"),
    ] = None
    upstream_ca: Annotated[
        FilePath | None,
        msgspec.Meta(description="PEM authorities that sign upstreams' certificates"),
    ] = None


class LimitSettings(NamedTuple):
    """Limit the resources that callers can take from the instance."""

    body_bytes: Annotated[
        PositiveInteger, msgspec.Meta(description="largest request body, bytes")
    ] = 1_000_000
    body_seconds: Annotated[
        PositiveNumber,
        msgspec.Meta(description="longest wait for a whole request body, s"),
    ] = 10.0
    queue: Annotated[
        PositiveInteger,
        msgspec.Meta(description="most statements waiting for one group"),
    ] = 1_000
    statement_seconds: Annotated[
        PositiveNumber,
        msgspec.Meta(description="timeout of a statement that names none, s"),
    ] = 5.0
    statement_limit_seconds: Annotated[
        PositiveNumber, msgspec.Meta(description="longest timeout a caller may ask, s")
    ] = 60.0
    transaction_seconds: Annotated[
        PositiveNumber,
        msgspec.Meta(description="longest life of a transaction, s"),
    ] = 60.0
    idle_seconds: Annotated[
        PositiveNumber,
        msgspec.Meta(description="idle time before a caller is closed, s"),
    ] = 300.0
    connect_seconds: Annotated[
        PositiveNumber, msgspec.Meta(description="timeout of opening a connection, s")
    ] = 1.0
    store_seconds: Annotated[
        PositiveNumber,
        msgspec.Meta(description="timeout of one call to the platform, s"),
    ] = 1.0
    drain_seconds: Annotated[
        PositiveNumber, msgspec.Meta(description="longest wait at a planned stop, s")
    ] = 30.0
    connections: Annotated[
        PositiveInteger, msgspec.Meta(description="most callers connected at once")
    ] = 20_000


class Settings(NamedTuple):
    """Describe the settings of one instance."""

    instance: Annotated[
        Identifier, msgspec.Meta(description="the instance's unique identifier")
    ]
    place: Annotated[
        Identifier, msgspec.Meta(description="the failure domain it runs in")
    ]
    callers: Annotated[
        ListenAddress, msgspec.Meta(description="where callers' requests are accepted")
    ]
    operators: Annotated[
        ListenAddress,
        msgspec.Meta(description="where health, metrics and status are read"),
    ]
    peers: Annotated[
        ListenAddress,
        msgspec.Meta(description="where other instances connect, by TCP and by UDP"),
    ]
    platform: Annotated[
        tuple[SocketAddress, ...],
        msgspec.Meta(
            min_length=1, description="the platform's addresses, tried in turn"
        ),
    ]
    peer_secrets: Annotated[
        tuple[PeerSecret, ...],
        msgspec.Meta(
            min_length=1,
            max_length=2,
            description="shared secrets of the instances: the first signs, all verify",
        ),
    ]
    region: Annotated[
        Identifier, msgspec.Meta(description="the region that holds the place")
    ] = "default"
    advertised_callers: Annotated[
        SocketAddress | None,
        msgspec.Meta(description="address others use for callers; none: as listened"),
    ] = None
    advertised_operators: Annotated[
        SocketAddress | None,
        msgspec.Meta(description="address others use for status; none: as listened"),
    ] = None
    advertised_peers: Annotated[
        SocketAddress | None,
        msgspec.Meta(description="address other instances use; none: as listened"),
    ] = None
    serving_instances: Annotated[
        PositiveInteger, msgspec.Meta(description="instances that serve each group")
    ] = 3
    tls: Annotated[TlsSettings, msgspec.Meta(description="certificate files")] = (
        TlsSettings()
    )
    limits: Annotated[
        LimitSettings, msgspec.Meta(description="bounds on what a caller can cost")
    ] = LimitSettings()


def reveal_secrets(settings: Settings) -> tuple[bytes, ...]:
    """Return the peer secrets in plain form, the signing secret first."""
    concealed: tuple[Any, ...] = settings.peer_secrets
    return tuple(secret.reveal() for secret in concealed)


def convert_settings(value: JsonValue) -> Result[Settings, tuple[FieldError, ...]]:
    """Convert a JSON value to settings, or return every invalid field."""
    result = convert_document(value, Settings)
    if isinstance(result, Failure):
        return result
    errors = check_related_fields(result.unwrap())
    return Failure(errors) if errors else result


def check_related_fields(settings: Settings) -> tuple[FieldError, ...]:
    """Return an error for each pair of fields that contradict each other."""
    errors = []
    tls = settings.tls
    if (tls.callers_certificate is None) != (tls.callers_key is None):
        path = "$.tls"
        expected = "callers_certificate and callers_key together"
        remedy = "name both files or neither"
        errors.append(FieldError(path, "one of the two", expected, remedy))
    limits = settings.limits
    if limits.statement_seconds > limits.statement_limit_seconds:
        path = "$.limits.statement_seconds"
        got = str(limits.statement_seconds)
        expected = f"at most {limits.statement_limit_seconds}"
        remedy = "lower it or raise statement_limit_seconds"
        errors.append(FieldError(path, got, expected, remedy))
    return tuple(errors)


def parse_settings(text: bytes | str) -> Settings:
    """Parse settings from JSON text; raise DocumentError with every invalid field."""
    result = parse_json(text).bind(convert_settings)
    if isinstance(result, Failure):
        raise DocumentError(result.failure())
    return result.unwrap()


def load_settings(path: str) -> Settings:
    """Read settings from a file; raise DocumentError if it is unreadable or invalid."""
    return parse_settings(read_settings_file(path))


def read_settings_file(path: str) -> bytes:
    """Return the content of a JSON file; raise DocumentError if it is unreadable."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        got = error.strerror or type(error).__name__
        remedy = "name an existing JSON file"
        field = FieldError(path, got, "a readable file", remedy)
        raise DocumentError((field,)) from error
