"""Inject a scenario's faults through the stand-ins' fault ports."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from ..errors import BerylhingeError

if TYPE_CHECKING:
    from .fleet import FleetFile, UpstreamAddresses
    from .scenario import Fault

PORT_SECONDS = 5.0
CONTROLLER_SECONDS = 300.0
FAULTS_PATH = "/v1/faults"
EVERYONE = ["*"]


class FaultPortError(BerylhingeError):
    """Tell that a fault port did not do as ordered."""


class PrimarySeen(NamedTuple):
    """Name a group's primary and its term."""

    term: int
    addresses: UpstreamAddresses


def exchange(
    address: str,
    path: str,
    body: object | None = None,
    *,
    timeout_seconds: float = PORT_SECONDS,
) -> Any:
    """POST a body, or GET without one; raise FaultPortError."""
    base = address if address.startswith("http") else f"http://{address}"
    client = HTTPClient.from_url(
        base, connection_timeout=PORT_SECONDS, network_timeout=timeout_seconds
    )
    try:
        if body is None:
            response = client.request("GET", path)
        else:
            data = msgspec.json.encode(body)
            response = client.request("POST", path, data)
        answer = response.read()
        if response.status_code != 200:
            raise FaultPortError(
                f"{base}{path}: got {response.status_code}, expected 200; "
                f"check the stand-in: {answer[:200]!r}"
            )
        return msgspec.json.decode(answer) if answer else None
    except (OSError, HTTPParseError) as error:
        raise FaultPortError(
            f"{base}{path}: got {error!r}, expected an answer; check that it runs"
        ) from error
    finally:
        client.close()


class FaultPorts:
    """Carry out a scenario's faults against one fleet."""

    def __init__(self, fleet: FleetFile) -> None:
        """Know the fleet's ports."""
        self.fleet = fleet

    def act(self, fault: Fault) -> str:
        """Inject one fault and return what was struck."""
        action = fault["action"]
        if action == "cut-primary":
            return self.cut_primary(fault["target"])
        if action == "leave-primary":
            return self.leave_primary(fault["target"])
        if action == "heal-group":
            self.heal_group(fault["target"])
            return ""
        if action in ("platform-down", "platform-up"):
            self.set_platform(down=action == "platform-down")
            return ""
        return self.order(action)

    def find_primary(self, route: str) -> PrimarySeen:
        """Return the primary of the highest term; raise FaultPortError."""
        seen = []
        for addresses in self.fleet["routes"].get(route, []):
            status = exchange(addresses["control"], "/v1/status")
            if status["role"] == "primary":
                seen.append(PrimarySeen(status["term"], addresses))
        if not seen:
            raise FaultPortError(
                f"{route}: got no primary, expected one; wait until one is promoted"
            )
        return max(seen, key=lambda one: one.term)

    def cut_primary(self, route: str) -> str:
        """Partition the primary from everyone."""
        addresses = self.find_primary(route).addresses
        exchange(addresses["fault"], FAULTS_PATH, {"partition": EVERYONE})
        return addresses["upstream"]

    def leave_primary(self, route: str) -> str:
        """Mark the primary as leaving."""
        addresses = self.find_primary(route).addresses
        exchange(addresses["fault"], FAULTS_PATH, {"leaving": True})
        return addresses["upstream"]

    def heal_group(self, route: str) -> None:
        """Take every fault of a group back."""
        clear = {"partition": [], "down": False, "leaving": False}
        for addresses in self.fleet["routes"][route]:
            exchange(addresses["fault"], FAULTS_PATH, clear)

    def set_platform(self, *, down: bool) -> None:
        """Take the platform's service down or up."""
        address = self.fleet.get("platform_fault")
        if address is None:
            raise FaultPortError(
                "platform: got no fault port, expected platform_fault in the fleet file"
            )
        exchange(address, FAULTS_PATH, {"down": down})

    def order(self, action: str) -> str:
        """Have the launcher replace or kill instances; wait until it has."""
        controller = self.fleet.get("controller")
        if controller is None:
            raise FaultPortError(
                f"{action}: got no controller, expected one in the fleet file;"
                " start the fleet with benchmarks/fleet.py"
            )
        answer = exchange(
            controller,
            "/v1/actions",
            {"action": action},
            timeout_seconds=CONTROLLER_SECONDS,
        )
        return str(answer["note"])

    def heal(self) -> None:
        """Take every fault of the fleet back."""
        for route in self.fleet["routes"]:
            self.heal_group(route)
        if self.fleet.get("platform_fault"):
            self.set_platform(down=False)

    def count_entries(self, route: str) -> dict[str, int] | None:
        """Count the log entries of each request id on the route's primary."""
        primary = self.find_primary(route).addresses
        ledger = exchange(primary["fault"], "/v1/ledger")
        counts: dict[str, int] = {}
        for entry in ledger["entries"]:
            name = entry["request_id"]
            counts[name] = counts.get(name, 0) + 1
        return counts
