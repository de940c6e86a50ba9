"""Define the text formats and bounded numbers that document types share."""

from __future__ import annotations

import base64
import binascii
import ipaddress
import re
from typing import Annotated, TypeAlias

import msgspec

from .document_reader import TextFormat

IDENTIFIER_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")
PORT_LIMIT = 65_535


def parse_identifier(text: str) -> str:
    """Check an identifier: 1 to 63 letters, digits and inner ``.``, ``_`` or ``-``."""
    if not IDENTIFIER_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def parse_listen_address(text: str) -> str:
    """Check an address of the form IP:PORT whose port may be 0."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and int(port) <= PORT_LIMIT):
        raise ValueError(text)
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    return text


def parse_socket_address(text: str) -> str:
    """Check an address of the form IP:PORT whose port is not 0."""
    listener = parse_listen_address(text)
    if int(listener.rpartition(":")[2]) == 0:
        raise ValueError(text)
    return listener


def parse_base64(text: str) -> bytes:
    """Decode standard base64; raise ValueError for any other text."""
    try:
        return base64.b64decode(text.encode("ascii"), validate=True)
    except (UnicodeEncodeError, binascii.Error) as error:
        raise ValueError("not base64") from error


def check_base64(text: str) -> str:
    """Check that a text is standard base64 and return it unchanged."""
    parse_base64(text)
    return text


Identifier: TypeAlias = Annotated[
    str,
    TextFormat(
        "1 to 63 letters, digits and inner . _ -",
        parse_identifier,
        "choose a name of this form",
    ),
]
SocketAddress: TypeAlias = Annotated[
    str,
    TextFormat(
        "IP:PORT",
        parse_socket_address,
        "write an IP address and a port from 1 to 65535",
    ),
]
ListenAddress: TypeAlias = Annotated[
    str,
    TextFormat(
        "IP:PORT",
        parse_listen_address,
        "write an IP address and a port; port 0 selects a free one",
    ),
]
Base64Text: TypeAlias = Annotated[
    str,
    TextFormat("base64", check_base64, "let berylhingectl write it", concealed=True),
]
PositiveNumber: TypeAlias = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeNumber: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
PositiveInteger: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]
