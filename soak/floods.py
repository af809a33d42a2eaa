"""The process of a flood: clients that fill a router's memory or take its time, at full speed.

Its arguments are the kind, the number and port of the router, the number of clients, the duration in seconds,
a seed, and the path of its records. The clients of a flood check nothing: the other clients do, which must
not be harmed.
"""

import asyncio
import contextlib
import random
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from soak import site
from soak.plan import FaultKind
from soak.records import FloodSent, Recorder
from soak.thrift_messages import encode_cancel, encode_request

BATCH_REQUESTS = 32  # the maximum number of open requests of a client
BODY_BYTES = 16_384
STATED_FRAME_BYTES = 40_000  # of a message whose rest never comes
MAX_BATCH_DELAY_S = 0.02  # from a batch of requests to their cancellations
HALF_MESSAGE_TIMEOUT_S = 4.0  # longer than a router may take to close the connection
REPEATED_IDS = 4  # requests of a client that comes back with the same ids
MAX_ABSENCE_S = 0.25  # from these requests to the close of their connection
READ_BYTES = 65_536
FUNCTION_COUNT = 8  # of floods that do not request new ones
SILENT_SHARE = 0.5

Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""What a client of a flood does on one connection."""


class Flood:
    """The clients of a flood at one router, until a time in monotonic seconds."""

    def __init__(self, router: int, port: int, until: float, rng: random.Random, recorder: Recorder) -> None:
        self._router = router
        self._port = port
        self._until = until
        self._rng = rng
        self._recorder = recorder
        self._body = rng.randbytes(BODY_BYTES)
        self._is_silent = rng.random() < SILENT_SHARE  # whether workers never answer for the new functions
        self._functions = [self._new_function() for _ in range(FUNCTION_COUNT)]
        self._talks: dict[str, Talk] = {
            FaultKind.NEW_FUNCTIONS: self._request_new_functions,
            FaultKind.LARGE_REQUESTS: self._write_large_requests,
            FaultKind.HALF_REQUESTS: self._write_half_a_request,
            FaultKind.RECONNECTS: self._request_and_leave,
            FaultKind.REPEATED_IDS: self._repeat_ids,
        }

    async def run(self, kind: str, client_count: int) -> None:
        """Run clients, each of which connects again and again."""
        await asyncio.gather(*(self._run_client(self._talks[kind]) for _ in range(client_count)))

    async def _run_client(self, talk: Talk) -> None:
        while not self._is_over():
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                try:
                    await asyncio.wait_for(talk(reader, writer), max(0.1, self._until - time.monotonic()))
                finally:
                    writer.close()
            await asyncio.sleep(0)

    def _is_over(self) -> bool:
        return time.monotonic() >= self._until

    # --- the kinds of clients -----------------------------------------------------------------

    async def _request_new_functions(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Request ever new functions, and withdraw each request soon."""
        reading = asyncio.create_task(_discard(reader))
        seqid = 0
        while not reading.done():
            numbers = range(seqid + 1, seqid + 1 + BATCH_REQUESTS)
            await self._write(writer, [self._request(number, "view") for number in numbers])
            await asyncio.sleep(self._rng.uniform(0.0, MAX_BATCH_DELAY_S))
            writer.write(b"".join(encode_cancel(number) for number in numbers))
            await writer.drain()
            seqid += BATCH_REQUESTS

    async def _write_large_requests(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Write large requests, and read no answer."""
        seqid = 0
        while True:
            seqid += 1
            function = self._rng.choice(self._functions)
            await self._write(writer, [self._request(seqid, "view", self._body, row=function)])

    async def _write_half_a_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Stop within a message, and wait for the router's reaction."""
        writer.write(struct.pack(">I", STATED_FRAME_BYTES) + self._request(1, "view", self._body)[4:])
        await asyncio.wait_for(reader.read(1), HALF_MESSAGE_TIMEOUT_S)

    async def _request_and_leave(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Request new functions, and close the connection at once."""
        await self._write(writer, [self._request(number, "save") for number in range(1, BATCH_REQUESTS + 1)])

    async def _repeat_ids(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Close the connection soon after some requests, and send them again on a new one."""
        ids = [f"{self._rng.getrandbits(64):016x}" for _ in range(REPEATED_IDS)]
        function = self._rng.choice(self._functions)
        requests = [
            self._request(number, "settle", row=function, call=id_) for number, id_ in enumerate(ids, 1)
        ]
        await self._write(writer, requests)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_ABSENCE_S))
        writer.close()
        _, again = await asyncio.open_connection("127.0.0.1", self._port)
        await self._write(again, requests)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_ABSENCE_S))
        again.close()

    # --- messages -----------------------------------------------------------------------------

    async def _write(self, writer: asyncio.StreamWriter, requests: list[bytes]) -> None:
        writer.write(b"".join(requests))
        self._recorder.add(FloodSent(self._router, time.monotonic(), len(requests)))
        await writer.drain()

    def _request(self, seqid: int, class_name: str, body: bytes = b"", **changes: str) -> bytes:
        fields = {
            "op": class_name,
            "call": f"{self._rng.getrandbits(64):016x}",
            "ttl": str(int(site.MAX_TIMEOUT_MS)),
            "org": site.TENANTS[0],
            "row": self._new_function(),
            "props": f"memory_mb:128;lanes:{site.WORKER_CONCURRENCY}",
        }
        if class_name == "save":
            fields["dedupe"] = fields["call"] * 2
        return encode_request(seqid, fields | changes, body)

    def _new_function(self) -> str:
        name = f"{self._rng.getrandbits(64):016x}"
        prefix = site.SILENT_FUNCTION_PREFIX if self._is_silent else ""
        return prefix + name[len(prefix) :]


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(READ_BYTES):
            pass


async def main(arguments: list[str]) -> None:
    """Run the flood that the arguments describe."""
    kind, router, port, client_count, seconds, seed, record_path = arguments
    recorder = Recorder(Path(record_path))
    until = time.monotonic() + float(seconds)
    flood = Flood(int(router), int(port), until, random.Random(f"flood of {seed}"), recorder)
    await flood.run(kind, int(client_count))
    recorder.close()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
