"""Define the parameter types that the programs share."""

from __future__ import annotations

import click

from ..tasks.http_server import Address, parse_address


class AddressType(click.ParamType):
    """Take IP:PORT; port 0 picks a free port where one listens."""

    name = "ip:port"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Parse an address or end with the misuse message."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS = AddressType()
