"""A replica that has not received acknowledged commits is promoted."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import Client, configuration, Group, Pooler, run_case, SetupFailed, Store

LAG_FACTOR = 60
CRASH_AFTER_SECONDS = 2.5
WRITERS = 4
PAUSE_SECONDS = 0.1


async def write(client, number, acknowledged, stop):
    """Book one visit after the other until the first failure after the crash."""
    step = 0
    while not stop.is_set():
        step += 1
        answer = await client.query(f"WRITE visit-{number}-{step} booked")
        if not answer:
            return
        if answer[0].startswith("COMPLETE"):
            acknowledged.append(client.last)
        await asyncio.sleep(PAUSE_SECONDS)


async def case(record, scratch, poolers, trouble):
    store = Store(record)
    await store.start()
    group = Group(store, record, sync=1)
    await group.start()
    store.write("op/config", configuration(7, {"tenant": ["key-1"]}, sync=1))
    poolers += [Pooler(scratch, store, record, n) for n in range(3)]
    for pooler in poolers:
        pooler.start()
    for pooler in poolers:
        await pooler.ready()
    primary, late, deaf = group.members
    stop, acknowledged, jobs = asyncio.Event(), [], []
    for number in range(WRITERS):
        client = Client(record, poolers[number % 3].callers, f"client {number}")
        if not (await client.start("bookings", "key-1")).startswith("READY"):
            raise SetupFailed("no session")
        jobs.append(asyncio.create_task(write(client, number, acknowledged, stop)))
    await asyncio.sleep(5)
    if trouble:
        late.lag_s *= LAG_FACTOR
        deaf.is_deaf = True
        record(f"{late.id} applies {LAG_FACTOR} times as late; {deaf.id} receives nothing")
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    before = list(acknowledged)
    primary.crash()
    record(primary.id, "crashes;", len(before), "commits were acknowledged")
    for member in (late, deaf):
        record(member.id, "has received", member.point(len(member.log)),
               "and applied", member.point())
    until = record.now() + 20
    while not group.promoted and record.now() < until:
        await asyncio.sleep(0.1)
    if not group.promoted:
        raise SetupFailed("no database was promoted")
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*jobs)
    chosen, log = group.promoted[0]
    held = {number for _, _, number in log}
    lost = [number for number in before if number not in held]
    for number in lost:
        record("LOST:", number, "was acknowledged and is not in the log of", chosen.id)
    return lost and (
        f"{len(lost)} of {len(before)} acknowledged commits are not in the log of"
        f" {chosen.id}, which was promoted"
    )


run_case(case, Path(__file__).resolve().parent)
