"""Read and check one pooler instance's JSON settings."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import msgspec

from ...errors import DocumentError, FieldError
from ...types import InstanceId, PlaceId
from ..http import Address, parse_address

ADDRESSES = ("callers", "readiness", "peers", "metrics", "store", "promotions")


class SettingsDocument(NamedTuple):
    """Hold the settings as they are written; addresses are IP:PORT."""

    instance: InstanceId
    place: PlaceId
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    promotions: str
    first_start: bool = False
    grace_seconds: float = 6.0
    leaving_ms: float = 7000.0
    revocation_ms: float = 5000.0
    rate_window_seconds: float = 5.0
    rate_excess_part: float = 0.0
    rate_excess_operations: float = 0.0


class PoolerSettings(NamedTuple):
    """Hold one instance's settings.

    A leaving database takes new work for ``leaving_ms`` at most; a withdrawn key must
    not work for longer than ``revocation_ms``. In a window, an organisation may exceed
    its rate by a part of it and a number of operations.
    """

    instance: InstanceId
    place: PlaceId
    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    store: Address
    promotions: Address
    first_start: bool
    grace_seconds: float
    leaving_ms: float
    revocation_ms: float
    rate_window_seconds: float
    rate_excess_part: float
    rate_excess_operations: float


def load_pooler_settings(path: str) -> PoolerSettings:
    """Read a settings file; raise DocumentError that names the bad fields."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise bad_field("$", str(error), "a readable file", "name one") from error
    try:
        fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        known = {
            name: msgspec.json.decode(raw)
            for name, raw in fields.items()
            if name in SettingsDocument._fields
        }
        required = [name for name in SettingsDocument._fields if name not in known]
        missing = [
            name for name in required if name not in SettingsDocument._field_defaults
        ]
        if missing:
            remedy = "add the field"
            raise bad_field(f"$.{missing[0]}", "nothing", "a value", remedy)
        values = {**SettingsDocument._field_defaults, **known}
        ordered = [values[name] for name in SettingsDocument._fields]
        document = msgspec.convert(ordered, SettingsDocument)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise bad_field(
            "$", str(error), "the documented fields", "correct it"
        ) from error
    return to_settings(document)


def to_settings(document: SettingsDocument) -> PoolerSettings:
    """Return checked settings; raise DocumentError for a bad address."""
    values = document._asdict()
    for name in ADDRESSES:
        try:
            values[name] = parse_address(values[name])
        except ValueError as error:
            raise bad_field(
                f"$.{name}", repr(values[name]), "IP:PORT", "correct the address"
            ) from error
    return PoolerSettings(**values)


def bad_field(path: str, got: str, expected: str, remedy: str) -> DocumentError:
    """Return the error that names one field."""
    return DocumentError((FieldError(path, got, expected, remedy),))
