"""Let clients of one tenant flood the poolers with SET statements."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from world import CannotRun, configuration, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "huvo11a"
FLOOD_S, FLOODS = 6.5, 3  # one after the other
PEERS = 3  # at each pooler
CLIENTS = 4  # sound ones at each pooler
BUDGET_S = 2.0


async def case(world):
    group = world.add_group(SERVICE)
    for name, zone in (("i-0a", "oslo-a"), ("i-0b", "oslo-b"), ("i-0c", "bergen-a")):
        group.add(name, zone)
    names = ("nypu920", "dade490")
    tenants = [
        {"name": name, "api-keys": [f"key-{name[:4]}"], "priority": 1,
         "rate-per-s": 100, "burst": 100}
        for name in names
    ]
    await world.start(configuration(SERVICE, tenants=tenants))
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + FLOOD_S * FLOODS  # of the floods and of the clients
    served, failed = 0, 0
    flooders = set()

    async def flood(pooler, peer):
        """Send floods one after the other; without TROUBLE wait for each answer."""
        await asyncio.sleep(0.2 * peer)
        if TROUBLE != "1":
            session = world.session(pooler)
            session.quiet = True
            await session.open("confirm", "key-nypu")
            while loop.time() < ends_at:
                await session.query("SET a b")
            return
        address = world.poolers[pooler]["settings"]["callers"]
        for _ in range(FLOODS):
            process = await asyncio.create_subprocess_exec(
                sys.executable, str(HERE / "flood.py"), address, str(FLOOD_S),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
            )
            flooders.add(process)
            sent, _ = await process.communicate()
            flooders.discard(process)
            world.record(f"a client sent {sent.decode().strip()} SETs to {pooler}")

    async def client(pooler, number):
        """Write items, as a sound client of the other tenant does."""
        nonlocal served, failed
        while loop.time() < ends_at:
            session = world.session(pooler)
            try:
                await session.open("confirm", "key-dade")
                while loop.time() < ends_at:
                    answer = await asyncio.wait_for(
                        session.query(f"WRITE {number} x"), BUDGET_S
                    )
                    if answer.code:
                        failed += 1
                    else:
                        served += 1
                    await asyncio.sleep(0.2)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, CannotRun) as error:
                failed += 1
                session.record(f"gave up: {error!r}")
                await asyncio.sleep(0.2)
            finally:
                session.close()

    async def look():
        while loop.time() < ends_at:
            ready = [await world.is_ready(name) for name in world.poolers]
            world.record(f"ready: {dict(zip(world.poolers, ready))}")
            await asyncio.sleep(1.0)

    try:
        floods = [
            asyncio.ensure_future(flood(name, peer))
            for name in world.poolers
            for peer in range(PEERS)
        ]
        await asyncio.sleep(1.0)
        world.record("the sound clients begin")
        await asyncio.gather(
            look(),
            *(client(name, n) for name in world.poolers for n in range(CLIENTS)),
        )
        during = served
        await asyncio.gather(*floods)
    finally:
        for process in flooders:
            if process.returncode is None:
                process.kill()
    world.record(f"operations served: {during}, given up or refused: {failed}")
    print(f"operations of sound clients served: {during}, given up or refused: {failed}")
    return 1 if during == 0 else 0


play(HERE, case)
