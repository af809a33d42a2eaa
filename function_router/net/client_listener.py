"""The listener for clients, and the connections that it accepted."""

import errno
import socket

from function_router.config import Address
from function_router.decisions.settings import RequestClass
from function_router.net.client_connection import ClientConnection
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason, reason_of_os_error
from function_router.net.connection import enable_receive_timestamps
from function_router.net.event_loop import READ, EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.request_table import (
    RequestTable,
)

BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # in a turn, and never more than half of all, so that a first request can be read
ACCEPT_PAUSE_MS = 50.0  # where the system has no descriptor left
IDLE_MS = 30_000.0  # clients close after 4 s; one that asked and is still here holds its connection for good
# A peer is owed an answer or a close within 3 s of connecting; what a client sends comes within a round trip.
YOUNG_MS = 250.0  # a connection that said nothing yet may be about to: others give way first


class ClientListener:
    """Owns the listener and the client connections, within a share of the descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        table: RequestTable,
        classes: dict[str, RequestClass],
        tenants: frozenset[str],
        most: int,
        log: RateLimitedLog,
    ) -> None:
        self.loop, self.table, self.log = loop, table, log
        self.classes, self.tenants = classes, tenants
        self.is_ready = False
        self.connections: dict[ClientConnection, None] = {}
        self._most = most
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener: socket.socket | None = socket.socket(family, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        enable_receive_timestamps(self._listener)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.address: Address = self._listener.getsockname()[:2]
        self._paused = False
        loop.register(self._listener, READ, self._accept)

    def _accept(self, _mask: int) -> None:
        for _ in range(min(MAX_ACCEPTS_PER_TURN, max(1, self._most // 2))):
            if self._listener is None or (len(self.connections) >= self._most and not self._make_room()):
                self._pause()
                return
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if reason_of_os_error(error) is CloseReason.NO_FILE_DESCRIPTOR:
                    self._pause()
                    return
                if error.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                self.log(f"accept: {error}")
                self._pause()
                return
            client = ClientConnection(self, sock)
            self.connections[client] = None

    def _make_room(self) -> bool:
        """Close what has nothing open: all that should have spoken by now, else one that is finished with,
        else the one that has been idle for longest. What has something unread is about to ask."""
        idle = [
            client
            for client in self.connections
            if not client.pending and not client.connection.pending_bytes
        ]
        since = monotonic_ms() - YOUNG_MS
        silent = [client for client in idle if client.silent_since(since)]
        closed = [client for client in silent if client.close_unheard()]
        while idle and not closed:
            last = min(idle, key=ClientConnection.giving_way)
            idle.remove(last)
            closed = [last] if last.close_unheard() else []
        return bool(closed)

    def _pause(self) -> None:
        """Leave new connections to the system's queue for a moment, rather than spin on them."""
        if self._listener is not None and not self._paused:
            self._paused = True
            self.loop.unregister(self._listener)
            self.loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        self._paused = False
        if self._listener is not None:
            self.loop.register(self._listener, READ, self._accept)

    def unread_bytes(self) -> int:
        return sum(client.connection.pending_bytes for client in self.connections)

    def has_unwritten(self) -> bool:
        return any(client.connection.pending_bytes for client in self.connections)

    def has_arriving(self) -> bool:
        """Whether anything of a client lies unread, also on connections that were yet to be accepted."""
        if not self._paused:
            self._accept(READ)
        return self._paused or any(client.has_arriving() for client in self.connections)

    def ended(self, client: ClientConnection) -> None:
        self.connections.pop(client, None)

    def check_timeouts(self) -> None:
        now = monotonic_ms()
        for client in list(self.connections):
            idle = not client.pending and now - client.connection.last_used_ms > IDLE_MS
            if idle:
                client.close_unheard()  # but not on a request that has come and is yet to be read
            elif client.overdue(now):
                client.end_overdue()

    def close(self) -> None:
        if self._listener is not None:
            if not self._paused:
                self.loop.unregister(self._listener)
            self._listener.close()
            self._listener = None
        for client in list(self.connections):
            client.connection.close(CloseReason.SHUTDOWN)
