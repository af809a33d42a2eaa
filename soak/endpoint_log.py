"""The endpoint log of one router: numbered events over TCP, with the faults that such a log may have."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from soak.endpoint_events import EndpointEvent
from soak.ports import PortRange, listen

HEARTBEAT_S = 1.0
OLD_ADDRESS_S = 1.5  # after a move, open connections to the old address stay for so long
READY_MARGIN_S = 4.0  # what an impaired log would have published counts as notified after this


class EndpointLogServer:
    """Serves the events of a list that all routers share.

    Attributes:
        port: where it listens now.
        impaired_until: until when (monotonic seconds) an event may come late without the router's fault.
    """

    def __init__(
        self,
        events: Sequence[EndpointEvent],
        to_wire: Callable[[EndpointEvent], dict[str, Any]],
        ports: PortRange,
    ) -> None:
        """Serve `events`, each as `to_wire` makes it for this router, at a port of the range."""
        self.port = 0
        self.impaired_until = 0.0
        self._events = events
        self._to_wire = to_wire
        self._ports = ports
        self._is_silent = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._published = asyncio.Condition()

    async def start(self) -> None:
        """Listen at a new address."""
        self.port = self.port or self._ports.take()
        self._server = await listen(self._serve, self.port)

    async def publish(self) -> None:
        """Send what was added to the list of events."""
        async with self._published:
            self._published.notify_all()

    async def move(self) -> None:
        """Go on at another address; the old one sends nothing more and closes its connections later."""
        self._mark_impaired(0.0)
        old_server, old_tasks = self._server, list(self._tasks)
        self.port = 0
        await self.start()
        if old_server:
            old_server.close()
        for task in old_tasks:
            asyncio.get_running_loop().call_later(OLD_ADDRESS_S, task.cancel)

    async def be_silent(self, seconds: float) -> None:
        """Stay connected and send nothing."""
        self._mark_impaired(seconds)
        self._is_silent = True
        await asyncio.sleep(seconds)
        self._is_silent = False
        await self.publish()

    async def be_broken(self, seconds: float) -> None:
        """End all connections, and refuse new ones for a while."""
        self._mark_impaired(seconds)
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(seconds)
        await self.start()

    async def close(self) -> None:
        """Listen no more, and end all connections."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    def _mark_impaired(self, seconds: float) -> None:
        until = time.monotonic() + seconds + READY_MARGIN_S
        self.impaired_until = max(self.impaired_until, until)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task:
            self._tasks.add(task)
        server = self._server
        try:
            request = await reader.readline()
            await self._send_events(writer, int(request.split()[1]), server)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if task:
                self._tasks.discard(task)

    async def _send_events(
        self, writer: asyncio.StreamWriter, last_sent: int, server: asyncio.Server | None
    ) -> None:
        while True:
            is_current = server is self._server and not self._is_silent
            if is_current:
                for event in self._events:
                    if event.sequence > last_sent:
                        writer.write(msgspec.json.encode(self._to_wire(event)) + b"\n")
                        last_sent = event.sequence
                writer.write(b"%d\n" % self._events[-1].sequence)
                await writer.drain()
            async with self._published:
                try:
                    await asyncio.wait_for(self._published.wait(), HEARTBEAT_S)
                except TimeoutError:
                    continue
