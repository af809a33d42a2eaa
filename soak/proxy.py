"""The proxy between all routers and workers, which records frames for the checker and injects faults.

The proxy listens on a port for each pair of a router and a worker slot, so that the port identifies the
router that connects. The first line on its standard output states the ports by router and worker slot. The
proxy reads commands as JSON lines from standard input.
"""

import asyncio
import contextlib
import random
import socket
import struct
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec

from function_router.net.codecs import worker_frames as frames
from soak.commands import ProxyCommand, read_commands
from soak.frame_tap import FrameTap, TappedFrame
from soak.ports import PROXY_PORTS, PortAllocator, listen
from soak.records import AttemptSeen, Recorder, StartOrderSeen, WorkerAnswerSeen

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s


class Route:
    """The route from a router to a worker slot: its port, and its open connections."""

    def __init__(self, router: int, worker: int) -> None:
        self.router = router
        self.worker = worker
        self.port = 0
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    def refuse_connections(self) -> None:
        """Stop listening."""
        if self.server:
            self.server.close()
            self.server = None

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.connections):
            reset(writer)


class RouteRecorder:
    """Records the frames of one route for the checker."""

    def __init__(self, route: Route, recorder: Recorder) -> None:
        self._route = route
        self._recorder = recorder

    def record_from_router(self, tapped: TappedFrame) -> None:
        """Record an attempt or a start order."""
        frame = tapped.frame
        now = time.monotonic()
        if frame.code == frames.RUN:
            self._recorder.add(
                AttemptSeen(
                    router=self._route.router,
                    worker=self._route.worker,
                    request_id=frame.exchange_id.hex(),
                    first_byte_at=tapped.first_byte_at,
                    at=now,
                    timeout_ms=float(frame.fields[frames.TIMEOUT_MS_FIELD]),
                    class_name=frame.fields[frames.CLASS_FIELD],
                )
            )
        elif frame.code == frames.ENSURE_INSTANCES:
            instances = int(frame.fields[frames.INSTANCES_FIELD])
            self._recorder.add(
                StartOrderSeen(self._route.router, self._route.worker, tapped.first_byte_at, now, instances)
            )

    def record_from_worker(self, tapped: TappedFrame) -> None:
        """Record a worker's answer."""
        frame = tapped.frame
        self._recorder.add(
            WorkerAnswerSeen(
                self._route.router,
                self._route.worker,
                frame.exchange_id.hex(),
                time.monotonic(),
                frame.code,
            )
        )


class Proxy:
    """Forwards the connections of all routes as the latest command for each worker slot prescribes."""

    def __init__(self, router_count: int, worker_count: int, recorder: Recorder) -> None:
        self._routes = [
            [Route(router, worker) for worker in range(worker_count)] for router in range(router_count)
        ]
        self._recorder = recorder
        self._ports = PortAllocator(PROXY_PORTS)
        self._commands: dict[int, ProxyCommand] = {}  # the latest command by worker slot

    @property
    def ports(self) -> list[list[int]]:
        """The ports by router and worker slot."""
        return [[route.port for route in routes] for routes in self._routes]

    async def listen(self) -> None:
        """Listen on the ports of all routes."""
        for routes in self._routes:
            for route in routes:
                await self._listen(route)

    async def apply(self, command: ProxyCommand) -> None:
        """Apply a command to all routes to its worker slot."""
        self._commands[command.worker] = command
        is_refusing = command.target_port is None
        for route in (routes[command.worker] for routes in self._routes):
            if is_refusing:
                route.refuse_connections()
            if is_refusing or command.reset_connections:
                route.reset_connections()
            if not is_refusing and route.server is None:
                await self._listen(route)

    async def _listen(self, route: Route) -> None:
        route.port = route.port or self._ports.allocate()
        route.server = await listen(partial(self._serve, route), route.port)

    async def _serve(self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward a router's connection in both directions until one direction ends."""
        route.connections.add(writer)
        try:
            port = self._commands[route.worker].target_port
            worker_reader, worker_writer = await asyncio.open_connection("127.0.0.1", port)
            directions = (
                self._forward_from_router(route, reader, worker_writer),
                self._forward_from_worker(route, worker_reader, writer),
            )
            tasks = [asyncio.create_task(direction) for direction in directions]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            reset(worker_writer)
        except OSError:
            reset(writer)
        finally:
            route.connections.discard(writer)
            writer.close()

    async def _forward_from_router(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tap = FrameTap(frames.FROM_ROUTER)
        record = RouteRecorder(route, self._recorder).record_from_router
        with contextlib.suppress(OSError):
            await forward(reader, writer, tap, record)

    async def _forward_from_worker(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tap = FrameTap(frames.FROM_WORKER)
        record = RouteRecorder(route, self._recorder).record_from_worker
        try:
            await forward(reader, writer, tap, record, lambda data: self._corrupt(route, data))
        except OSError:
            reset(writer)  # passes the broken connection on to the router, instead of an orderly close

    def _corrupt(self, route: Route, data: bytes) -> bytes:
        """Return the data or, for the corrupted share of reads, noise, the data twice, or its first half."""
        if random.random() >= self._commands[route.worker].corrupted_share:
            return data
        return random.choice((random.randbytes(len(data)), data + data, data[: len(data) // 2]))


async def forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    tap: FrameTap,
    record: Callable[[TappedFrame], None],
    transform: Callable[[bytes], bytes] = bytes,
) -> None:
    """Forward bytes until the end of the stream, and record the frames as they were before `transform`.

    Raises:
        OSError: The connection of the reader broke.
    """
    while data := await reader.read(READ_BYTES):
        for tapped in tap.feed(data):
            record(tapped)
        writer.write(transform(data))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    if sock := writer.get_extra_info("socket"):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        except OSError:  # the socket is closed already
            return
    writer.transport.abort()


async def main(router_count: int, worker_count: int, record_path: Path) -> None:
    """Serve until standard input ends."""
    recorder = Recorder(record_path)
    proxy = Proxy(router_count, worker_count, recorder)
    await proxy.listen()
    print(msgspec.json.encode(proxy.ports).decode(), flush=True)
    async for command in read_commands(ProxyCommand):
        await proxy.apply(command)
    recorder.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])))
