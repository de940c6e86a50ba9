"""A line feed inside a field ends the message early."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import Client, configuration, Group, Pooler, run_case, SetupFailed, Store


async def case(record, scratch, poolers, trouble):
    store = Store(record)
    await store.start()
    group = Group(store, record)
    await group.start()
    store.write("op/config", configuration(7, {"tenant": ["key-1"]}))
    poolers += [Pooler(scratch, store, record, n) for n in range(2)]
    for pooler in poolers:
        pooler.start()
    for pooler in poolers:
        await pooler.ready()
    end = "\n" if trouble else " "
    sent = {}
    for pooler in poolers:
        client = Client(record, pooler.callers, f"client at {pooler.name}")
        if not (await client.start("bookings", "key-1")).startswith("READY"):
            raise SetupFailed("no session")
        for text in (
            f"WRITE note ring twice{end}then wait",
            f"WRITE memo x{end}QUERY smuggled WRITE deposit 0",
        ):
            await client.query(text)
            sent[client.last] = text
            await asyncio.sleep(0.5)
        client.close()
    wrong = []
    for _, name, _, number, text in group.runs:
        if sent.get(number) != text:
            wrong.append(number)
            record("WRONG:", name, "ran", number, repr(text), "but the client sent",
                   repr(sent.get(number)))
    if not trouble and len(group.runs) != len(sent):
        raise SetupFailed("a plain write was not run")
    return wrong and f"{len(wrong)} statements ran that no client sent"


run_case(case, Path(__file__).resolve().parent)
