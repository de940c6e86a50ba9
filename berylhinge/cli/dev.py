"""Run a whole small system in one process on loopback."""

from __future__ import annotations

import base64
import contextlib
import secrets
import signal
import socket
import sys
import time
from typing import Any, NamedTuple

import click
import gevent
import msgspec
from gevent.event import Event
from geventhttpclient import HTTPClient

from .. import __version__
from ..core.api_keys import hash_secret, KEY_SALT_BYTES, parse_authorization
from ..core.buckets import TOTAL_UNITS
from ..core.configuration import (
    build_next_configuration,
    CONFIGURATION_STORE_KEY,
    empty_configuration,
    ReplaceDeclaration,
)
from ..core.configuration_parts import encode_for_store, split_configuration
from ..core.declarations import Declaration, Key, Upstream
from ..settings import convert_settings
from ..standins.group import start_group
from ..standins.platform import start_platform
from ..tasks.logs import start_logging
from ..tasks.proxy import Proxy
from .proxy import new_incarnation

LOOPBACK = "127.0.0.1"
CALLERS_PORTS = (8101, 8102)
DEMO_KEY = "bh_demo_not-a-secret"
PLACES = ("north-a", "north-b", "north-c")
UPSTREAMS = ("orders-1", "orders-2", "orders-3")
ROUTE = "orders"
ORGANISATION = "acme"
READY_SECONDS = 20.0
READY_POLL_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 10.0


class Demo(NamedTuple):
    """Hold the running parts and what a caller needs."""

    proxies: list[Proxy]
    parts: list[Any]
    key: str

    def describe(self) -> dict[str, Any]:
        """Return the ready line."""
        records = [proxy.live_list.own_record for proxy in self.proxies]
        return {
            "callers": [f"http://{record['callers']}" for record in records],
            "operators": [f"http://{record['operators']}" for record in records],
            "route": ROUTE,
            "key": self.key,
        }

    def stop(self) -> None:
        """Stop everything."""
        for proxy in self.proxies:
            proxy.stop()
        for part in self.parts:
            part.stop()


def sample_declaration(group: Any, record: Any) -> Declaration:
    """Declare one organisation, one group of three databases and one route."""
    upstreams: list[Upstream] = [
        {
            "id": database.upstream,
            "group": "orders",
            "data": str(database.data),
            "control": str(database.control),
            "place": place,
            "connections": 16,
            "slots": 2,
        }
        for database, place in zip(group.databases, PLACES, strict=True)
    ]
    return {
        "organisations": [
            {
                "id": ORGANISATION,
                "rate_per_second": 5_000,
                "burst": 5_000,
                "labels": {"tier": "gold"},
            }
        ],
        "keys": [record],
        "groups": [{"id": "orders", "labels": {"service": "orders-db"}}],
        "upstreams": upstreams,
        "routes": [
            {
                "id": ROUTE,
                "groups": {"match_labels": {"service": "orders-db"}},
                "organisations": {"match_labels": {"tier": "gold"}},
            }
        ],
    }


def start_demo(ports: tuple[int, ...] = (0, 0)) -> Demo:
    """Start the platform, the group and the instances, and wait until ready."""
    platform = start_platform(list_lag_seconds=0.2)
    group = start_group(list(UPSTREAMS), places=list(PLACES))
    declaration = sample_declaration(group, demo_key_record())
    proxies = [
        start_instance(
            f"instance-{number + 1}",
            PLACES[number % len(PLACES)],
            str(platform.address),
            port,
        )
        for number, port in enumerate(ports)
    ]
    store_declaration(proxies[0], declaration)
    demo = Demo(proxies, [platform, group], DEMO_KEY)
    await_ready(demo)
    return demo


def demo_key_record() -> Key:
    """Return the stored record of the demo's well-known key."""
    presented = parse_authorization(f"Bearer {DEMO_KEY}")
    assert presented is not None
    salt = secrets.token_bytes(KEY_SALT_BYTES)
    hashed = hash_secret(presented.secret.reveal(), salt)
    return {
        "id": presented.id,
        "organisation": ORGANISATION,
        "salt": base64.b64encode(salt).decode(),
        "hash": base64.b64encode(hashed).decode(),
        "state": "granted",
    }


def free_or_any(port: int) -> int:
    """Return the port, or 0 for any when it is taken."""
    with contextlib.closing(socket.socket()) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return 0
    return port


SECRET = base64.b64encode(secrets.token_bytes(32)).decode()


def start_instance(name: str, place: str, platform: str, port: int) -> Proxy:
    """Start one instance; port 0 picks a free one for callers."""
    settings = convert_settings(
        {
            "instance": name,
            "place": place,
            "callers": f"{LOOPBACK}:{port}",
            "operators": f"{LOOPBACK}:0",
            "peers": f"{LOOPBACK}:0",
            "platform": [platform],
            "peer_secrets": [SECRET],
        }
    ).unwrap()
    proxy = Proxy(settings, incarnation=new_incarnation())
    proxy.start()
    return proxy


def store_declaration(proxy: Proxy, declaration: Declaration) -> None:
    """Store the first configuration."""
    edit = ReplaceDeclaration(declaration)
    following = build_next_configuration(empty_configuration(), edit, "demo").unwrap()
    head, parts = encode_for_store(split_configuration(following))
    assert not parts
    answer = proxy.platform_client.swap(
        CONFIGURATION_STORE_KEY, head.decode(), expected_revision=0
    )
    assert answer.unwrap()["swapped"]


def await_ready(demo: Demo) -> None:
    """Wait until every instance serves; raise TimeoutError."""
    deadline = time.monotonic() + READY_SECONDS
    while not is_serving(demo):
        if time.monotonic() > deadline:
            raise TimeoutError(f"not ready within {READY_SECONDS} s")
        gevent.sleep(READY_POLL_SECONDS)


def is_serving(demo: Demo) -> bool:
    """Tell whether all instances know each other, a primary and the whole rate."""
    units = 0
    for proxy in demo.proxies:
        if not proxy.is_ready() or len(proxy.membership.serving_members()) < len(
            demo.proxies
        ):
            return False
        if not all(
            group.report()["primary"] for group in proxy.groups.group_tasks.values()
        ):
            return False
        bucket = proxy.fleet.state.rates.buckets.get(ORGANISATION)
        units += bucket.units if bucket else 0
    return units == TOTAL_UNITS


class Client:
    """Call one instance as a caller would."""

    def __init__(self, base: str) -> None:
        """Keep one connection."""
        self.http = HTTPClient.from_url(
            base, network_timeout=REQUEST_TIMEOUT_SECONDS, concurrency=1
        )

    def call(
        self, path: str, body: dict[str, Any], *, key: str, session: str | None = None
    ) -> tuple[int, dict[str, Any], str | None]:
        """Return status, body and session token."""
        headers = {"Authorization": f"Bearer {key}"}
        if session:
            headers["Berylhinge-Session"] = session
        payload = msgspec.json.encode(body)
        response = self.http.post(path, payload, headers)
        answer = msgspec.json.decode(response.read())
        token = response.get("Berylhinge-Session")
        return response.status_code, answer, str(token) if token else None


def check_demo(demo: Demo) -> bool:
    """Write through one instance, read through the other, and try a wrong key."""
    first, second = (Client(base) for base in demo.describe()["callers"])
    path = f"/v1/routes/{ROUTE}/statements"
    key = demo.key
    table = {
        "statement": "CREATE TABLE visits (id INTEGER, cat TEXT)",
        "access": "write",
    }
    insert = {
        "statement": "INSERT INTO visits VALUES (?, ?)",
        "parameters": [1, "Pus"],
        "access": "write",
    }
    select = {"statement": "SELECT id, cat FROM visits", "access": "read"}
    results = []

    def expect(text: str, held: bool, seen: object) -> None:
        results.append(held)
        click.echo(f"{'ok' if held else 'FAILED'}: {text}: {seen}")

    status, answer, session = first.call(path, table, key=key)
    expect("a table is created through the first instance", status == 200, answer)
    status, answer, session = first.call(path, insert, key=key, session=session)
    expect("a row is written through the first instance", status == 200, answer)
    status, answer, _ = second.call(path, select, key=key, session=session)
    rows = answer.get("rows")
    expect(
        "it is read through the second, with the token", rows == [[1, "Pus"]], answer
    )
    status, answer, _ = second.call(path, select, key=key)
    rows = answer.get("rows")
    expect("it is read through the second, without one", rows == [[1, "Pus"]], answer)
    status, answer, _ = second.call(path, select, key="bh_0_wrong")
    refused = status == 401 and answer.get("outcome") == "not-run"
    expect("a wrong key is refused, not run", refused, answer)
    return all(results)


@click.command()
@click.version_option(__version__, prog_name="berylhinge-dev")
@click.option("--check", is_flag=True, help="Try a few requests, print them and exit.")
@click.option("--verbose", is_flag=True, help="Write logs to standard error.")
def main(check: bool, verbose: bool) -> None:
    """Run a platform, a database group and two instances until Ctrl-C."""
    if verbose:
        start_logging()
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    try:
        demo = start_demo(tuple(map(free_or_any, CALLERS_PORTS)))
    except (OSError, TimeoutError) as error:
        click.echo(f"the demo did not start: {error}", err=True)
        sys.exit(1)
    try:
        if check:
            sys.exit(0 if check_demo(demo) else 1)
        click.echo(msgspec.json.encode(demo.describe()).decode())
        sys.stdout.flush()
        stopped.wait()
    finally:
        demo.stop()


if __name__ == "__main__":
    main()
