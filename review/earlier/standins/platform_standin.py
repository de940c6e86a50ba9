"""Stand in for the platform: the metadata store and the promotions call.

Follows PROTOCOL.md; where the page is silent it behaves like a sound server.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


class HttpServer:
    """Serve HTTP/1.1 with JSON bodies on a loopback port."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *fields = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for field in fields:
                    name, _, value = field.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
                document = json.loads(body) if body else {}
                status, reply = await self.handler(
                    method, parts.path, query, document, headers
                )
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store:
    """Hold keys under one revision counter, with leases and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.http = HttpServer(self.answer)

    async def start(self):
        await self.http.start()
        asyncio.ensure_future(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [n for n, (end, _) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def put(self, key, value):
        """Write as the operator or a database does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        self.write(key, data, 0)

    def write(self, key, value, lease):
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.tell(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.tell({"key": key, "revision": self.revision, "deleted": True})

    def tell(self, event):
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def answer(self, method, path, query, document, headers):
        await asyncio.sleep(0.004)
        name = path.removeprefix("/berylhinge/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            found = {"store-revision": self.revision, **(item or {})}
            return (200 if item else 404), found
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = {
                "items": [self.items[key] for key in keys[:500]],
                "has-more": len(keys) > 500,
                "store-revision": self.revision,
            }
            return 200, page
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.change(document)
        if name == "kv-lease":
            lease = self.revision * 100 + len(self.leases) + 1
            ttl = max(1000, document["ttl-ms"])
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.partition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl-ms": ttl}
        if name.startswith("kv-lease-end/"):
            self.end_lease(int(name.partition("/")[2]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store-revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def change(self, document):
        rows = document.get("precondition", [])
        for row in rows:
            held = self.items.get(row["key"], {}).get("revision", 0)
            if held != row["revision"]:
                found = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                return 412, {"items": found}
        for put in document.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in document.get("puts", []):
            self.write(put["key"], put["value"], put.get("lease", 0))
        for key in document.get("deletes", []):
            if self.items.pop(key, None) is not None:
                self.tell({"key": key, "revision": self.revision, "deleted": True})
        return 200, {"revision": self.revision}


class Promotions:
    """Carry out promotions, and refuse outdated fence tokens."""

    def __init__(self, record):
        self.groups = {}
        self.fences = {}
        self.record = record
        self.http = HttpServer(self.answer)

    async def start(self):
        await self.http.start()

    async def answer(self, method, path, query, document, headers):
        await asyncio.sleep(0.004)
        service, name = document["service"], document["id"]
        fence = int(headers["berylhinge-fence-token"])
        holder = headers["berylhinge-duty-holder"]
        group = self.groups[service]
        refused = fence < self.fences.get(service, 0)
        member = group.members.get(name)
        if refused or member is None or not member.running:
            self.record(f"promotion of {name} by {holder}, token {fence}: 409")
            return 409, {}
        self.fences[service] = fence
        self.record(f"promotion of {name} by {holder}, token {fence}: 200")
        group.promote_later(name)
        return 200, {}
