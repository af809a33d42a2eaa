"""The listening socket for clients: accepts connections, and pauses while no more can be served."""

import errno
import socket
from typing import Protocol

from msgspec import Struct

from function_router.config import Address
from function_router.net.clock import monotonic_ms
from function_router.net.event_loop import READ, EventLoop
from function_router.net.receive_timestamps import enable_receive_timestamps
from function_router.net.sockets import address_family
from function_router.net.telemetry import CLIENTS_ACCEPTED, Telemetry
from function_router.net.transient_errors import is_transient
from function_router.net.unread_since import UnreadSince

# Maximum length of the kernel's queue of connections that are not accepted yet.
BACKLOG = 1024
# Maximum number of connections accepted in one turn of the event loop. An accepted connection costs about as
# much as several messages, so that more of them would delay the requests of clients that are connected.
MAX_ACCEPTS_PER_TURN = 16
# How long accepting pauses at the connection limit, or after a failed accept or registration.
ACCEPT_PAUSE_MS = 50.0


class AcceptedSocket(Struct, frozen=True):
    """An accepted socket; its client connected at `earliest_connect_ms` (monotonic) or later."""

    sock: socket.socket
    earliest_connect_ms: float


class AcceptorOwner(Protocol):
    """Serves the accepted sockets."""

    def ensure_capacity(self, deferred_count: int, /) -> bool:
        """Return whether another connection may be accepted.

        It is in addition to the `deferred_count` accepted sockets that are not served yet. At the connection
        limit, idle connections are closed to free capacity.
        """

    def serve(self, accepted: AcceptedSocket, /) -> None:
        """Take ownership of an accepted socket and serve it.

        Raises:
            OSError: The socket cannot be served now; it stays open.
        """


class Acceptor:
    """Owns the listening socket, and the accepted sockets that cannot be served yet.

    Attributes:
        address: Host and port of the listening socket.
        is_paused: Whether accepting is paused; new connections stay in the kernel's queue meanwhile.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        owner: AcceptorOwner,
        max_connections: int,
        telemetry: Telemetry,
    ) -> None:
        """Listen on an address; for port 0 the kernel chooses a port.

        The owner serves at most `max_connections` at once. One turn accepts at most half as many, so that the
        router can read the first requests of the accepted clients before idle connections are closed to free
        capacity for further clients.

        Raises:
            OSError: The router cannot listen on the address.
        """
        self._loop = loop
        self._owner = owner
        self._telemetry = telemetry
        self._max_accepts_per_turn = min(MAX_ACCEPTS_PER_TURN, max(1, max_connections // 2))
        self._listener: socket.socket | None = _listen(address)
        self.address: Address = self._listener.getsockname()[:2]
        self.is_paused = False
        self._unread_since = UnreadSince(loop, monotonic_ms())  # for the kernel's queue
        self._deferred_sockets: list[AcceptedSocket] = []  # accepted, to be served after the pause
        loop.register(self._listener, READ, self._on_readable)

    def _on_readable(self, _mask: int) -> None:
        self._unread_since.on_reported_readable()
        self.accept_pending()

    def accept_pending(self) -> None:
        """Accept the connections in the kernel's queue, as far as the limits allow."""
        for _ in range(self._max_accepts_per_turn):
            if self._listener is None:
                return
            if not self._owner.ensure_capacity(len(self._deferred_sockets)):
                self._pause()
                return
            if not self._accept_one(self._listener):
                return

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accept one connection; return False if no further one can be accepted in this turn."""
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            self._unread_since.on_read_empty()
            return False
        except OSError as error:
            if error.errno in (errno.ECONNABORTED, errno.EINTR):
                return True
            if not is_transient(error):
                self._telemetry.log(f"cannot accept client connection: {error}")
            self._pause()
            return False
        self._telemetry.count(CLIENTS_ACCEPTED)
        return self._serve(AcceptedSocket(sock, self._unread_since.since_ms))

    def _serve(self, accepted: AcceptedSocket) -> bool:
        """Pass an accepted socket to the owner; return False if the owner cannot serve it now.

        Such a socket is kept and served later, as closing it would lose a request that its client has sent.
        """
        try:
            self._owner.serve(accepted)
        except OSError as error:
            self._telemetry.log(f"cannot serve accepted connection: {error}")
            self._deferred_sockets.append(accepted)
            self._pause()
            return False
        return True

    def _pause(self) -> None:
        """Stop accepting for ACCEPT_PAUSE_MS, instead of retrying at once."""
        if self._listener is not None and not self.is_paused:
            self.is_paused = True
            self._loop.unregister(self._listener)
            self._loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        """Watch the listening socket again and serve the deferred sockets; retry if that fails again."""
        if self._listener is None:
            return
        try:
            self._loop.register(self._listener, READ, self._on_readable)
        except OSError as error:
            self._telemetry.log(f"cannot watch listening socket: {error}")
            self._loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)
            return
        self._unread_since.on_watch_changed()
        self.is_paused = False
        deferred = self._deferred_sockets
        self._deferred_sockets = []
        for accepted in deferred:
            self._serve(accepted)

    def close(self) -> None:
        """Stop listening, and close the deferred sockets."""
        if self._listener is not None:
            if not self.is_paused:
                self._loop.unregister(self._listener)
            self._listener.close()
            self._listener = None
        for accepted in self._deferred_sockets:
            accepted.sock.close()


def _listen(address: Address) -> socket.socket:
    listener = socket.socket(address_family(address), socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    enable_receive_timestamps(listener)
    listener.bind(address)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
