"""Stand in for the users' metadata store and for their call for promotions."""

from __future__ import annotations

import base64
import time
from typing import Any, NamedTuple, TYPE_CHECKING
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event

from ..tasks.http_server import Address, respond_json, start_server

if TYPE_CHECKING:
    from collections.abc import Callable

# How often a waiting watch looks for leases that have ended.
LAPSE_SECONDS = 0.05
ERA_HEADER = "Store-Era"


class StoreCopy(NamedTuple):
    """Hold a copy of the store's state."""

    items: dict[str, dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    revision: int


# Greater than every key.
LAST_KEY = "\U0010ffff"


class MetadataStore:
    """Hold keys under one revision counter, with leases, watches and faults.

    ``down`` leaves calls unanswered with 503; ``lose_answers`` does what is asked and
    closes the connection; ``forget_history`` makes watches start anew; ``hold_stale``
    keeps what stale reads return from now on, in the pages that begin after a key
    less than ``stale_before``. ``restore`` goes back to a copy.
    """

    def __init__(self, listen: Address) -> None:
        """Listen at once."""
        self.items: dict[str, dict[str, Any]] = {}
        self.stale_items: dict[str, dict[str, Any]] | None = None
        self.stale_before = LAST_KEY
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.oldest = 0
        self.era = 1
        self.down = False
        self.lose_answers = False
        self.fences: dict[str, int] = {}
        self.on_promotion: Callable[[str, str], bool] = lambda service, name: True
        self.changed = Event()
        self.server = start_server(listen, self.answer)

    def close(self) -> None:
        """Stop listening."""
        self.server.stop()

    def put(self, key: str, value: object, *, lease: int = 0) -> None:
        """Write as an operator or a database does."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.write(key, base64.b64encode(data).decode(), lease)

    def read(self, key: str) -> object:
        """Return a key's decoded value, None when it is absent."""
        item = self.items.get(key)
        return msgspec.json.decode(base64.b64decode(item["value"])) if item else None

    def write(self, key: str, value: str, lease: int) -> None:
        """Change a key."""
        self.revision += 1
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.tell(self.items[key])

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.tell({"key": key, "revision": self.revision, "deleted": True})

    def tell(self, event: dict[str, Any]) -> None:
        """Wake those that watch."""
        self.history.append(event)
        self.wake_watches()

    def wake_watches(self) -> None:
        """Let waiting watches look for events."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def forget_history(self) -> None:
        """Drop all events, so that older watches are refused."""
        self.history.clear()
        self.oldest = self.revision

    def hold_stale(self) -> None:
        """Answer stale reads with the items as they are now."""
        self.stale_items = dict(self.items)

    def make_copy(self) -> StoreCopy:
        """Return a copy of the whole state."""
        return StoreCopy(dict(self.items), dict(self.leases), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy, and lose everything that was written since."""
        self.items = dict(copy.items)
        self.leases = dict(copy.leases)
        self.revision = copy.revision
        self.history = [
            event for event in self.history if event["revision"] <= copy.revision
        ]
        self.oldest = min(self.oldest, copy.revision)
        self.era += 1
        self.wake_watches()

    def lapse(self) -> None:
        """End leases whose time is over."""
        now = time.monotonic()
        for lease in [name for name, (end, _) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Remove a lease and its keys."""
        self.leases.pop(lease, None)
        held = [key for key, item in self.items.items() if item["lease"] == lease]
        for key in held:
            self.delete(key)

    def answer(self, environ: Any, start_response: Any) -> list[bytes]:
        """Answer one call."""
        if self.down:
            return respond_json(start_response, 503, {"error": "down"})
        self.lapse()
        path = environ["PATH_INFO"]
        query = {
            k: v[0]
            for k, v in parse_qs(
                environ["QUERY_STRING"], keep_blank_values=True
            ).items()
        }
        body = environ["wsgi.input"].read()
        document = msgspec.json.decode(body) if body else {}
        head, _, tail = path.removeprefix("/berylhinge/").partition("/")
        status, reply = self.handle(head, tail, query, document, environ)
        if self.lose_answers:
            raise ConnectionAbortedError("the answer is lost")
        headers = [(ERA_HEADER, str(self.era))]
        return respond_json(start_response, status, reply, headers=headers)

    def handle(
        self, head: str, tail: str, query: Any, document: Any, environ: Any
    ) -> tuple[int, object]:
        """Return status and body of a call."""
        if head == "kv-key":
            item = self.items.get(query["key"], {})
            return (200 if item else 404), {**item, "store-revision": self.revision}
        if head == "kv-range":
            items = self.items
            is_old = query.get("after", "") < self.stale_before
            if "allow-stale" in query and self.stale_items is not None and is_old:
                items = self.stale_items
            found = [
                item
                for key, item in sorted(items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            page = {"items": found[:3], "has-more": len(found) > 3}
            return 200, {**page, "store-revision": self.revision}
        if head == "kv-watch":
            return self.watch(query)
        if head == "kv-txn":
            return self.change(document)
        if head == "kv-lease":
            number, ttl = len(self.leases) + self.revision * 10, document["ttl-ms"]
            self.leases[number] = (time.monotonic() + ttl / 1000, ttl / 1000)
            return 200, {"lease": number, "ttl-ms": ttl}
        if head == "kv-keep":
            if int(tail) not in self.leases:
                return 404, {}
            ttl = self.leases[int(tail)][1]
            self.leases[int(tail)] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl-ms": ttl * 1000}
        if head == "kv-lease-end":
            self.end_lease(int(tail))
            return 200, {}
        return self.promote(document, environ)

    def watch(self, query: dict[str, str]) -> tuple[int, object]:
        """Wait for events."""
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            if not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            self.changed.wait(min(left, LAPSE_SECONDS))
            self.lapse()

    def change(self, document: Any) -> tuple[int, object]:
        """Change keys under conditions."""
        for row in document["precondition"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                keys = [row["key"] for row in document["precondition"]]
                items = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": items}
        for put in document["puts"]:
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in document["puts"]:
            self.write(put["key"], put["value"], put.get("lease", 0))
        for key in document["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    def promote(self, document: Any, environ: Any) -> tuple[int, object]:
        """Let a database lead unless a newer token was seen."""
        service = document["service"]
        fence = int(environ["HTTP_BERYLHINGE_FENCE_TOKEN"])
        if fence < self.fences.get(service, 0):
            return 409, {"error": "fenced"}
        self.fences[service] = fence
        done = self.on_promotion(service, document["id"])
        return (200 if done else 409), {}


def wait_until(check: Callable[[], object], seconds: float = 5.0) -> None:
    """Wait until a check holds; raise AssertionError when it does not in time."""
    deadline = time.monotonic() + seconds
    while not check():
        if time.monotonic() >= deadline:
            raise AssertionError("the condition did not hold in time")
        gevent.sleep(0.02)
