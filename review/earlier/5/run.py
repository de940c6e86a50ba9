"""Freeze the instance that counts a tenant's operations, while the tenant is hot."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from world import configuration, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "huvo11a"
POOLERS = 4
RATE, BURST = 100, 100
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
USUAL = RATE / 1.6  # what the tenant sends otherwise; 7.5 times as much when it is hot
SESSIONS = 40
HOT_S = 6.5
FREEZES = ((0.7, 1.0), (2.9, 1.0))  # start and length


async def case(world):
    group = world.add_group(SERVICE)
    for name, zone in (("i-0a", "oslo-a"), ("i-0b", "oslo-b"), ("i-0c", "bergen-a")):
        group.add(name, zone, work_s=0.004)
    tenants = [
        {"name": "nypu920", "api-keys": ["key-nypu"], "priority": 1,
         "rate-per-s": RATE, "burst": BURST}
    ]
    await world.start(configuration(SERVICE, tenants=tenants), poolers=POOLERS)
    sent, hot = {}, False
    refused = 0

    async def client(pooler, number):
        """Send one read after the other while the tenant is hot."""
        nonlocal refused
        session = world.session(pooler)
        session.quiet = True
        await session.open("view", "key-nypu")
        while True:
            if not hot:
                await asyncio.sleep(0.02)
                continue
            request = f"{next(world.ids):016x}"
            sent[request] = time.monotonic()
            try:
                answer = await session.query(f"READ {number}", request)
            except ConnectionError:
                return
            refused += bool(answer.code)
            # All sessions together ask 7.5 times the usual rate.
            pause = POOLERS * SESSIONS / (7.5 * USUAL)
            await asyncio.sleep(max(0.0, sent[request] + pause - time.monotonic()))

    tasks = [
        asyncio.ensure_future(client(pooler, number))
        for pooler in world.poolers
        for number in range(SESSIONS)
    ]
    # Past the first 20 s of the fleet, in which new buckets are full.
    await asyncio.sleep(max(0.0, 21.0 - (time.monotonic() - world.started_at)))

    async def freeze(pooler, start, length):
        await asyncio.sleep(start)
        world.signal(pooler, signal.SIGSTOP)
        await asyncio.sleep(length)
        world.signal(pooler, signal.SIGCONT)

    for pooler in list(world.poolers):
        world.record("the tenant sends 7.5 times as much as usual")
        hot = True
        jobs = [freeze(pooler, *span) for span in FREEZES] if TROUBLE == "1" else []
        await asyncio.gather(asyncio.sleep(HOT_S), *jobs)
        hot = False
        world.record("the tenant is calm")
        await asyncio.sleep(4.0)
    for task in tasks:
        task.cancel()
    runs = sorted((at, request) for at, _, _, _, request, _ in group.runs if request in sent)
    worst, worst_at = 0, 0.0
    for at in sorted(set(sent[request] for _, request in runs)):
        count = sum(
            1 for ran, request in runs if at <= sent[request] and ran <= at + WINDOW_S
        ) if worst_due(runs, at, worst) else 0
        if count > worst:
            worst, worst_at = count, at
    world.record(f"sent {len(sent)}, run {len(runs)}, refused {refused}")
    world.record(
        f"most in {WINDOW_S} s: {worst}, from {worst_at - world.started_at:.3f};"
        f" allowed {ALLOWED:.0f}"
    )
    print(f"most operations in {WINDOW_S:.0f} s: {worst}, allowed {ALLOWED:.0f}")
    return 1 if worst > ALLOWED else 0


def worst_due(runs, at, worst):
    """Tell whether more operations than known so far ran in the window."""
    import bisect

    low = bisect.bisect_left(runs, (at, ""))
    high = bisect.bisect_right(runs, (at + WINDOW_S, "~"))
    return high - low > worst


play(HERE, case)
