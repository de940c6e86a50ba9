"""Let clients read large answers slowly, at two poolers."""

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
from world import configuration, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
SERVICE = "huvo11a"
MEMORY_MB = 427  # of the smallest machines of the site
RESTART_S = 0.5  # the platform restarts an ended process after a short delay
PEERS = 60  # at each of two poolers
ROWS, ROW_BYTES = 8, 1_000_000  # a message is at most 1 MiB
ROUNDS = 3
ROUND_S = 7.0


def resident_mb(process):
    try:
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) // 1024
    except OSError:
        pass
    return 0


async def case(world):
    group = world.add_group(SERVICE)
    for name, zone in (("i-0a", "oslo-a"), ("i-0b", "oslo-b"), ("i-0c", "bergen-a")):
        member = group.add(name, zone)
        member.rows_of = {"7f0": ["v" * ROW_BYTES] * ROWS}
    await world.start(configuration(SERVICE))
    loop = asyncio.get_running_loop()
    ends = {name: 0 for name in world.poolers}
    peaks = {name: 0 for name in world.poolers}

    async def platform(name):
        """Kill a process that exceeds its memory, and restart it."""
        while True:
            pooler = world.poolers[name]
            used = resident_mb(pooler["process"])
            peaks[name] = max(peaks[name], used)
            if used > MEMORY_MB:
                ends[name] += 1
                world.record(f"{name} uses {used} MB of {MEMORY_MB} MB: it is killed")
                pooler["process"].kill()
                pooler["process"].wait()
                await asyncio.sleep(RESTART_S)
                pooler["settings"]["first_start"] = False
                world.launch(name)
            await asyncio.sleep(0.02)

    async def reader(pooler, number, begins_at):
        """Read one large answer, slowly."""
        await asyncio.sleep(begins_at + number * 0.05 - loop.time())
        host, _, port = world.poolers[pooler]["settings"]["callers"].partition(":")
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (host, int(port)))
            request = f"{next(world.ids):016x}"
            await loop.sock_sendall(sock, b"START view key-nypu\r\n")
            await loop.sock_recv(sock, 100)
            await loop.sock_sendall(sock, f"QUERY {request} READ 7f0\r\n".encode())
            size, pause = (16_384, 0.1) if TROUBLE == "1" else (1 << 18, 0.0)
            total, tail = 0, b""
            while loop.time() < begins_at + ROUND_S - 1.0:
                data = await loop.sock_recv(sock, size)
                total, tail = total + len(data), (tail + data)[-60:]
                if not data or b"READY" in tail:
                    break
                await asyncio.sleep(pause)
            outcome = "ended" if b"READY" in tail else "cut off" if not data else "left"
            world.record(f"{request} at {pooler}: read {total} bytes, {outcome}")
        except OSError as error:
            world.record(f"a reader at {pooler}: {type(error).__name__}")
        finally:
            sock.close()

    async def bystander(pooler):
        """Write small items all the while, and count what gets no answer."""
        unanswered = 0
        while True:
            session = world.session(pooler)
            session.quiet = True
            try:
                await session.open("confirm", "key-nypu")
                while True:
                    request = f"{next(world.ids):016x}"
                    try:
                        await session.query("WRITE 2b9 x", request)
                    except ConnectionError:
                        unanswered += 1
                        world.record(f"a small write at {pooler}, {request}: no answer")
                        raise
                    await asyncio.sleep(0.05)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
            finally:
                session.close()

    tasks = [asyncio.ensure_future(platform(name)) for name in world.poolers]
    tasks += [asyncio.ensure_future(bystander(name)) for name in world.poolers]
    attacked = ["front-1", "front-2"]
    for _ in range(ROUNDS):
        await asyncio.gather(*(world.wait_ready(name) for name in attacked))
        begins_at = loop.time() + 0.5
        await asyncio.gather(
            *(reader(name, number, begins_at) for name in attacked for number in range(PEERS))
        )
        await asyncio.sleep(max(0.0, begins_at + ROUND_S - loop.time()))
    for task in tasks:
        task.cancel()
    world.record(f"highest memory: {peaks} MB; ends for memory: {ends}")
    print(f"highest memory: {peaks} MB of {MEMORY_MB}; ends: {ends}")
    return 1 if sum(count >= 3 for count in ends.values()) >= 2 else 0


play(HERE, case)
