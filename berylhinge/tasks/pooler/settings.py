"""Read and check one pooler instance's JSON settings."""

from __future__ import annotations

from typing import Annotated, NamedTuple, TYPE_CHECKING, TypeAlias

import msgspec
from returns.result import Failure, Result

from ...core.document_reader import convert_document, parse_json, TextFormat
from ...errors import DocumentError, FieldError
from ...settings import read_settings_file
from ...types import FailureDomainId, InstanceId, JsonValue, RegionId
from ..http_server import Address, parse_address

if TYPE_CHECKING:
    from collections.abc import Mapping

AddressText: TypeAlias = Annotated[
    str, TextFormat("IP:PORT", parse_address, "correct the address")
]
PositiveNumber: TypeAlias = Annotated[float, msgspec.Meta(gt=0)]


class SettingsDocument(NamedTuple):
    """Describe the settings file; addresses are IP:PORT."""

    instance: str
    place: str
    callers: AddressText
    readiness: AddressText
    peers: AddressText
    metrics: AddressText
    store: AddressText
    promotions: AddressText
    first_start: bool = False
    grace_seconds: float = 6.0
    leaving_ms: float = 7000.0
    revocation_ms: float = 5000.0
    rate_window_seconds: float = 5.0
    rate_excess_part: float = 0.0
    rate_excess_operations: float = 0.0
    promotions_fenced: bool = True
    agreed_terms: tuple[str, ...] = ()
    processor_cores: PositiveNumber = 1.0
    bandwidth_mbps: PositiveNumber = 1000.0
    evacuation_ms: float = 0.0
    cold_excess_factor: float = 1.0
    cold_excess_requests: float = 0.0
    regions: dict[str, str] | None = None


class PoolerSettings(NamedTuple):
    """Describe one instance's checked settings.

    A leaving database accepts new work for ``leaving_ms`` at most; a withdrawn key must
    not be accepted for longer than ``revocation_ms``. Within ``rate_window_seconds`` an
    organisation may exceed its rate by the fraction ``rate_excess_part`` and by
    ``rate_excess_operations``. ``promotions_fenced`` tells whether the platform refuses
    outdated promoters and stops a deposed primary. ``agreed_terms`` switch features on
    (``platform/terms``). ``evacuation_ms`` is 0 where no evacuation is in force; a cold
    database may exceed its limit by the factor and by the requests given here.
    ``regions`` are those of the failure domains.
    """

    instance: InstanceId
    place: FailureDomainId
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
    promotions_fenced: bool = True
    agreed_terms: tuple[str, ...] = ()
    processor_cores: float = 1.0
    bandwidth_mbps: float = 1000.0
    evacuation_ms: float = 0.0
    cold_excess_factor: float = 1.0
    cold_excess_requests: float = 0.0
    regions: Mapping[FailureDomainId, RegionId] | None = None


def load_pooler_settings(path: str) -> PoolerSettings:
    """Read a settings file; raise DocumentError that names the bad fields."""
    result = parse_json(read_settings_file(path)).bind(read_pooler_settings)
    if isinstance(result, Failure):
        raise DocumentError(result.failure())
    return result.unwrap()


def read_pooler_settings(
    value: JsonValue,
) -> Result[PoolerSettings, tuple[FieldError, ...]]:
    """Convert a JSON value to settings; ignore fields that the platform adds."""
    if isinstance(value, dict):
        known = SettingsDocument._fields
        value = {name: field for name, field in value.items() if name in known}
    return convert_document(value, SettingsDocument).map(
        lambda document: PoolerSettings(**document._asdict())
    )
