"""The endpoint log of one router: numbered events over TCP, with injected faults.

A router connects and sends the sequence number of the last event that it knows. The log sends the later
events, each as a line of JSON, then a heartbeat line with the sequence number of the last event, and repeats
the heartbeat at an interval.

The rules on drains and slow starts (`soak/worker_rules.py`) apply to a router from the time when it counts as
notified of the event. This is normally the time of publication. After a fault of the log, it is no earlier
than 2 s after connections broke, or 4 s after the log fell silent or moved, even if the fault lasts longer.
Lines that are late (`soak/late_lines.py`) don't change it.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Sequence
from enum import Enum, auto
from typing import Any

import msgspec

from soak.endpoint_events import EndpointEvent
from soak.late_lines import LatenessCourse, LateWriter
from soak.ports import PortAllocator, listen

HEARTBEAT = b'{"seq":%d}\n'
HEARTBEAT_S = 1.0
OLD_PORT_CLOSE_DELAY_S = 1.5  # from a move until connections to the old port are closed
NOTIFIED_AFTER_BREAK_S = 2.0  # from the break of connections until a router counts as notified
NOTIFIED_AFTER_SILENCE_S = 4.0  # from the silence or move of a log until a router counts as notified
TRICKLE_INTERVAL_S = 0.4  # between the single bytes of a log that trickles
SEQUENCES_AHEAD = 5  # number of missing events that a heartbeat announces
FLAP_DOWN_S = 2.5  # how long a log that flaps refuses connections at a time
FLAP_UP_S = 0.4  # how long a log that flaps works between two refusals

# The index of the sequence number among the words of a router's request, which is "since N".
KNOWN_SEQUENCE_INDEX = 1


class EndpointLogFailure(Enum):
    """The ways in which a log fails during a long outage; a fault's intensity selects one by position."""

    REFUSES = auto()  # closes its connections, and refuses new ones
    IS_SILENT = auto()  # accepts connections, but sends nothing
    TRICKLES = auto()  # sends a single byte at an interval
    ANNOUNCES_MISSING_EVENTS = auto()  # sends heartbeats with numbers of events that it doesn't send
    IS_BEHIND = auto()  # sends heartbeats with an old number
    FLAPS = auto()  # alternates between refusing connections and working for a short time


class EndpointLogServer:
    """Serves a list of events to one router; the feed owns the server and closes it.

    Attributes:
        port: The port on which the server listens, or will listen again.
    """

    def __init__(
        self,
        events: Sequence[EndpointEvent],
        to_wire: Callable[[EndpointEvent], dict[str, Any]],
        ports: PortAllocator,
    ) -> None:
        """Serve `events`, which other servers share, as converted by `to_wire` for this router."""
        self.port = 0
        self._events = events
        self._to_wire = to_wire
        self._ports = ports
        self._is_silent = False
        self._failure: EndpointLogFailure | None = None
        self._lateness: LatenessCourse | None = None
        self._earliest_notified_at = 0.0  # monotonic seconds; no event counts as notified earlier
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._wakeups: set[asyncio.Event] = set()  # one for each connection, set when events are published

    def notified_at(self, published_at: float) -> float:
        """Return the time from which the router counts as notified of an event that is published now."""
        return max(published_at, self._earliest_notified_at)

    async def start(self) -> None:
        """Listen on the previous port, or on a new one after a move, unless the log refuses connections."""
        self.port = self.port or self._ports.allocate()
        if self._failure is not EndpointLogFailure.REFUSES and self._server is None:
            self._server = await listen(self._serve, self.port)

    async def publish(self) -> None:
        """Wake all connections, so that they send the events that were added to the list."""
        for wakeup in self._wakeups:
            wakeup.set()

    async def move(self) -> None:
        """Move to another port; stop sending on connections to the old port, and close them later."""
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
        """Keep connections open, but send nothing for a time."""
        self._delay_notifications(NOTIFIED_AFTER_SILENCE_S)
        self._is_silent = True
        await asyncio.sleep(seconds)
        self._is_silent = False
        await self.publish()

    async def refuse_connections(self, seconds: float) -> None:
        """Close all connections, and refuse new ones for a time."""
        self._delay_notifications(NOTIFIED_AFTER_BREAK_S)
        self._end_connections()
        await asyncio.sleep(seconds)
        await self.start()

    async def fail(self, failure: EndpointLogFailure, seconds: float) -> None:
        """Fail in one way for a time, then work again."""
        if failure is EndpointLogFailure.FLAPS:
            await self._flap(seconds)
        elif failure is EndpointLogFailure.REFUSES:
            self._failure = failure
            await self.refuse_connections(seconds)
        else:
            self._failure = failure
            self._delay_notifications(NOTIFIED_AFTER_SILENCE_S)
            await asyncio.sleep(seconds)
        self._failure = None
        await self.start()
        await self.publish()

    async def be_late(self, course: LatenessCourse) -> None:
        """Let lines arrive late until the end of a course."""
        self._lateness = course
        await asyncio.sleep(course.ends_at - time.monotonic())
        if self._lateness is course:
            self._lateness = None

    async def _flap(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self.refuse_connections(FLAP_DOWN_S)
            await asyncio.sleep(FLAP_UP_S)

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        self._end_connections()
        await asyncio.sleep(0)

    def _end_connections(self) -> None:
        if self._server:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.cancel()

    def _delay_notifications(self, seconds: float) -> None:
        """Let events count as notified no earlier than `seconds` from now."""
        self._earliest_notified_at = max(self._earliest_notified_at, time.monotonic() + seconds)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        if connection:
            self._connections.add(connection)
        server = self._server
        wakeup = asyncio.Event()
        self._wakeups.add(wakeup)
        try:
            request = await reader.readline()
            await self._send_events(writer, int(request.split()[KNOWN_SEQUENCE_INDEX]), server, wakeup)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._wakeups.discard(wakeup)
            if connection:
                self._connections.discard(connection)

    async def _send_events(
        self,
        writer: asyncio.StreamWriter,
        known_sequence: int,
        server: asyncio.Server | None,
        wakeup: asyncio.Event,
    ) -> None:
        """Send events as they are published, but none during a silence or after a move replaced `server`."""
        late_writer = LateWriter(writer, lambda: self._lateness)
        while not writer.is_closing():
            if server is self._server and not self._is_silent:
                known_sequence = self._send_update(late_writer, known_sequence)
                await writer.drain()
            pause_s = TRICKLE_INTERVAL_S if self._failure is EndpointLogFailure.TRICKLES else HEARTBEAT_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(wakeup.wait(), pause_s)
            wakeup.clear()

    def _send_update(self, writer: LateWriter, known_sequence: int) -> int:
        """Send new events and a heartbeat, or what the failure prescribes; return the new known sequence."""
        last_sequence = self._events[-1].sequence
        match self._failure:
            case EndpointLogFailure.IS_SILENT | EndpointLogFailure.REFUSES:
                return known_sequence
            case EndpointLogFailure.TRICKLES:
                writer.write(b" ")
                return known_sequence
            case EndpointLogFailure.ANNOUNCES_MISSING_EVENTS:
                writer.write(HEARTBEAT % (last_sequence + SEQUENCES_AHEAD))
                return known_sequence
            case EndpointLogFailure.IS_BEHIND:
                writer.write(HEARTBEAT % 0)
                return known_sequence
        for event in self._events:
            if event.sequence > known_sequence:
                writer.write(msgspec.json.encode(self._to_wire(event)) + b"\n")
        writer.write(HEARTBEAT % last_sequence)
        return last_sequence
