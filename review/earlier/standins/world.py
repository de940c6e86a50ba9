"""Start poolers with the command of the deploy file, and clients of theirs."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from databases import Group
from platform_standin import Promotions, Store

ROOT = Path(__file__).resolve().parents[3]
ZONES = ("oslo-a", "oslo-b", "bergen-a")
# Bounds of the site kattevakt-pool.
BOUNDS = {
    "grace_seconds": 6,
    "leaving_ms": 7000,
    "revocation_ms": 5000,
    "rate_window_seconds": 5,
    "rate_excess_part": 0.1,
    "rate_excess_operations": 20,
    "promotions_fenced": True,
    "regions": {zone: "norge" for zone in ZONES},
    "agreed_terms": [
        "base", "drain", "config", "cost", "recover", "sql", "tenants", "quota",
        "platform",
    ],
    "processor_cores": 0.537,
    "bandwidth_mbps": 1000.0,
}


def free_port(given=set()):
    """Return a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12_000, 30_000)
        if port in given:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        given.add(port)
        return port


class CannotRun(Exception):
    """Report that a case could not be played."""


class World:
    """Own the stand-ins and the pooler processes of one case."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.started_at = time.monotonic()
        self.lines = []
        self.poolers = {}
        self.store = Store()
        self.promotions = Promotions(self.record)
        self.groups = {}
        self.ids = itertools.count(1)

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def add_group(self, service, **options):
        group = Group(service, self.store, self.record, **options)
        self.groups[service] = self.promotions.groups[service] = group
        return group

    async def start(self, config, *, poolers=3):
        await self.store.start()
        await self.promotions.start()
        for group in self.groups.values():
            await group.start()
        self.store.put("op/config", config)
        self.record(f"configuration: {json.dumps(config)}")
        for number in range(poolers):
            self.add_pooler(f"front-{number + 1}", ZONES[number % len(ZONES)])
        await asyncio.gather(*(self.wait_ready(name) for name in self.poolers))

    def add_pooler(self, name, zone, *, first_start=True):
        settings = {
            "instance": name,
            "place": zone,
            "store": self.store.http.address,
            "promotions": self.promotions.http.address,
            "first_start": first_start,
            **{
                key: f"127.0.0.1:{free_port()}"
                for key in ("callers", "readiness", "peers", "metrics")
            },
            **BOUNDS,
        }
        self.poolers[name] = {"settings": settings}
        self.launch(name)

    def launch(self, name):
        pooler = self.poolers[name]
        path = Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(pooler["settings"]))
        pooler["log"] = open(Path(self.temporary.name) / f"{name}.log", "ab")
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        pooler["process"] = subprocess.Popen(
            ["python3", "-m", "berylhinge.cli.pooler", "--settings", str(path)],
            cwd=ROOT, env=environment, stdout=pooler["log"], stderr=pooler["log"],
        )
        self.record(f"{name} started, process {pooler['process'].pid}")

    def signal(self, name, number):
        self.record(f"{name} gets {signal.Signals(number).name}")
        self.poolers[name]["process"].send_signal(number)

    async def is_ready(self, name):
        host, _, port = self.poolers[name]["settings"]["readiness"].partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /berylhinge/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, name, seconds=25.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.poolers[name]["process"].poll() is not None:
                log = Path(self.temporary.name) / f"{name}.log"
                raise CannotRun(f"{name} ended: {log.read_text()[-500:]}")
            if await self.is_ready(name):
                self.record(f"{name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{name} is not ready after {seconds} s")

    def session(self, name):
        return Session(self, name)

    def keep_logs(self):
        for name in self.poolers:
            log = Path(self.temporary.name) / f"{name}.log"
            (self.folder / f"{name}.log").write_bytes(log.read_bytes())

    def close(self):
        for pooler in self.poolers.values():
            process = pooler.get("process")
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait(10)
                pooler["log"].close()
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            self.keep_logs()
        self.temporary.cleanup()


class Answer:
    """Hold a complete answer to one statement."""

    def __init__(self, rows, code, detail, receipt, state):
        self.rows, self.code, self.detail = rows, code, detail
        self.receipt, self.state = receipt, state


class Session:
    """Own one client's session at one pooler."""

    def __init__(self, world, pooler, *, quiet=False):
        self.world, self.pooler, self.quiet = world, pooler, quiet
        self.reader = self.writer = None

    def record(self, text):
        if not self.quiet:
            self.world.record(f"client at {self.pooler}: {text}")

    async def open(self, host, key):
        settings = self.world.poolers[self.pooler]["settings"]
        address, _, port = settings["callers"].partition(":")
        self.reader, self.writer = await asyncio.open_connection(
            address, int(port), limit=1 << 21
        )
        self.writer.write(f"START {host} {key}\r\n".encode())
        line = await asyncio.wait_for(self.line(), 2.0)
        if not line.startswith("READY"):
            raise CannotRun(f"the session was not opened: {line}")
        return self

    async def line(self):
        data = await self.reader.readuntil(b"\r\n")
        return data[:-2].decode()

    async def query(self, text, request=None):
        """Send a statement and return its answer; raise ConnectionError without one."""
        request = request or f"{next(self.world.ids):016x}"
        self.record(f"sends {request} {text!r}")
        rows, code, detail, receipt = [], "", "", ""
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            while True:
                word, _, rest = (await self.line()).partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "COMPLETE":
                    receipt = rest
                elif word == "ERROR":
                    code, _, detail = rest.partition(" ")
                elif word == "READY":
                    break
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.record(f"{request} got no answer: {type(error).__name__}")
            raise ConnectionResetError(request) from error
        answer = Answer(rows, code, detail, receipt, rest.partition(" ")[0])
        shown = f"ERROR {code} {detail}" if code else f"{rows} COMPLETE {receipt}"
        self.record(f"{request} got {shown} READY {rest}")
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


def configuration(service, version=1, *, sync_replicas=0, tenants=None, timeout_ms=800):
    """Return a configuration like that of the site kattevakt-pool."""
    common = {"prefix": "/", "service": service, "max-attempts": 2, "public": False}
    return {
        "version": version,
        "routes": [
            {"name": "r-1", "host": "confirm", "kind": "primary", "priority": 1,
             "timeout-ms": timeout_ms, "latency-goal-ms": 120, **common},
            {"name": "r-2", "host": "view", "kind": "bounded_stale", "priority": 2,
             "timeout-ms": 1500, "latency-goal-ms": 400, "max-staleness-ms": 1500,
             **common},
            {"name": "r-3", "host": "sync", "kind": "read_your_writes", "priority": 2,
             "timeout-ms": timeout_ms, "latency-goal-ms": 200, "max-staleness-ms": 2500,
             **common},
        ],
        "services": [
            {"name": service, "health-path": "/health", "max-conns": 16,
             "protocol": "h1", "tls": False, "sync-replicas": sync_replicas}
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                   "tx-idle-ms": 3000},
        "tenants": tenants
        or [{"name": "nypu920", "api-keys": ["key-nypu"], "priority": 1,
             "rate-per-s": 100, "burst": 100}],
    }


def play(folder, case):
    """Play a case; exit with 1 if the rule broke, 0 if it held, 2 if it could not run."""

    async def run():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 110)
        except (CannotRun, asyncio.TimeoutError) as error:
            world.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            world.close()

    try:
        code = asyncio.run(run())
    except Exception as error:  # the case itself failed
        import traceback

        traceback.print_exc()
        print(f"could not run: {error!r}")
        code = 2
    print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
    sys.exit(code)
