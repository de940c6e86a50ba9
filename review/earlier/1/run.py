"""Crash a primary while one replica applies late and the other receives nothing."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from world import configuration, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
LAG_S = 0.06 * 60  # replicas are 60 ms behind, x = 60
SERVICE = "huvo11a"


async def case(world):
    group = world.add_group(SERVICE, sync_replicas=1)
    primary = group.add("i-0a", "oslo-a")
    late = group.add("i-0b", "oslo-b")
    deaf = group.add("i-0c", "bergen-a")
    await world.start(configuration(SERVICE, sync_replicas=1))
    client = await world.session("front-1").open("confirm", "key-nypu")
    written = 0

    async def write_for(seconds):
        nonlocal written
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            answer = await client.query(f"WRITE 1a4 value{written + 1}")
            if answer.code:
                return
            written += 1
            await asyncio.sleep(0.04)

    await write_for(2.0)
    if TROUBLE == "1":
        world.record(f"{late.name} applies commits {LAG_S} s late (replica_lag)")
        late.apply_s = LAG_S
    await write_for(4.0)
    if TROUBLE == "1":
        world.record(f"{deaf.name} receives nothing (replica_lag, deaf)")
        deaf.deaf = True
    await write_for(1.0)
    if TROUBLE in ("1", "crash"):
        primary.crash()
        end = asyncio.get_running_loop().time() + 15.0
        while group.term == 1 and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        if group.term == 1:
            world.record("nothing was promoted")
            return 0
        # The lag ends, the former primary comes back as a replica.
        late.apply_s, deaf.deaf = 0.06, False
    await asyncio.sleep(2.0)
    reader = await world.session("front-2").open("confirm", "key-nypu")
    found = ""
    for _ in range(40):
        answer = await reader.query("READ 1a4")
        if not answer.code:
            found = (answer.rows or ["nothing"])[0]
            break
        await asyncio.sleep(0.25)
    lost = len(group.lost)
    world.record(f"acknowledged last: value{written}; a strict read returns: {found}")
    world.record(f"acknowledged commits that the promoted database lacks: {lost}")
    print(f"acknowledged: value{written}, read: {found}, commits lost: {lost}")
    return 1 if lost else 0


play(HERE, case)
