"""Send statements that need no database, without waiting for their answers.

Usage: flood.py HOST:PORT SECONDS. Reads the answers as they come.
"""

import asyncio
import sys
import time


async def main(address, seconds):
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"START confirm key-nypu\r\n")
    await reader.readline()

    async def read():
        try:
            while await reader.read(1 << 20):
                pass
        except ConnectionError:
            pass

    reading = asyncio.ensure_future(read())
    end, sent = time.monotonic() + seconds, 0
    try:
        while time.monotonic() < end and not reading.done():
            lines = (f"QUERY {sent + n:016x} SET a b\r\n" for n in range(4000))
            writer.write("".join(lines).encode())
            sent += 4000
            await writer.drain()
    except ConnectionError:
        pass
    print(sent)
    writer.transport.abort()


asyncio.run(main(sys.argv[1], float(sys.argv[2])))
