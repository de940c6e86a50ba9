"""A planned stop cuts statements that a database is running."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from standins import Client, configuration, Group, Pooler, run_case, SetupFailed, Store

# From the sheet of rota-view: a time budget of 6,000 ms, work of 170 ms at most, and
# transactions of up to 12 statements with pauses between them.
BUDGET_SECONDS = 6.0
WORK_SECONDS = 0.1
PAUSE_SECONDS = 0.4
STATEMENTS = 12
SESSIONS = 20
# Half of the transactions begin before the SIGTERM.
BEGIN_AFTER_SECONDS = (-0.45, 1.2)
GRACE_SECONDS = 6.0


async def transaction(client, record, begin_at):
    """Run one transaction; return the statement that was cut, if one was."""
    await asyncio.sleep(max(0.0, begin_at - record.now()))
    steps = ["BEGIN READ", *[f"READ i{n}" for n in range(STATEMENTS - 2)], "COMMIT"]
    for text in steps:
        sent = record.now()
        answer = await client.query(text)
        if not answer:
            return sent, client.last, text, record.now() - begin_at
        if answer[0].startswith("ERROR"):
            # A promise; the client would try again elsewhere.
            return None
        await asyncio.sleep(PAUSE_SECONDS)
    return None


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
    for member in group.members:
        member.work_s = WORK_SECONDS
    clients = []
    for number in range(SESSIONS):
        client = Client(record, poolers[0].callers, f"client {number}")
        if not (await client.start("views", "key-1")).startswith("READY"):
            raise SetupFailed("no session")
        clients.append(client)
    # The machines are in touch from 4 s after their start on.
    await asyncio.sleep(5)
    told = record.now() + 1
    jobs = [
        asyncio.create_task(
            transaction(client, record, told + BEGIN_AFTER_SECONDS[n % 2] + 0.025 * n)
        )
        for n, client in enumerate(clients)
    ]
    await asyncio.sleep(told - record.now())
    if trouble:
        poolers[0].signal(signal.SIGTERM)
        while poolers[0].process.poll() is None:
            if record.now() > told + GRACE_SECONDS:
                poolers[0].signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
        record(f"the process ended {record.now() - told:.2f} s after SIGTERM")
    cut = []
    for found in await asyncio.gather(*jobs):
        if found is None:
            continue
        sent, number, text, lasted = found
        ran = any(run[3] == number for run in group.runs)
        record("CUT:", number, text, f"sent {sent - told:.2f} s after SIGTERM,",
               f"{lasted:.2f} s after the transaction's begin,",
               "run by a database" if ran else "not seen at a database")
        if ran and sent - told > 3 and lasted < BUDGET_SECONDS:
            cut.append(f"{number} {text}")
    if not any(run[4] == "COMMIT" for run in group.runs) and not trouble:
        raise SetupFailed("no transaction was committed")
    return cut and f"{len(cut)} requests cut that a database was running: {cut}"


run_case(case, Path(__file__).resolve().parent)
