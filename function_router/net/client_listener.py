"""Listens for clients, limits the number of their connections, and closes idle ones."""

from function_router.config import Address
from function_router.decisions.settings import RequestClass
from function_router.net.acceptor import AcceptedSocket, Acceptor
from function_router.net.client_connection import ClientConnection
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.event_loop import EventLoop
from function_router.net.paused_clients import PausedClients
from function_router.net.request_table import RequestTable
from function_router.net.telemetry import CLIENTS_CLOSED, CLIENTS_OVER_SHARE, Telemetry

# Time that a new client has for its first byte. At the connection limit, connections that are older and
# have sent nothing are closed first.
FIRST_BYTE_GRACE_MS = 250.0


class ClientListener:
    """Listens for clients and owns their connections, which use a limited share of the file descriptors.

    Attributes:
        loop: The event loop that all connections share.
        table: The request table, which admits the clients' requests.
        telemetry: The log, the counters and the run-time checks.
        memory: The memory that clients can fill.
        classes: The request classes by name.
        tenants: Names of the tenants that may send requests; empty if any tenant may.
        is_ready: Whether the router is ready, which is the answer to status requests.
        paused_clients: The clients that are not read for want of memory.
        connections: The open client connections, oldest first; an ordered set, whose values are unused.
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
        """Listen on an address, for at most `max_connections` clients at once.

        Raises:
            OSError: The router cannot listen on the address.
        """
        self.loop = loop
        self.table = table
        self.telemetry = telemetry
        self.memory = table.memory
        self.classes = classes
        self.tenants = tenants
        self.is_ready = False
        self.paused_clients = PausedClients(loop.timers)
        self.connections: dict[ClientConnection, None] = {}
        self._max_connections = max_connections
        self._acceptor = Acceptor(loop, address, self, max_connections, telemetry)

    @property
    def address(self) -> Address:
        """Host and port of the listening socket."""
        return self._acceptor.address

    # --- acceptor owner -------------------------------------------------------------------------

    def serve(self, accepted: AcceptedSocket) -> None:
        """Serve an accepted socket.

        Raises:
            OSError: The event loop cannot watch the socket now.
        """
        client = ClientConnection(self, accepted.sock, accepted.earliest_connect_ms)
        self.connections[client] = None

    def ensure_capacity(self, deferred_count: int) -> bool:
        """Return whether another connection may be accepted.

        It is in addition to the `deferred_count` accepted sockets that are not served yet. At the connection
        limit, idle connections are closed to free capacity.
        """
        is_full = len(self.connections) + deferred_count >= self._max_connections
        return not is_full or self._evict_idle()

    def _evict_idle(self) -> bool:
        """Close idle connections; return whether any was closed.

        All clients that have sent nothing within FIRST_BYTE_GRACE_MS are closed. If there are none, the
        first connection in eviction order is closed. Connections with unread data are kept, as the data may
        be a request.
        """
        idle = [client for client in self.connections if client.is_idle()]
        grace_start_ms = monotonic_ms() - FIRST_BYTE_GRACE_MS
        silent = [client for client in idle if client.is_silent_since(grace_start_ms)]
        closed = [client for client in silent if client.close_unless_data_arrived()]
        if closed:
            return True
        candidates = sorted(idle, key=ClientConnection.eviction_order)
        return any(candidate.close_unless_data_arrived() for candidate in candidates)

    # --- connections ----------------------------------------------------------------------------

    def has_unwritten_answers(self) -> bool:
        """Return whether an answer to any client is not written yet."""
        return any(client.connection.pending_bytes for client in self.connections)

    def close_heaviest_until_in_share(self) -> None:
        """Close the clients with most unwritten answers until those of all clients are within their share."""
        share = self.memory.client_output
        heaviest_first = sorted(self.connections, key=lambda client: -client.unwritten_size_bytes)
        for client in heaviest_first:
            if not share.is_exceeded:
                return
            self.telemetry.count(CLIENTS_OVER_SHARE, share.owner)
            client.connection.close(CloseReason.WRITE_BUFFER_FULL)

    def has_unread_data(self) -> bool:
        """Accept pending connections, and return whether data from any client may be unread.

        A partially received message counts as unread. While accepting is paused, clients whose connections
        are not accepted yet may have sent data.
        """
        if not self._acceptor.is_paused:
            self._acceptor.accept_pending()
        return self._acceptor.is_paused or any(client.has_unread_data() for client in self.connections)

    def on_client_closed(self, client: ClientConnection, reason: CloseReason) -> None:
        """Remove a connection that has closed."""
        self.telemetry.count(CLIENTS_CLOSED, reason.name)
        self.connections.pop(client, None)

    def check_timeouts(self) -> None:
        """Close connections that have been idle for too long, or whose next message is overdue."""
        now_ms = monotonic_ms()
        for client in list(self.connections):
            client.check_timeouts(now_ms)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._acceptor.close()
        for client in list(self.connections):
            client.connection.close(CloseReason.SHUTDOWN)
