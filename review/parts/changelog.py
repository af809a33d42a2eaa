"""The change log of one router: numbered events, sent from the one on that is asked for."""

import asyncio
import contextlib
import json
from typing import Any

HEARTBEAT_S = 1.0


class ChangeLog:
    """Serves events to one router; each event is a list of changed members, the first one the whole list."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self.delay_s = 0.0  # how late each line leaves; later lines never overtake earlier ones
        self._leaves_at: dict[asyncio.StreamWriter, float] = {}
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, int] = {}

    def add(self, members: list[dict[str, Any]]) -> None:
        """Publish an event."""
        number = len(self.events) + 1
        fleet = {"revision": number, "complete": number == 1, "members": members}
        self.events.append({"seq": number, "fleet": fleet})
        for writer in self._writers:
            self._send_events(writer)

    async def start(self) -> None:
        """Listen on a free port of the loopback interface, or on the port of before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Break all connections, and refuse new ones until `start`."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.close()
        self._writers = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, IndexError, ValueError, asyncio.CancelledError):
            self._writers[writer] = int((await reader.readline()).split()[1])
            while writer in self._writers and not writer.is_closing():
                self._send_events(writer)
                self._write(writer, b"%d\n" % len(self.events))
                await asyncio.sleep(HEARTBEAT_S)
        self._writers.pop(writer, None)
        writer.close()

    def _send_events(self, writer: asyncio.StreamWriter) -> None:
        lines = [json.dumps(event).encode() + b"\n" for event in self.events[self._writers[writer] :]]
        self._write(writer, b"".join(lines))
        self._writers[writer] = len(self.events)

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write lines now, or as late as the delay says."""
        loop = asyncio.get_running_loop()
        leaves_at = max(loop.time() + self.delay_s, self._leaves_at.get(writer, 0.0))
        if leaves_at <= loop.time():
            writer.write(data)
            return
        self._leaves_at[writer] = leaves_at
        loop.call_at(leaves_at, writer.write, data)
