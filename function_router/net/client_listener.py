"""The listening socket for clients, and the connections that it accepted."""

import errno
import socket
from dataclasses import dataclass

from function_router.config import Address
from function_router.decisions.settings import RequestClass
from function_router.net.client_connection import ClientConnection
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.event_loop import READ, EventLoop
from function_router.net.receive_timestamps import enable_receive_timestamps
from function_router.net.request_table import RequestTable
from function_router.net.sockets import address_family
from function_router.net.telemetry import ACCEPTED, CLIENTS_CLOSED, Telemetry
from function_router.net.transient_errors import is_transient
from function_router.net.unread_since import UnreadSince

BACKLOG = 1024  # connections that the system keeps until they are accepted

# In one turn of the loop. It is also limited to half of all connections, so that the first request of those
# just accepted can be read before others need their room.
MAX_ACCEPTS_PER_TURN = 64

# Until the next try, where no file descriptor was left.
ACCEPT_PAUSE_MS = 50.0

# Clients close after 4 s without a request; one that is still connected after this would stay for good.
IDLE_TIMEOUT_MS = 30_000.0

# Younger connections that have sent nothing yet may be about to: older ones are closed first to make room.
FIRST_MESSAGE_GRACE_MS = 250.0


@dataclass(frozen=True, slots=True)
class AcceptedSocket:
    """A socket that was accepted; its client connected at `connected_since_ms` (monotonic) or later."""

    sock: socket.socket
    connected_since_ms: float


class ClientListener:
    """Owns the listening socket and the client connections, within a share of the file descriptors.

    Attributes:
        loop: the event loop that all connections share.
        table: the request table, which admits the clients' requests.
        telemetry: the log, the counters and the run-time checks.
        classes: the request classes by name.
        tenants: names of the tenants that may send requests; empty where any may.
        is_ready: the answer to status requests.
        connections: the open client connections, oldest first; the values mean nothing.
        address: host and port on which it listens.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        table: RequestTable,
        classes: dict[str, RequestClass],
        tenants: frozenset[str],
        max_connections: int,
        telemetry: Telemetry,
    ) -> None:
        """Start to listen.

        Args:
            loop: the event loop.
            address: host and port to listen on; port 0 has the system choose one.
            table: the request table.
            classes: the request classes by name.
            tenants: names of the tenants that may send requests; empty where any may.
            max_connections: limit on the client connections that are open at once.
            telemetry: the log, the counters and the run-time checks.

        Raises:
            OSError: where it can't listen on this address.
        """
        self.loop = loop
        self.table = table
        self.telemetry = telemetry
        self.classes = classes
        self.tenants = tenants
        self.is_ready = False
        self.connections: dict[ClientConnection, None] = {}
        self._max_connections = max_connections
        self._listener: socket.socket | None = _listen(address)
        self.address: Address = self._listener.getsockname()[:2]
        self._is_paused = False
        self._unread_since = UnreadSince(loop, monotonic_ms())  # clients that are not accepted yet
        self._not_adopted: list[AcceptedSocket] = []  # to be adopted after the pause
        loop.register(self._listener, READ, self._accept)

    # --- accepting ------------------------------------------------------------------------------

    def _accept(self, _mask: int) -> None:
        self._unread_since.on_reported()
        self._accept_waiting()

    def _accept_waiting(self) -> None:
        for _ in range(min(MAX_ACCEPTS_PER_TURN, max(1, self._max_connections // 2))):
            if self._listener is None:
                return
            if self._has_no_room() and not self._make_room():
                self._pause()
                return
            if not self._accept_one(self._listener):
                return

    def _has_no_room(self) -> bool:
        return len(self.connections) + len(self._not_adopted) >= self._max_connections

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accept a connection; False where no other one can be accepted in this turn."""
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            self._unread_since.on_drained()
            return False
        except OSError as error:
            if error.errno in (errno.ECONNABORTED, errno.EINTR):
                return True
            if not is_transient(error):
                self.telemetry.log(f"accept: {error}")
            self._pause()
            return False
        self.telemetry.count(ACCEPTED)
        return self._adopt(AcceptedSocket(sock, self._unread_since.since_ms))

    def _adopt(self, accepted: AcceptedSocket) -> bool:
        """Make a client connection of an accepted socket; False where that can't be done now.

        Its client may have sent a request by now, which a close would lose: it is adopted later.
        """
        try:
            client = ClientConnection(self, accepted.sock, accepted.connected_since_ms)
        except OSError as error:
            self.telemetry.log(f"accepted connection: {error}")
            self._not_adopted.append(accepted)
            self._pause()
            return False
        self.connections[client] = None
        return True

    def _make_room(self) -> bool:
        """Close connections without pending requests; whether any was closed.

        All that have had time enough for a first message and sent nothing are closed; where there is none,
        the first one in the order of eviction. Those with something unread are about to send a request: they
        stay.
        """
        idle = [
            client
            for client in self.connections
            if not client.pending and not client.connection.pending_bytes
        ]
        grace_start_ms = monotonic_ms() - FIRST_MESSAGE_GRACE_MS
        silent = [client for client in idle if client.is_silent_since(grace_start_ms)]
        closed = [client for client in silent if client.close_unless_data_arrived()]
        if closed:
            return True
        while idle:
            candidate = min(idle, key=ClientConnection.eviction_order)
            idle.remove(candidate)
            if candidate.close_unless_data_arrived():
                return True
        return False

    def _pause(self) -> None:
        """Leave new connections to the system's queue for a moment, rather than try again at once."""
        if self._listener is not None and not self._is_paused:
            self._is_paused = True
            self.loop.unregister(self._listener)
            self.loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        """Watch the listener again, and adopt what could not be; both may fail once more."""
        if self._listener is None:
            return
        try:
            self.loop.register(self._listener, READ, self._accept)
        except OSError as error:
            self.telemetry.log(f"listener: {error}")
            self.loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)
            return
        self._unread_since.on_watched_again()
        self._is_paused = False
        not_adopted = self._not_adopted
        self._not_adopted = []
        for accepted in not_adopted:
            self._adopt(accepted)

    # --- the connections ------------------------------------------------------------------------

    def unread_bytes(self) -> int:
        """Bytes of answers that wait to be written, of all clients."""
        return sum(client.connection.pending_bytes for client in self.connections)

    def has_unwritten(self) -> bool:
        """Whether an answer to any client waits to be written."""
        return self.unread_bytes() > 0

    def has_arriving(self) -> bool:
        """Whether anything of a client lies unread, also on connections that are yet to be accepted."""
        if not self._is_paused:
            self._accept_waiting()
        return self._is_paused or any(client.has_arriving() for client in self.connections)

    def on_client_closed(self, client: ClientConnection, reason: CloseReason) -> None:
        """Forget a connection that has closed."""
        self.telemetry.count(CLIENTS_CLOSED, reason.name)
        self.connections.pop(client, None)

    def check_timeouts(self) -> None:
        """Close connections that are idle, or whose message takes too long."""
        now_ms = monotonic_ms()
        for client in list(self.connections):
            is_idle = not client.pending and now_ms - client.connection.last_used_ms > IDLE_TIMEOUT_MS
            if is_idle:
                client.close_unless_data_arrived()
            elif client.is_overdue(now_ms):
                client.close_overdue()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            if not self._is_paused:
                self.loop.unregister(self._listener)
            self._listener.close()
            self._listener = None
        for client in list(self.connections):
            client.connection.close(CloseReason.SHUTDOWN)
        for accepted in self._not_adopted:
            accepted.sock.close()


def _listen(address: Address) -> socket.socket:
    listener = socket.socket(address_family(address), socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    enable_receive_timestamps(listener)
    listener.bind(address)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
