"""The endpoint log of one router: numbered events over TCP, with the faults that such a log may have.

A router connects and sends the number of the last event that it knows. It gets the events after that, each as
a line of JSON, and a line with the last event's number after them and at every heartbeat.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from soak.endpoint_events import EndpointEvent
from soak.ports import PortRange, listen

HEARTBEAT_S = 1.0
OLD_ADDRESS_S = 1.5  # after a move, until connections to the old port are closed
RECOVERY_MARGIN_S = 4.0  # after a fault of the log, until a router must have caught up

# What the first line of a router is split into: a word, and the number of the last event that it knows.
KNOWN_SEQUENCE_WORD = 1


class EndpointLogServer:
    """Serves the list of events that all routers share; the feed owns the server and closes it.

    Attributes:
        port: where it listens now.
        impaired_until: until when, in monotonic seconds, an event may reach the router late.
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
        self._connections: set[asyncio.Task[None]] = set()
        self._published = asyncio.Condition()

    async def start(self) -> None:
        """Listen, on the same port as before unless the log has moved."""
        self.port = self.port or self._ports.take()
        self._server = await listen(self._serve, self.port)

    async def publish(self) -> None:
        """Send the events that were added to the list."""
        async with self._published:
            self._published.notify_all()

    async def move(self) -> None:
        """Move to another port; connections to the old one get nothing more, and are closed later."""
        self._mark_impaired(0.0)
        old_server = self._server
        old_connections = list(self._connections)
        self.port = 0
        await self.start()
        if old_server:
            old_server.close()
        for connection in old_connections:
            asyncio.get_running_loop().call_later(OLD_ADDRESS_S, connection.cancel)

    async def stay_silent(self, seconds: float) -> None:
        """Stay connected and send nothing for a while."""
        self._mark_impaired(seconds)
        self._is_silent = True
        await asyncio.sleep(seconds)
        self._is_silent = False
        await self.publish()

    async def refuse_connections(self, seconds: float) -> None:
        """End all connections, and refuse new ones for a while."""
        self._mark_impaired(seconds)
        self._end_connections()
        await asyncio.sleep(seconds)
        await self.start()

    async def close(self) -> None:
        """Stop listening, and end all connections."""
        self._end_connections()
        await asyncio.sleep(0)

    def _end_connections(self) -> None:
        if self._server:
            self._server.close()
        for connection in list(self._connections):
            connection.cancel()

    def _mark_impaired(self, seconds: float) -> None:
        until = time.monotonic() + seconds + RECOVERY_MARGIN_S
        self.impaired_until = max(self.impaired_until, until)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        if connection:
            self._connections.add(connection)
        server = self._server
        try:
            request = await reader.readline()
            await self._send_events(writer, int(request.split()[KNOWN_SEQUENCE_WORD]), server)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if connection:
                self._connections.discard(connection)

    async def _send_events(
        self, writer: asyncio.StreamWriter, known_sequence: int, server: asyncio.Server | None
    ) -> None:
        """Send events as they are published, as long as `server` is the one that listens."""
        while True:
            if server is self._server and not self._is_silent:
                for event in self._events:
                    if event.sequence > known_sequence:
                        writer.write(msgspec.json.encode(self._to_wire(event)) + b"\n")
                        known_sequence = event.sequence
                writer.write(b'{"seq":%d}\n' % self._events[-1].sequence)
                await writer.drain()
            async with self._published:
                try:
                    await asyncio.wait_for(self._published.wait(), HEARTBEAT_S)
                except TimeoutError:
                    continue
