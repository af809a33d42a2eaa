"""The proxy between all routers and workers: a tap for the judge, and where faults are injected.

Each pair of a router and a worker has an address of its own, so that what arrives is known by its router.
The first line on standard output has the ports, by router and worker; commands come as JSON lines on
standard input.
"""

import asyncio
import random
import socket
import struct
import sys
import time
from pathlib import Path

import msgspec
from msgspec import Struct

from function_router.net.codecs import worker_frames as frames
from soak.commands import read_commands
from soak.ports import PROXY_PORTS, PortRange, listen
from soak.records import AnswerSeen, AttemptSeen, OrderSeen, Recorder

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


class ProxyCommand(Struct, frozen=True):
    """What the proxy does before a worker from now on."""

    worker: int
    target_port: int | None  # None: connections are refused
    corrupted_share: float = 0.0  # of the worker's answers
    reset_connections: bool = False  # reset those that are open now


class Pair:
    """One router's way to one worker."""

    def __init__(self, router: int, worker: int) -> None:
        self.router = router
        self.worker = worker
        self.port = 0
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()


class FrameTap:
    """Finds the frames in one direction of a connection, and when each began."""

    def __init__(self, direction: int) -> None:
        self._reader = frames.FrameReader(direction)
        self._began_at: float | None = None

    def feed(self, data: bytes) -> list[tuple[float, frames.Frame]]:
        """The frames that are complete now, each with the time of its first byte."""
        now = time.monotonic()
        found: list[tuple[float, frames.Frame]] = []
        for frame in self._reader.feed(data):
            found.append((self._began_at or now, frame))
            self._began_at = None
        if not self._reader.has_partial_frame:
            self._began_at = None
        elif self._began_at is None:
            self._began_at = now
        return found


class Proxy:
    """All pairs, and what is to happen before each worker."""

    def __init__(self, router_count: int, worker_count: int, recorder: Recorder) -> None:
        self.pairs = [[Pair(r, w) for w in range(worker_count)] for r in range(router_count)]
        self._recorder = recorder
        self._ports = PortRange(PROXY_PORTS)
        self._commands: dict[int, ProxyCommand] = {}

    async def listen(self) -> None:
        """Listen for all pairs."""
        for row in self.pairs:
            for pair in row:
                await self._listen(pair)

    async def apply(self, command: ProxyCommand) -> None:
        """Follow a command from now on."""
        self._commands[command.worker] = command
        for pair in (row[command.worker] for row in self.pairs):
            if command.target_port is None and pair.server:
                pair.server.close()
                pair.server = None
            if command.reset_connections or command.target_port is None:
                for writer in list(pair.open):
                    reset(writer)
            if command.target_port is not None and pair.server is None:
                await self._listen(pair)

    async def _listen(self, pair: Pair) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(pair, reader, writer)

        pair.port = pair.port or self._ports.take()
        pair.server = await listen(serve, pair.port)

    async def _serve(self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pair.open.add(writer)
        try:
            port = self._commands[pair.worker].target_port
            worker_reader, worker_writer = await asyncio.open_connection("127.0.0.1", port)
            pumps = (
                self._from_router(pair, reader, worker_writer),
                self._from_worker(pair, worker_reader, writer),
            )
            tasks = [asyncio.create_task(pump) for pump in pumps]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            reset(worker_writer)
        except OSError:
            reset(writer)
        finally:
            pair.open.discard(writer)
            writer.close()

    async def _from_router(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tap = FrameTap(frames.FROM_ROUTER)
        try:
            while data := await reader.read(READ_BYTES):
                for began_at, frame in tap.feed(data):
                    self._record(pair, began_at, frame)
                writer.write(data)
        except OSError:
            pass

    def _record(self, pair: Pair, began_at: float, frame: frames.Frame) -> None:
        now = time.monotonic()
        if frame.code == frames.RUN:
            timeout_ms = float(frame.fields[frames.TIMEOUT_MS_FIELD])
            request_id = frame.exchange_id.hex()
            class_name = frame.fields[frames.CLASS_FIELD]
            self._recorder.add(
                AttemptSeen(pair.router, pair.worker, request_id, began_at, now, timeout_ms, class_name)
            )
        elif frame.code == frames.ENSURE_INSTANCES:
            instances = int(frame.fields[frames.INSTANCES_FIELD])
            self._recorder.add(OrderSeen(pair.router, pair.worker, began_at, now, instances))

    async def _from_worker(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tap = FrameTap(frames.FROM_WORKER)
        try:
            while data := await reader.read(READ_BYTES):
                for _, frame in tap.feed(data):
                    self._recorder.add(
                        AnswerSeen(
                            pair.router, pair.worker, frame.exchange_id.hex(), time.monotonic(), frame.code
                        )
                    )
                writer.write(self._corrupt(pair, data))
        except OSError:
            reset(writer)

    def _corrupt(self, pair: Pair, data: bytes) -> bytes:
        """The same bytes, or what a share of them becomes: noise, a double, or a part."""
        if random.random() >= self._commands[pair.worker].corrupted_share:
            return data
        return random.choice((random.randbytes(len(data)), data + data, data[: len(data) // 2]))


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection rather than close it."""
    if sock := writer.get_extra_info("socket"):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:  # it has closed
            return
    writer.transport.abort()


async def main(router_count: int, worker_count: int, record_path: Path) -> None:
    """Serve until standard input ends."""
    recorder = Recorder(record_path)
    proxy = Proxy(router_count, worker_count, recorder)
    await proxy.listen()
    ports = [[pair.port for pair in row] for row in proxy.pairs]
    print(msgspec.json.encode(ports).decode(), flush=True)
    async for command in read_commands(ProxyCommand):
        await proxy.apply(command)
    recorder.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])))
