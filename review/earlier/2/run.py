"""Send one message whose last field holds a line feed."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from world import configuration, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "huvo11a"


async def case(world):
    group = world.add_group(SERVICE)
    group.add("i-0a", "oslo-a")
    group.add("i-0b", "oslo-b")
    group.add("i-0c", "bergen-a")
    await world.start(configuration(SERVICE))
    sent = {}
    for pooler in world.poolers:
        client = await world.session(pooler).open("confirm", "key-nypu")
        joint = "\n" if TROUBLE == "1" else " "
        for number in range(3):
            outer, inner = f"{number}a{pooler[-1]:0>14}", f"{number}f{pooler[-1]:0>14}"
            text = f"WRITE 1a4 confirmed{joint}QUERY {inner} WRITE 2b9 cancelled"
            sent[outer] = text
            await client.query(text, outer)
            try:
                # Whatever else comes is an answer to nothing.
                line = await asyncio.wait_for(client.line(), 0.3)
                client.record(f"received without a request: {line}")
                break
            except asyncio.TimeoutError:
                continue
        client.close()
    await asyncio.sleep(0.5)
    wrong = 0
    for _, database, _, tenant, request, text in group.runs:
        if request not in sent:
            wrong += 1
            world.record(f"{database} ran {request} {text!r}, which no client sent")
        elif sent[request] != text:
            wrong += 1
            world.record(f"{database} ran {request} with a changed text: {text!r}")
        else:
            world.record(f"{database} ran {request} {text!r}, as it was sent")
    print(f"messages sent: {len(sent)}, run otherwise: {wrong}")
    return 1 if wrong else 0


play(HERE, case)
