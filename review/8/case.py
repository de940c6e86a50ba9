"""A key moves to another tenant; an open transaction goes on for the former one."""

from __future__ import annotations

import os
import sys
import tempfile
import time
from itertools import count
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

import gevent  # noqa: E402
from world import BROKEN, Group, HELD, Lost, NOT_RUN, run_case, Session, World  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# config-apply-ms and stable-ms of the sheet.
APPLY_SECONDS = 3.0
STATEMENTS, PAUSE_SECONDS = 12, 0.6
SESSIONS = 6


class Client:
    """Run transactions of twelve statements, with pauses between them."""

    def __init__(self, number, port, sent):
        self.number, self.port, self.sent = number, port, sent
        self.requests = count(1)
        self.stopping = False

    def run(self):
        while not self.stopping:
            try:
                session = Session(self.port, "strict", "key-0")
            except (OSError, Lost):
                gevent.sleep(0.1)
                continue
            try:
                while not self.stopping and session.state == "I":
                    self.transact(session)
            except Lost:
                pass
            finally:
                session.close()

    def transact(self, session):
        self.ask(session, "BEGIN")
        for place in range(STATEMENTS - 1):
            if session.state != "T":
                break
            gevent.sleep(PAUSE_SECONDS)
            self.ask(
                session,
                f"WRITE item{self.number} v{place}"
                if place % 2
                else f"READ item{self.number}",
            )
        self.ask(session, "COMMIT" if session.state == "T" else "ROLLBACK")

    def ask(self, session, text):
        request = f"c{self.number}x{next(self.requests)}"
        sent = time.monotonic()
        self.sent[request] = (sent, 0.0, text, "no answer")
        code, _, _ = session.ask(request, text)
        self.sent[request] = (sent, time.monotonic(), text, code or "OK")


def main():
    group, sent = Group(), {}
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder, group=group, timeout_ms=800, idle_ms=3000)
        try:
            names = ("n0", "n1", "n2")
            for name in names:
                world.start(name)
            if not world.wait_ready(names):
                print("the instances were not ready")
                return NOT_RUN
            clients = [
                Client(n, world.ports[names[n % 3]], sent) for n in range(SESSIONS)
            ]
            jobs = [gevent.spawn(client.run) for client in clients]
            gevent.sleep(1.5)
            moved_at = None
            if TROUBLE:
                world.version, world.keys = 2, {"t0": [], "t1": ["key-1", "key-0"]}
                world.declare()
                moved_at = time.monotonic()
            gevent.sleep(9.0)
            for client in clients:
                client.stopping = True
            gevent.joinall(jobs, timeout=10)
        finally:
            world.close()
    return judge(group, sent, moved_at)


def judge(group, sent, moved_at):
    broken, ran = [], 0
    for _at, _database, _connection, tenant, request, text, _key in group.runs:
        if request not in sent:
            continue
        ran += 1
        at = sent[request][0]
        holder = "t0"
        if moved_at is not None:
            # Until the version is in force everywhere, either tenant will do.
            holder = tenant if at <= moved_at + APPLY_SECONDS else "t1"
        if tenant != holder:
            broken.append(
                f"UNASKED {request} {text!r} ran for {tenant} {at - moved_at:.2f} s after the ack"
            )
    with (HERE / "record.txt").open("w") as file:
        if moved_at is not None:
            file.write(
                f"{moved_at:.3f} the store acknowledges version 2: key-0 moves from t0 to t1\n"
            )
        for request, (at, end, text, code) in sent.items():
            file.write(f"{at:.3f} sent {request} {text} | {end:.3f} answered {code}\n")
        for at, database, connection, tenant, request, text, _key in group.runs:
            file.write(
                f"{at:.3f} run at {database} on {connection} for {tenant}: {request} {text}\n"
            )
        for line in broken:
            file.write(f"BROKEN {line}\n")
    print(
        f"{len(sent)} requests, {ran} statements run, {len(broken)} for a tenant without the key"
    )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(main))
