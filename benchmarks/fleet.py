"""Launch the platform, groups of databases and instances on loopback.

The links' delays are modelled at the stand-ins: each answer of a database or of
the platform is held back by a round trip. Links between instances have none.
"""

from __future__ import annotations

import base64
import os
from pathlib import Path
from typing import Any, NamedTuple, TYPE_CHECKING

import click
import gevent
import msgspec
from geventhttpclient import HTTPClient

from berylhinge.core.api_keys import grant_key
from berylhinge.core.configuration import (
    build_next_configuration,
    CONFIGURATION_STORE_KEY,
    empty_configuration,
    ReplaceDeclaration,
)
from berylhinge.core.configuration_parts import (
    encode_for_store,
    part_store_key,
    split_configuration,
)
from berylhinge.load.faults import exchange, FAULTS_PATH
from berylhinge.load.fleet import FleetFile, UpstreamAddresses
from berylhinge.load.scenario import decode_scenario
from berylhinge.tasks.http_server import (
    Address,
    respond_json,
    server_address,
    start_server,
)

from .processes import free_port, Process, Processes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylhinge.core.declarations import Declaration
    from berylhinge.load.scenario import FleetSize, Scenario
    from berylhinge.tasks.http_server import Environ, StartResponse

READY_SECONDS = 60.0
POLL_SECONDS = 0.1
FIRST_TERM = 1
PROMOTER = "launcher"
ORGANISATION_LABEL = "database"


class Database(NamedTuple):
    """Hold one database's process and addresses."""

    process: Process
    place: str
    addresses: UpstreamAddresses


class Instance(NamedTuple):
    """Hold one instance's process and where it listens."""

    process: Process
    name: str
    number: int
    generation: int
    callers: int
    operators: int


class Fleet:
    """Own one fleet from its start to its end."""

    def __init__(
        self, scenario: Scenario, *, settings: dict[str, Any] | None = None
    ) -> None:
        """Plan a fleet; ``settings`` is added to each instance's settings."""
        self.scenario = scenario
        self.size: FleetSize = scenario["fleet"]
        self.extra = settings or {}
        self.processes = Processes()
        self.secret = base64.b64encode(os.urandom(32)).decode()
        self.platform: dict[str, Any] = {}
        self.databases: dict[str, list[Database]] = {}
        self.instances: list[Instance] = []
        self.keys: dict[str, str] = {}
        self.controller = start_server(Address("127.0.0.1", 0), self.control)

    def start(self) -> FleetFile:
        """Start everything and wait until every instance is ready."""
        try:
            self.start_platform()
            for route in self.size["databases"]:
                self.start_group(route)
            self.apply(self.declaration())
            self.instances = [
                self.start_instance(number) for number in range(self.size["instances"])
            ]
            self.wait_ready(self.instances)
        except BaseException:
            self.stop()
            raise
        return self.fleet_file()

    def stop(self) -> None:
        """End everything."""
        self.controller.stop()
        self.processes.stop()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        process = self.processes.start(
            "platform", ["berylhinge.cli.standin", "platform"]
        )
        self.platform = process.first_line()
        self.delay(self.platform["faults"])

    def start_group(self, route: str) -> None:
        """Start a group's databases and promote the first."""
        names = [f"{route}-{n}" for n in range(self.size["upstreams_per_group"])]
        self.databases[route] = [
            self.start_database(name, number) for number, name in enumerate(names)
        ]
        members = [
            {
                "upstream": one.addresses["upstream"],
                "control": one.addresses["control"],
            }
            for one in self.databases[route]
        ]
        fence = {"term": FIRST_TERM, "promoter": PROMOTER}
        for one in self.databases[route]:
            exchange(one.addresses["control"], "/v1/fence", fence)
        first = self.databases[route][0].addresses["control"]
        exchange(first, "/v1/promote", fence | {"members": members})

    def start_database(self, name: str, number: int) -> Database:
        """Start one database stand-in."""
        size = self.size
        place = size["places"][number % len(size["places"])]
        arguments = ["berylhinge.cli.standin", "upstream", "--name", name]
        arguments += ["--place", place, "--slots", str(size["slots"])]
        arguments += ["--connections", str(size["connections"])]
        arguments += ["--connect-cost", str(size["connect_seconds"])]
        arguments += ["--read-time", str(size["statement_seconds"])]
        arguments += ["--write-time", str(size["statement_seconds"])]
        arguments += ["--lag", str(size["replication_seconds"])]
        process = self.processes.start(name, arguments)
        line = process.first_line()
        self.delay(line["faults"])
        addresses = UpstreamAddresses(
            upstream=name,
            data=line["data"],
            control=line["control"],
            fault=line["faults"],
        )
        return Database(process, place, addresses)

    def delay(self, fault_address: str) -> None:
        """Model the link's round trip at a stand-in."""
        round_trip = 2 * self.size["link_seconds"]
        exchange(fault_address, FAULTS_PATH, {"slow_seconds": round_trip})

    def declaration(self) -> Declaration:
        """Declare the scenario's organisations, groups and routes."""
        organisations = self.scenario["organisations"]
        granted = {
            entry["organisation"]: grant_key(entry["organisation"], os.urandom)
            for entry in organisations
        }
        self.keys = {name: key.text.reveal() for name, key in granted.items()}
        return {
            "organisations": [
                {
                    "id": entry["organisation"],
                    "rate_per_second": entry["rate_per_second"],
                    "burst": entry["burst"],
                    "weight": entry["weight"],
                }
                for entry in organisations
            ],
            "keys": [key.record for key in granted.values()],
            "groups": [
                {"id": route, "labels": {ORGANISATION_LABEL: route}}
                for route in self.databases
            ],
            "upstreams": [
                {
                    "id": one.addresses["upstream"],
                    "group": route,
                    "data": one.addresses["data"],
                    "control": one.addresses["control"],
                    "place": one.place,
                    "connections": self.size["connections"],
                    "slots": self.size["slots"],
                }
                for route, group in self.databases.items()
                for one in group
            ],
            "routes": [
                {
                    "id": route,
                    "groups": {"match_labels": {ORGANISATION_LABEL: route}},
                    "organisations": {},
                }
                for route in self.databases
            ],
        }

    def apply(self, declaration: Declaration) -> None:
        """Store a declaration as the first configuration."""
        edit = ReplaceDeclaration(declaration)
        following = build_next_configuration(
            empty_configuration(), edit, "launch"
        ).unwrap()
        head, parts = encode_for_store(split_configuration(following))
        values = [(part_store_key(digest), part) for digest, part in parts.items()]
        for key, value in [*values, (CONFIGURATION_STORE_KEY, head)]:
            swap = {
                "key": key,
                "value": value.decode(),
                "expected_revision": 0,
            }
            exchange(self.platform["address"], "/v1/swap", swap)

    def start_instance(self, number: int, generation: int = 0) -> Instance:
        """Start one instance on its number's ports, under a name of its own."""
        old = next((one for one in self.instances if one.number == number), None)
        name = f"instance-{number}-{generation}"
        callers = old.callers if old else free_port()
        operators = old.operators if old else free_port()
        settings = {
            "instance": name,
            "place": self.size["places"][number % len(self.size["places"])],
            "callers": f"127.0.0.1:{callers}",
            "operators": f"127.0.0.1:{operators}",
            "peers": f"127.0.0.1:{free_port()}",
            "platform": [self.platform["address"]],
            "peer_secrets": [self.secret],
            **self.extra,
        }
        path = self.processes.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        process = self.processes.start(
            name, ["berylhinge.cli.proxy", "--settings", str(path)]
        )
        return Instance(process, name, number, generation, callers, operators)

    def wait_ready(self, instances: Iterable[Instance]) -> None:
        """Wait until each instance says that it is ready."""
        for instance in instances:
            with gevent.Timeout(
                READY_SECONDS, RuntimeError(f"{instance.name} not ready")
            ):
                while not is_ready(instance):
                    if instance.process.child.poll() is not None:
                        text = instance.process.errors.read_text()[-2000:]
                        raise RuntimeError(f"{instance.name} ended: {text}")
                    gevent.sleep(POLL_SECONDS)

    def replace(self, instance: Instance, *, kill: bool = False) -> None:
        """End one instance, gracefully unless killed, and start its successor."""
        if kill:
            instance.process.kill()
        else:
            instance.process.stop()
        successor = self.start_instance(instance.number, instance.generation + 1)
        self.instances[self.instances.index(instance)] = successor
        self.processes.forget(instance.process)
        self.wait_ready([successor])

    def act(self, action: str) -> str:
        """Carry out an action on instances and say what was done."""
        if action == "replace-instances":
            for instance in list(self.instances):
                self.replace(instance)
            return f"{len(self.instances)} replaced"
        if action == "kill-instance":
            victim = self.instances[-1]
            self.replace(victim, kill=True)
            return victim.name
        raise ValueError(f"got {action}, expected replace-instances or kill-instance")

    def control(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer the load tool's orders."""
        try:
            order = msgspec.json.decode(environ["wsgi.input"].read())
            note = self.act(order["action"])
        except (msgspec.MsgspecError, KeyError, ValueError, RuntimeError) as error:
            return respond_json(start_response, 500, {"error": str(error)})
        return respond_json(start_response, 200, {"note": note})

    def fleet_file(self) -> FleetFile:
        """Tell the load tool where everything listens."""
        return FleetFile(
            callers=[f"http://127.0.0.1:{one.callers}" for one in self.instances],
            operators=[f"http://127.0.0.1:{one.operators}" for one in self.instances],
            keys=self.keys,
            routes={
                route: [one.addresses for one in group]
                for route, group in self.databases.items()
            },
            platform_fault=self.platform["faults"],
            controller=f"http://{server_address(self.controller)}",
        )


def is_ready(instance: Instance) -> bool:
    """Ask an instance for its readiness."""
    client = HTTPClient(
        "127.0.0.1", instance.operators, connection_timeout=1.0, network_timeout=1.0
    )
    try:
        response = client.request("GET", "/readyz")
        response.read()
        return response.status_code == 200
    except OSError:
        return False
    finally:
        client.close()


@click.command()
@click.argument("scenario", type=click.Path(exists=True, path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True)
def main(scenario: Path, out: Path) -> None:
    """Launch SCENARIO's fleet, write its FLEET file and run until Ctrl-C."""
    fleet = Fleet(decode_scenario(scenario.read_bytes()))
    try:
        out.write_bytes(msgspec.json.encode(fleet.start()))
        click.echo(f"ready; logs in {fleet.processes.folder}")
        gevent.wait()
    except KeyboardInterrupt:
        pass
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
