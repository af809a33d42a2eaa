"""Clients: a set of connections to one router, and what became of each request."""

import asyncio
import contextlib
import random
import struct
import time
from dataclasses import dataclass

from soak.thrift_messages import decode_answer, encode_cancel, encode_request, encode_status

MAX_OPEN_REQUESTS = 32
IDLE_CLOSE_S = 4.0
_SIZE = struct.Struct(">I")


@dataclass
class Sent:
    """One request; times are Unix times, and `answer` is empty until there is one."""

    call: str
    kind: str
    function: str
    ttl_s: float
    at: float
    key: str = ""
    answer: str = ""
    answered_at: float = 0.0
    body: bytes = b""
    answers: int = 0
    withdrawn_at: float = 0.0


class ClientConnection(asyncio.Protocol):
    """A connection with at most MAX_OPEN_REQUESTS open requests."""

    def __init__(self) -> None:
        self.open: dict[int, Sent] = {}
        self.is_up = False
        self.used_at = time.time()
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._last_number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_up = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the open requests as lost with the connection."""
        self.is_up = False
        for sent in self.open.values():
            sent.answer = sent.answer or f"connection ended: {exc!r}"
            sent.answered_at = time.time()
        self.open = {}

    def data_received(self, data: bytes) -> None:
        """Record the answers."""
        self._buffer += data
        now = time.time()
        while len(self._buffer) >= _SIZE.size:
            (size,) = _SIZE.unpack_from(self._buffer)
            if len(self._buffer) < _SIZE.size + size:
                return
            message = bytes(self._buffer[_SIZE.size : _SIZE.size + size])
            del self._buffer[: _SIZE.size + size]
            number, answer = decode_answer(message, now)
            if sent := self.open.pop(number, None):
                sent.answer = answer.kind.value
                sent.answered_at = now
                sent.body = answer.body
                sent.answers += 1

    def send(self, sent: Sent, fields: dict[str, str], body: bytes) -> None:
        """Send a request."""
        assert self._transport is not None
        self._last_number += 1
        self.open[self._last_number] = sent
        self.used_at = sent.at = time.time()
        self._transport.write(encode_request(self._last_number, fields, body))

    def withdraw(self, sent: Sent) -> None:
        """Withdraw an open request; no answer is owed any more."""
        for number, other in list(self.open.items()):
            if other is sent and self._transport is not None:
                del self.open[number]
                sent.withdrawn_at = time.time()
                self._transport.write(encode_cancel(number))

    def close(self) -> None:
        """Close the connection."""
        self.is_up = False
        if self._transport is not None:
            self._transport.close()


class Clients:
    """The clients of one router."""

    def __init__(self, port: int, seed: int) -> None:
        self.port = port
        self.sent: list[Sent] = []
        self.unconnected = 0
        self.random = random.Random(seed)
        self._connections: list[ClientConnection] = []

    async def send(
        self, kind: str, function: str, ttl_s: float, tenant: str, body: bytes = b""
    ) -> Sent | None:
        """Send a request; None if no connection came up."""
        key = f"{self.random.getrandbits(128):032x}"
        sent = Sent(f"{self.random.getrandbits(64):016x}", kind, function, ttl_s, time.time(), key)
        fields = {
            "op": kind,
            "call": sent.call,
            "ttl": str(int(ttl_s * 1000)),
            "org": tenant,
            "dedupe": key,
            "row": function,
            "props": "memory_mb:256;lanes:2",
        }
        connection = await self._connection()
        if connection is None:
            self.unconnected += 1
            return None
        connection.send(sent, fields, body)
        self.sent.append(sent)
        return sent

    async def _connection(self) -> ClientConnection | None:
        """Return a connection with room, opening one if there is none; close those that were idle."""
        now = time.time()
        usable: ClientConnection | None = None
        for connection in list(self._connections):
            if not connection.is_up:
                self._connections.remove(connection)
            elif not connection.open and now - connection.used_at > IDLE_CLOSE_S:
                self._connections.remove(connection)
                connection.close()
            elif usable is None and len(connection.open) < MAX_OPEN_REQUESTS:
                usable = connection
        if usable is not None:
            return usable
        with contextlib.suppress(OSError):
            loop = asyncio.get_running_loop()
            _, usable = await loop.create_connection(ClientConnection, "127.0.0.1", self.port)
            self._connections.append(usable)
        return usable

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close()


async def is_ready(port: int) -> bool:
    """Return whether a router answers a status request."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(encode_status(1))
        return bool(await asyncio.wait_for(reader.read(4096), 1.0))
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
