"""Play random disruptions against real poolers and judge what clients and databases saw.

Usage: random_stops.py SEED [SECONDS [FAULT,...]]. PINNEDLATE names a transaction whose first
statement runs on a second connection after later ones have run on the first.
"""

import os, random, signal, sys, tempfile, time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import gevent
from world import *

SEED = int(sys.argv[1])
SECONDS = float(sys.argv[2]) if len(sys.argv) > 2 else 60
FAULTS = (
    sys.argv[3].split(",")
    if len(sys.argv) > 3
    else "kill,stop,term,crash,dark,store,release,revoke,herd,lost,slow,restored".split(
        ","
    )
)
rng = random.Random(SEED)
TIMEOUT = 1.5
answers = []
notes = []


def note(*a):
    notes.append((time.monotonic(), " ".join(map(str, a))))


class Client:
    def __init__(self, number, world):
        self.number = number
        self.world = world
        self.r = count(1)
        self.stopping = False
        self.rng = random.Random(SEED * 1000 + number)

    def req(self):
        return f"c{self.number}x{next(self.r)}"

    def run(self):
        while not self.stopping:
            name = self.rng.choice(list(self.world.ports))
            k = self.rng.randrange(self.world.declared["tenants"])
            route = self.rng.choice(["strict", "aged", "own"])
            try:
                s = Session(self.world.ports[name], route, f"key-{k}")
            except (OSError, Lost):
                gevent.sleep(0.1)
                continue
            try:
                self.work(s, route, k, name)
            except Lost:
                pass
            finally:
                s.close()

    def ask(self, s, op, text):
        q = self.req()
        t = time.monotonic()
        try:
            code, rows, rec = s.ask(q, text)
        except Lost:
            op["steps"].append((q, text, t, time.monotonic(), "LOST", [], ""))
            raise
        op["steps"].append((q, text, t, time.monotonic(), code or "OK", rows, rec))
        return code, rows

    def work(self, s, route, k, name):
        vals = {}
        prep = False
        sid = object()
        for _ in range(self.rng.randrange(1, 25)):
            if self.stopping:
                return
            op = dict(
                client=self.number,
                session=id(sid),
                sid=sid,
                route=route,
                tenant=f"t{k}",
                via=name,
                steps=[],
                writes=[],
                vals=dict(vals),
                tx=False,
                outcome=None,
            )
            answers.append(op)
            r = self.rng.random()
            if r < 0.1:
                v = f"z{self.rng.randrange(5)}"
                op["kind"] = "set"
                c, _ = self.ask(s, op, f"SET zone {v}")
                if c:
                    return
                vals["zone"] = v
                continue
            if r < 0.15:
                op["kind"] = "prep"
                c, _ = self.ask(s, op, f"PREPARE p READ q{self.number}")
                if c:
                    return
                prep = True
                continue
            if r < 0.5:
                op["kind"] = "read"
                it = f"i{self.rng.randrange(8)}"
                c, _ = self.ask(
                    s,
                    op,
                    (
                        f"EXECUTE p {it}"
                        if prep and self.rng.random() < 0.5
                        else f"READ {it}"
                    ),
                )
            elif r < 0.75:
                op["kind"] = "write"
                it = f"i{self.rng.randrange(8)}"
                d = f"d{self.number}x{next(self.r)}"
                op["writes"].append((it, d))
                c, _ = self.ask(s, op, f"WRITE {it} {d}")
            else:
                op["kind"] = "tx"
                op["tx"] = True
                ro = self.rng.random() < 0.2
                self.ask(s, op, "BEGIN READ" if ro else "BEGIN")
                n = self.rng.randrange(1, 5)
                for _ in range(n):
                    if s.state != "T":
                        break
                    it = f"i{self.rng.randrange(8)}"
                    if not ro and self.rng.random() < 0.6:
                        d = f"d{self.number}x{next(self.r)}"
                        op["writes"].append((it, d))
                        self.ask(s, op, f"WRITE {it} {d}")
                    else:
                        self.ask(s, op, f"READ {it}")
                    gevent.sleep(self.rng.expovariate(30))
                if self.rng.random() < 0.1:
                    return
                if s.state == "T" and self.rng.random() < 0.8:
                    self.ask(s, op, "COMMIT")
                else:
                    self.ask(s, op, "ROLLBACK")
            if s.state != "I":
                return
            gevent.sleep(self.rng.expovariate(20))


def judge(world, group):
    out = []
    comm = {}
    for i, (t, w, q) in enumerate(group.log):
        for it, d in w.items():
            comm.setdefault(d, []).append(i)
    cut = {}
    for t, w, q in group.cut_back:
        for it, d in w.items():
            cut.setdefault(d, []).append(q)
    asked = {st[0]: (op, st) for op in answers for st in op["steps"]}
    acked = {}
    for op in answers:
        last = op["steps"][-1] if op["steps"] else None
        if not last:
            continue
        oc = "UNK"
        if op["kind"] == "write":
            oc = "OK" if last[4] == "OK" else "NOT" if last[4] in PROMISES else "UNK"
        if op["kind"] == "tx":
            if last[1] == "COMMIT":
                oc = (
                    "OK" if last[4] == "OK" else "NOT" if last[4] in PROMISES else "UNK"
                )
            else:
                oc = "NOT"
        op["oc"] = oc
        for it, d in op["writes"]:
            n = len(comm.get(d, ())) + 0
            if n > 1:
                out.append(f"TWICE {last} {comm[d]}")
            if oc == "NOT" and (d in comm or d in cut):
                out.append(f"REFUSED {last} d={d} in log")
            if (
                oc == "OK"
                and d not in comm
                and d not in cut
                and not (
                    op["kind"] == "tx"
                    and len([1 for a, b in op["writes"] if a == it]) > 1
                )
            ):
                out.append(f"LOSTACK {last} d={d}")
            if oc == "OK" and d in comm:
                acked.setdefault(it, []).append(
                    (last[3], comm[d][0], op["session"], op["sid"])
                )
        for st in op["steps"]:
            w = st[1].split()[0]
            if st[4] == "OK" and w in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                if group.receipts.get(st[6]) != st[0]:
                    out.append(f"MIXED {st} receipt of {group.receipts.get(st[6])}")
            if st[4] == "LOST" and (
                st[3] - st[2] > 0.2 or any(r[4] == st[0] for r in group.runs)
            ):
                out.append(
                    f"CUT {st} via {op['via']} ran={[r[0] - st[2] for r in group.runs if r[4] == st[0]]}"
                )
            if st[4] == "LOST" and st[3] - st[2] > TIMEOUT + 1.0:
                out.append(f"HANG {st} via {op['via']}")
            elif st[3] - st[2] > TIMEOUT + 0.6:
                out.append(f"SLOW {st} via {op['via']}")
    for op in answers:
        if op["kind"] == "read" and op["steps"][-1][4] == "OK":
            st = op["steps"][-1]
            it = st[1].split()[-1]
            row = st[5][0] if st[5] else None
            if row in cut:
                continue
            place = -1 if row is None else comm.get(row, [-2])[0]
            if place == -2:
                out.append(f"STALE? shows uncommitted {st}")
                continue
            H = {"strict": 0, "aged": 1.5, "own": 2.5}[op["route"]]
            for at, pl, ses, sid in acked.get(it, ()):
                due = (
                    st[2]
                    if (op["route"] == "own" and ses == op["session"])
                    else st[2] - H
                )
                if at < due and pl > place:
                    out.append(
                        f"STALE {op['route']} {st} acked {st[2] - at:.3f} before"
                    )
                    break
    by = {}
    for t, db, conn, tenant, q, text, key in group.runs:
        if q not in asked:
            out.append(f"UNASKED {q} {text}")
            continue
        op, st = asked[q]
        a, b = text.split(" "), st[1].split(" ")
        if not (a == b or (a[0] == b[0] == "EXECUTE" and a[2:] == b[2:])):
            out.append(f"UNASKED text {text} {st}")
        if tenant != op["tenant"]:
            out.append(f"UNASKED tenant {tenant} {st}")
        if op["tx"] and key is None:
            out.append(f"PINNED outside {q} {text}")
        by.setdefault(id(op), []).append((t, q, key, db, conn))
        if (not op["tx"]) and st[1].split()[0] == "WRITE":
            pass
    for op in answers:
        rs = by.get(id(op), [])
        if op["tx"] and rs:
            # order by time; a statement later than the first on another key than last first
            keys = {r[2] for r in rs}
            if len(keys) > 1:
                order = [(r[1], r[4]) for r in rs]
                nums = [int(r[1].split("x")[1]) for r in rs]
                late = any(nums[i] < nums[i - 1] for i in range(1, len(nums)))
                out.append(f"{'PINNEDLATE' if late else 'rerun'} {order}")
    return out


def main():
    group = Group(slots=2, promote_seconds=rng.choice([0.3, 0.6, 1.0]))
    speed = [1.0]
    group.work = lambda w: min(0.17, random.lognormvariate(-5.2, 0.7)) * speed[0]
    with tempfile.TemporaryDirectory() as folder:
        world = World(
            folder,
            zones=("x", "y", "z", "x"),
            group=group,
            tenants=4,
            timeout_ms=1500,
            idle_ms=1500,
        )
        try:
            names = list(world.ports)
            for n in names:
                world.start(n)
            if not world.wait_ready(names):
                print("not ready")
                return
            cl = [Client(i, world) for i in range(24)]
            jobs = [gevent.spawn(c.run) for c in cl]
            end = time.monotonic() + SECONDS
            started = {n: time.monotonic() for n in names}
            busy = set()

            def fault(f):
                n = rng.choice(names)
                if f in ("kill", "term", "stop"):
                    if n in busy:
                        return
                    busy.add(n)
                    try:
                        fault1(f, n)
                    finally:
                        busy.discard(n)
                else:
                    fault1(f, n)

            def fault1(f, n):
                m = rng.choice(list(group.members.values()))
                if f == "kill" and time.monotonic() - started[n] > 4:
                    note("kill", n)
                    world.signal(n, signal.SIGKILL)
                    gevent.sleep(rng.random() * 1.0)
                    world.start(n)
                    started[n] = time.monotonic()
                elif f == "stop":
                    d = rng.choice([0.15, 0.3, 0.5, 1.0, 3.0])
                    note("stop", n, d)
                    world.signal(n, signal.SIGSTOP)
                    gevent.sleep(d)
                    world.signal(n, signal.SIGCONT)
                elif f == "term":
                    note("term", n)
                    p = world.processes[n]
                    world.signal(n, signal.SIGTERM)
                    t = time.monotonic()
                    while p.poll() is None and time.monotonic() - t < 7:
                        gevent.sleep(0.05)
                    note("ended", n, p.poll())
                    if p.poll() is None:
                        p.kill()
                        p.wait()
                        note("HARD KILL", n)
                    gevent.sleep(0.3)
                    world.start(n)
                    started[n] = time.monotonic()
                elif (
                    f == "crash"
                    and m.running
                    and sum(x.running for x in group.members.values()) == 3
                ):
                    note("crash", m.id, m.leads)
                    m.crash()
                    world.announce()
                    gevent.sleep(rng.choice([0.5, 2, 5]))
                    restart(m)
                    note("back", m.id)
                elif f == "dark":
                    note("dark", m.id, m.leads)
                    m.dark = True
                    gevent.sleep(rng.choice([0.3, 1, 4]))
                    m.dark = False
                elif f == "store":
                    how = rng.choice(["down", "lose", "forget"])
                    d = rng.choice([0.3, 1, 3])
                    note("store", how, d)
                    if how == "down":
                        world.store.down = True
                        gevent.sleep(d)
                        world.store.down = False
                    elif how == "lose":
                        world.store.lose_answers = True
                        gevent.sleep(d)
                        world.store.lose_answers = False
                    else:
                        world.store.forget_history()
                elif f == "restored":
                    c = world.store.make_copy()
                    gevent.sleep(rng.choice([1, 4, 8]))
                    note("restored")
                    world.store.down = True
                    gevent.sleep(0.5)
                    world.store.restore(c)
                    world.store.down = False
                    world.declare()
                    for mm in group.members.values():
                        if mm.running:
                            world.store.put(f"servers/{mm.id}", mm.entry())
                elif f == "release" and m.running:
                    note("drain", m.id, m.leads)
                    m.draining = True
                    gevent.sleep(rng.choice([2, 4]))
                    m.draining = False
                elif f == "lost":
                    note("lost answers", m.id)
                    m.lose = 0.3
                    gevent.sleep(2)
                    m.lose = 0
                elif f == "slow":
                    note("slow")
                    speed[0] = rng.choice([5, 10])
                    gevent.sleep(2)
                    speed[0] = 1
                elif f == "version":
                    world.version += 1
                    world.declare()

            while time.monotonic() < end:
                gevent.spawn(fault, rng.choice(FAULTS))
                gevent.sleep(rng.expovariate(1 / 0.9))
            note("calm")
            gevent.sleep(10)
            for n in names:
                world.signal(n, signal.SIGCONT)
            for m in group.members.values():
                m.dark = False
            for c in cl:
                c.stopping = True
            gevent.joinall(jobs, timeout=8)
            calm = [t for t, x in notes if x == "calm"][0] + 4
            late = [op for op in answers if op["steps"] and op["steps"][0][2] > calm]
            ok = sum(op["steps"][-1][4] == "OK" for op in late)
            print(
                f"seed {SEED}: ops {len(answers)} after calm {ok}/{len(late)}",
                "alive",
                {n: world.processes[n].poll() for n in names},
            )
            bad = judge(world, group)
            from collections import Counter

            print(Counter(b.split()[0] for b in bad))
            for t, x in notes:
                print(f"{t:.3f} {x}")
            for b in [b for b in bad if not b.startswith(("rerun", "SLOW"))][:8]:
                print("  ", b[:400])
        finally:
            world.close()


def restart(m):
    m.server = StreamServer(("127.0.0.1", m.server.server_port), m.serve)
    m.server.start()
    m.running = True
    m.received = min(m.received, len(m.group.log))
    m.applied = min(m.applied, len(m.group.log))
    m.group.spread(len(m.group.log))


# dark and lost answers
_old = Connection.serve


def serve(self):
    db = self.database
    real = self.sock

    class S:
        def sendall(s, data):
            while getattr(db, "dark", False):
                gevent.sleep(0.05)
            if (
                getattr(db, "lose", 0)
                and data.startswith((b"ROW", b"COMPLETE"))
                and random.random() < db.lose
                and not data.startswith(b"COMPLETE -")
            ):
                raise OSError("lost")
            real.sendall(data)

        def __getattr__(s, n):
            return getattr(real, n)

    self.sock = S()
    _old(self)


Connection.serve = serve
main()
