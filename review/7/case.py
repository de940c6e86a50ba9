"""A leaving primary is replaced while the database that takes over hears nothing."""

from __future__ import annotations

import os
import random
import sys
import tempfile
import time
from itertools import count
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

import gevent  # noqa: E402
from world import BROKEN, Group, HELD, Lost, NOT_RUN, run_case, Session, World  # noqa: E402

SESSIONS = 24
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The sheets' largest time of a promotion, and how long a replica receives nothing.
PROMOTE_SECONDS = 1.0
DEAF_SECONDS = 6.5


class Client:
    """Write items of its own, alone and in transactions."""

    def __init__(self, number, world, answers):
        self.number, self.world, self.answers = number, world, answers
        self.requests = count(1)
        self.stopping = False

    def run(self):
        while not self.stopping:
            port = self.world.ports[f"n{self.number % 3}"]
            try:
                session = Session(port, "strict", f"key-{self.number % 2}")
            except (OSError, Lost):
                gevent.sleep(0.05)
                continue
            try:
                while not self.stopping and session.state == "I":
                    self.operate(session)
                    gevent.sleep(random.expovariate(5.0))
            except Lost:
                pass
            finally:
                session.close()

    def operate(self, session):
        if random.random() < 0.75:
            self.write(session, True)
            return
        session.ask(self.request(), "BEGIN")
        data, ok = self.write(session, False)
        if not ok:
            session.ask(self.request(), "ROLLBACK")
            return
        request = self.request()
        self.ask(session, request, "COMMIT", data)

    def request(self):
        return f"c{self.number}x{next(self.requests)}"

    def write(self, session, alone):
        request = self.request()
        data = f"v{request}"
        return data, self.ask(
            session, request, f"WRITE item{self.number} {data}", data if alone else ""
        )

    def ask(self, session, request, text, data):
        sent = time.monotonic()
        try:
            code, _, receipt = session.ask(request, text)
        except Lost:
            self.answers.append(
                (sent, time.monotonic(), request, text, data, "no answer", "")
            )
            raise
        self.answers.append(
            (sent, time.monotonic(), request, text, data, code or "OK", receipt)
        )
        return not code


def main():
    group = Group(sync=1, promote_seconds=PROMOTE_SECONDS)
    group.work = lambda word: min(0.034, random.lognormvariate(-5.65, 0.7))
    answers, notes = [], []

    def note(text):
        notes.append((time.monotonic(), text))

    with tempfile.TemporaryDirectory() as folder:
        world = World(folder, group=group, timeout_ms=800)
        ordered = []

        def promote(service, name):
            accepted = group.promote(service, name)
            note(f"a promotion of {name} is ordered: {accepted}")
            if accepted and not ordered:
                ordered.append(name)
                if TROUBLE:
                    gevent.spawn_later(0.05, set_deaf, name, True)
                    gevent.spawn_later(0.05 + DEAF_SECONDS, set_deaf, name, False)
            return accepted

        def set_deaf(name, deaf):
            note(f"{name} receives {'nothing' if deaf else 'again'}")
            group.members[name].deaf = deaf
            if not deaf:
                group.spread(len(group.log))

        world.store.on_promotion = promote
        try:
            for name in ("n0", "n1", "n2"):
                world.start(name)
            if not world.wait_ready(("n0", "n1", "n2")):
                print("the instances were not ready")
                return NOT_RUN
            clients = [Client(number, world, answers) for number in range(SESSIONS)]
            jobs = [gevent.spawn(client.run) for client in clients]
            gevent.sleep(3.0)
            first = group.members[group.primary]
            note(f"{first.id}, the primary, reports that it is draining")
            first.draining = True
            world.announce()
            gevent.sleep(9.0)
            for client in clients:
                client.stopping = True
            gevent.joinall(jobs, timeout=6)
        finally:
            world.close()
        if os.environ.get("KEEP"):
            os.system(f"cp {folder}/*.log {HERE}")
    if not ordered:
        print("no promotion was ordered")
        return NOT_RUN
    return judge(group, answers, notes)


def judge(group, answers, notes):
    lost = {
        data: request
        for _, writes, request in group.cut_back
        for data in writes.values()
    }
    acknowledged = [a for a in answers if a[4] and a[5] == "OK"]
    broken = [a for a in acknowledged if a[4] in lost]
    with (HERE / "record.txt").open("w") as file:
        for at, text in notes:
            file.write(f"{at:.3f} {text}\n")
        for sent, at, request, text, _data, code, receipt in answers:
            file.write(
                f"{sent:.3f} sent {request} {text} | {at:.3f} answered {code} {receipt}\n"
            )
        for at, database, connection, tenant, request, text, _key in group.runs:
            file.write(
                f"{at:.3f} run at {database} on {connection} for {tenant}: {request} {text}\n"
            )
        for _sent, at, request, text, *_ in broken:
            file.write(
                f"BROKEN LOST {at:.3f} {request} {text}: acknowledged, not in the promoted log\n"
            )
    print(
        f"{len(acknowledged)} acknowledged, {len(lost)} cut back, {len(broken)} of them acknowledged"
    )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(main))
