"""The endpoint log of one router: numbered events over TCP, with the faults that such a log may have.

A router connects and sends the number of the last event that it knows. It gets the events after that, each as
a line of JSON, and a line with the last event's number after them and at every heartbeat.

An event counts as notified when it is published. While the log is out of reach, it counts no earlier than a
while after that began: 2 s after a break, and 4 s after the log fell silent or moved.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from enum import Enum, auto
from typing import Any

import msgspec

from soak.endpoint_events import EndpointEvent
from soak.ports import PortAllocator, listen

HEARTBEAT = b'{"seq":%d}\n'
HEARTBEAT_S = 1.0
OLD_PORT_CLOSE_DELAY_S = 1.5  # after a move, until connections to the old port are closed
NOTIFIED_AFTER_BREAK_S = 2.0
NOTIFIED_AFTER_SILENCE_S = 4.0
TRICKLE_INTERVAL_S = 0.4  # between the bytes of a log that sends one now and then
SEQUENCES_AHEAD = 5
FLAP_DOWN_S = 2.5  # of a log that comes back for a moment again and again
FLAP_UP_S = 0.4

# What the first line of a router is split into: a word, and the number of the last event that it knows.
KNOWN_SEQUENCE_INDEX = 1


class LogFailure(Enum):
    """How a log is out of reach for long."""

    REFUSES = auto()  # its connections are ended, and new ones refused
    IS_SILENT = auto()  # it accepts connections and sends nothing
    TRICKLES = auto()  # it sends a byte now and then
    ANNOUNCES_MISSING_EVENTS = auto()  # its heartbeats announce events that it doesn't send
    IS_BEHIND = auto()  # its heartbeats announce an old number
    FLAPS = auto()  # it refuses connections, and comes back for a moment again and again


class EndpointLogServer:
    """Serves the list of events that all routers share; the feed owns the server and closes it.

    Attributes:
        port: where it listens now.
    """

    def __init__(
        self,
        events: Sequence[EndpointEvent],
        to_wire: Callable[[EndpointEvent], dict[str, Any]],
        ports: PortAllocator,
    ) -> None:
        """Serve `events`, each as `to_wire` makes it for this router, at a port of the range."""
        self.port = 0
        self._events = events
        self._to_wire = to_wire
        self._ports = ports
        self._is_silent = False
        self._failure: LogFailure | None = None
        self._earliest_notified_at = 0.0  # monotonic seconds; an event counts as notified no earlier
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._published = asyncio.Condition()

    def notified_at(self, published_at: float) -> float:
        """From when on the router counts as notified of an event that is published now."""
        return max(published_at, self._earliest_notified_at)

    async def start(self) -> None:
        """Listen, on the same port as before unless the log has moved, and if it doesn't refuse that now."""
        self.port = self.port or self._ports.allocate()
        if self._failure is not LogFailure.REFUSES and self._server is None:
            self._server = await listen(self._serve, self.port)

    async def publish(self) -> None:
        """Send the events that were added to the list."""
        async with self._published:
            self._published.notify_all()

    async def move(self) -> None:
        """Move to another port; connections to the old one get nothing more, and are closed later."""
        self._delay_notifications(NOTIFIED_AFTER_SILENCE_S)
        old_server = self._server
        old_connections = list(self._connections)
        self.port = 0
        self._server = None
        await self.start()
        if old_server:
            old_server.close()
        for connection in old_connections:
            asyncio.get_running_loop().call_later(OLD_PORT_CLOSE_DELAY_S, connection.cancel)

    async def stay_silent(self, seconds: float) -> None:
        """Stay connected and send nothing for a while."""
        self._delay_notifications(NOTIFIED_AFTER_SILENCE_S)
        self._is_silent = True
        await asyncio.sleep(seconds)
        self._is_silent = False
        await self.publish()

    async def refuse_connections(self, seconds: float) -> None:
        """End all connections, and refuse new ones for a while."""
        self._delay_notifications(NOTIFIED_AFTER_BREAK_S)
        self._end_connections()
        await asyncio.sleep(seconds)
        await self.start()

    async def fail(self, failure: LogFailure, seconds: float) -> None:
        """Be out of reach in one way for long, then work again."""
        if failure is LogFailure.FLAPS:
            await self._flap(seconds)
        elif failure is LogFailure.REFUSES:
            self._failure = failure
            await self.refuse_connections(seconds)
        else:
            self._failure = failure
            self._delay_notifications(NOTIFIED_AFTER_SILENCE_S)
            await asyncio.sleep(seconds)
        self._failure = None
        await self.start()
        await self.publish()

    async def _flap(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self.refuse_connections(FLAP_DOWN_S)
            await asyncio.sleep(FLAP_UP_S)

    async def close(self) -> None:
        """Stop listening, and end all connections."""
        self._end_connections()
        await asyncio.sleep(0)

    def _end_connections(self) -> None:
        if self._server:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.cancel()

    def _delay_notifications(self, seconds: float) -> None:
        """Have events count as notified no earlier than this long after now."""
        self._earliest_notified_at = max(self._earliest_notified_at, time.monotonic() + seconds)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        if connection:
            self._connections.add(connection)
        server = self._server
        try:
            request = await reader.readline()
            await self._send_events(writer, int(request.split()[KNOWN_SEQUENCE_INDEX]), server)
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
        while not writer.is_closing():
            if server is self._server and not self._is_silent:
                known_sequence = self._send_update(writer, known_sequence)
                await writer.drain()
            async with self._published:
                pause_s = TRICKLE_INTERVAL_S if self._failure is LogFailure.TRICKLES else HEARTBEAT_S
                try:
                    await asyncio.wait_for(self._published.wait(), pause_s)
                except TimeoutError:
                    continue

    def _send_update(self, writer: asyncio.StreamWriter, known_sequence: int) -> int:
        """Send what is new and a heartbeat, or what a log that fails sends; return the last number sent."""
        last_sequence = self._events[-1].sequence
        match self._failure:
            case LogFailure.IS_SILENT | LogFailure.REFUSES:
                return known_sequence
            case LogFailure.TRICKLES:
                writer.write(b" ")
                return known_sequence
            case LogFailure.ANNOUNCES_MISSING_EVENTS:
                writer.write(HEARTBEAT % (last_sequence + SEQUENCES_AHEAD))
                return known_sequence
            case LogFailure.IS_BEHIND:
                writer.write(HEARTBEAT % 0)
                return known_sequence
        for event in self._events:
            if event.sequence > known_sequence:
                writer.write(msgspec.json.encode(self._to_wire(event)) + b"\n")
        writer.write(HEARTBEAT % last_sequence)
        return last_sequence
