"""Tell for which services organisations compete for slots and connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...core.pooler.catalogue import NO_DECLARATIONS, scarce_services

if TYPE_CHECKING:
    from ...core.pooler.catalogue import Declarations


class SlotSharing:
    """Keep which services have too few connections for the declared organisations."""

    def __init__(self, *, is_agreed: bool) -> None:
        """Share the slots of all services if the deployment agreed on it."""
        self.is_agreed = is_agreed
        self.version = NO_DECLARATIONS.version
        self.services: frozenset[str] = frozenset()

    def applies_to(self, service: str, declarations: Declarations) -> bool:
        """Return whether the slots of a service are shared by organisation."""
        return self.is_agreed or self.has_scarce_connections(service, declarations)

    def has_scarce_connections(self, service: str, declarations: Declarations) -> bool:
        """Return whether a service has fewer connections than there are organisations."""
        if declarations.version != self.version:
            self.version = declarations.version
            self.services = scarce_services(declarations)
        return service in self.services
