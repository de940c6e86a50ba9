"""Stop a pooler with SIGTERM while clients are inside read transactions."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from world import configuration, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "huvo11a"
GRACE_S = 6.0
BUDGET_S = 6.0  # time budget of an operation on the bounded_stale route
CLIENTS = 4


async def case(world):
    group = world.add_group(SERVICE)
    for name, zone in (("i-0a", "oslo-a"), ("i-0b", "oslo-b"), ("i-0c", "bergen-a")):
        group.add(name, zone, work_s=0.022)
    await world.start(configuration(SERVICE))
    loop = asyncio.get_running_loop()
    stopped_at = loop.time() + 1.5
    unanswered = []

    async def stop():
        await asyncio.sleep(stopped_at - loop.time())
        if TROUBLE == "1":
            world.signal("front-1", signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            process = world.poolers["front-1"]["process"]
            if process.poll() is None:
                world.signal("front-1", signal.SIGKILL)

    async def transaction(number):
        """Run one transaction of 12 statements, with pauses, within its time budget."""
        client = await world.session("front-1").open("view", "key-nypu")
        await asyncio.sleep(stopped_at - 0.3 + 0.01 * number - loop.time())
        begun_at = loop.time()
        # The pauses are shorter than tx-idle-ms (3 s).
        rests = [0.8, 1.4, 1.4, 1.5 - 0.012 * number, *[0.0] * 6]
        sent_at, request = 0.0, ""
        try:
            await client.query("BEGIN READ")
            for rest in rests:
                sent_at, request = loop.time(), f"{number}{next(world.ids):015x}"
                answer = await client.query("READ 1a4", request)
                if answer.code:
                    return
                await asyncio.sleep(rest)
            sent_at, request = loop.time(), f"{number}{next(world.ids):015x}"
            await client.query("COMMIT", request)
        except ConnectionError:
            after = sent_at - stopped_at
            arrived = request in group.arrived
            within = loop.time() - begun_at < BUDGET_S
            world.record(
                f"{request} was sent {after:.3f} s after the SIGTERM, reached a database:"
                f" {arrived}, within its time budget: {within}; no answer came"
            )
            if arrived and within and 3.0 < after:
                unanswered.append(request)
        finally:
            client.close()

    seconds = loop.time()
    await asyncio.gather(stop(), *(transaction(number) for number in range(CLIENTS)))
    world.record(f"ended after {loop.time() - seconds:.3f} s")
    print(f"requests that reached a database and were cut off: {len(unanswered)}")
    return 1 if unanswered else 0


play(HERE, case)
