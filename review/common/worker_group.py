"""Many workers in one process, each with a loopback address of its own.

Usage: worker_group.py RECORD PORT NETWORK COUNT [NAME=VALUE ...]. `host` has the address of worker I. A line
`I` on standard input lets worker I drain.
"""

import asyncio
import sys
from pathlib import Path

from review.common.worker import Worker

PER_NET = 200


def host(network: int, number: int) -> str:
    """Return the address of a worker of a group."""
    return f"127.{network}.{number // PER_NET}.{number % PER_NET + 1}"


async def main() -> None:
    """Listen until the process is killed."""
    path, port, network, count, *options = sys.argv[1:]
    values = {name: float(value) for name, _, value in (option.partition("=") for option in options)}
    with Path(path).open("a", encoding="utf-8") as record:
        workers = [Worker(record, values, number) for number in range(int(count))]
        for number, worker in enumerate(workers):
            await asyncio.start_server(worker.serve, host(int(network), number), int(port))
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        workers[0].note("listening")
        while line := await reader.readline():
            workers[int(line)].drain()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
