"""A process is killed several times; each new one takes answers meant for the former."""

from __future__ import annotations

import os
import random
import signal
import sys
import tempfile
import time
from itertools import count
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

import gevent  # noqa: E402
from world import BROKEN, Group, HELD, Lost, NOT_RUN, PROMISES, run_case, Session, World  # noqa: E402

SESSIONS = 40
KILLS = 20
# From the first answer of a new process to its kill.
GAP_SECONDS = 0.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Client:
    """Run single reads and writes of an item of its own, one session after another."""

    def __init__(self, number, world, record):
        self.number, self.world, self.record = number, world, record
        self.item, self.written = f"item{number}", set()
        self.requests = count(1)
        self.stopping = False

    def run(self):
        while not self.stopping:
            try:
                session = Session(
                    self.world.ports["n1"], "strict", f"key-{self.number % 2}"
                )
            except (OSError, Lost):
                gevent.sleep(0.03)
                continue
            try:
                while not self.stopping:
                    self.operate(session)
            except Lost:
                pass
            finally:
                session.close()

    def operate(self, session):
        request = f"c{self.number}x{next(self.requests)}"
        data = ""
        if random.random() < 0.35:
            data = f"v{self.number}x{request}"
            self.written.add(data)
            text = f"WRITE {self.item} {data}"
        else:
            text = f"READ {self.item}"
        sent = time.monotonic()
        try:
            code, rows, receipt = session.ask(request, text)
        except Lost:
            self.record(self, request, text, data, sent, "no answer", [], "")
            raise
        self.record(self, request, text, data, sent, code or "OK", rows, receipt)
        if code:
            gevent.sleep(0.05)


def main():
    group = Group(slots=2)
    group.work = lambda word: min(0.17, random.lognormvariate(-4.06, 0.7))
    answers = []

    def record(*fields):
        answers.append((time.monotonic(), *fields))

    with tempfile.TemporaryDirectory() as folder:
        world = World(folder, group=group)
        notes = []
        try:
            for name in ("n0", "n1", "n2"):
                world.start(name)
            if not world.wait_ready(("n0", "n1", "n2")):
                print("the instances were not ready")
                return NOT_RUN
            clients = [Client(number, world, record) for number in range(SESSIONS)]
            jobs = [gevent.spawn(client.run) for client in clients]
            gevent.sleep(4.0)
            for _ in range(KILLS):
                if TROUBLE:
                    world.signal("n1", signal.SIGKILL)
                    notes.append((time.monotonic(), "n1 is killed and started again"))
                    world.start("n1")
                    # Until it serves again, and a little longer.
                    mark = time.monotonic()
                    while not any(a[0] > mark and a[6] == "OK" for a in answers):
                        gevent.sleep(0.01)
                    gevent.sleep(GAP_SECONDS)
                else:
                    gevent.sleep(0.6)
            gevent.sleep(4.0)
            for client in clients:
                client.stopping = True
            gevent.joinall(jobs, timeout=6)
            gevent.sleep(1.0)
        finally:
            world.close()
        if os.environ.get("KEEP"):
            os.system(f"cp {folder}/*.log {HERE}")
    return judge(group, answers, notes)


def judge(group, answers, notes):
    committed = {}
    for _, writes, request in group.log:
        for data in writes.values():
            committed.setdefault(data, []).append(request)
    asked = {answer[2] for answer in answers}
    faults, done = [], 0
    for at, client, request, text, data, sent, code, rows, receipt in answers:
        if code == "OK":
            done += 1
            of = group.receipts.get(receipt)
            if of != request:
                faults.append(
                    f"MIXED {at:.3f} {request} {text!r}: success with rows {rows} and a receipt of {of}"
                )
            elif rows and rows[0] not in client.written:
                faults.append(
                    f"MIXED {at:.3f} {request} {text!r}: rows {rows} are another client's"
                )
        elif code in PROMISES and data in committed:
            faults.append(
                f"REFUSED {at:.3f} {request} {text!r}: {code}, and committed by {committed[data]}"
            )
        if data and len(committed.get(data, ())) > 1:
            faults.append(f"TWICE {request} {text!r}")
    with (HERE / "record.txt").open("w") as file:
        for at, note in notes:
            file.write(f"{at:.3f} {note}\n")
        for at, _client, request, text, _data, sent, code, rows, receipt in answers:
            file.write(
                f"{sent:.3f} sent {request} {text} | {at:.3f} answered {code} {rows} {receipt}\n"
            )
        for at, database, connection, tenant, request, text, _key in group.runs:
            file.write(
                f"{at:.3f} run at {database} on {connection} for {tenant}: {request} {text}\n"
            )
        for line in faults:
            file.write(f"BROKEN {line}\n")
    print(
        f"{len(answers)} answers, {done} successes, {len(asked)} requests, {len(faults)} broken"
    )
    for line in faults[:10]:
        print(line)
    return BROKEN if faults else HELD


if __name__ == "__main__":
    sys.exit(run_case(main))
