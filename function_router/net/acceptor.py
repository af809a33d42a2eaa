"""The listening socket for clients: accepts connections and pauses while none can be served."""

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

# Connections that the system keeps until they are accepted.
BACKLOG = 1024
# Connections that are accepted in one turn of the event loop.
MAX_ACCEPTS_PER_TURN = 64
# How long accepting pauses: at the limit on connections, or after a failed accept or registration.
ACCEPT_PAUSE_MS = 50.0


class AcceptedSocket(Struct, frozen=True):
    """A socket that was accepted; its client connected at `earliest_connect_ms` (monotonic) or later."""

    sock: socket.socket
    earliest_connect_ms: float


class AcceptorOwner(Protocol):
    """Whoever serves the accepted sockets."""

    def ensure_capacity(self, reserved: int, /) -> bool:
        """Whether another connection may be accepted besides `reserved` ones; closes idle ones for it."""

    def serve(self, accepted: AcceptedSocket, /) -> None:
        """Serve an accepted socket, and own it from now on.

        Raises:
            OSError: Where that is not possible now; the socket stays open.
        """


class Acceptor:
    """Owns the listening socket, and accepted sockets until they can be served.

    Attributes:
        address: Host and port on which it listens.
        is_paused: Whether new connections are left to the system's queue for a moment.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        owner: AcceptorOwner,
        max_connections: int,
        telemetry: Telemetry,
    ) -> None:
        """Start to listen at an address; with port 0 the system chooses one.

        At most half of `max_connections`, which the owner serves at once, are accepted in one turn: the first
        request of those just accepted can then be read before others need their capacity.

        Raises:
            OSError: Where it can't listen at this address.
        """
        self._loop = loop
        self._owner = owner
        self._telemetry = telemetry
        self._max_accepts_per_turn = min(MAX_ACCEPTS_PER_TURN, max(1, max_connections // 2))
        self._listener: socket.socket | None = _listen(address)
        self.address: Address = self._listener.getsockname()[:2]
        self.is_paused = False
        self._unread_since = UnreadSince(loop, monotonic_ms())  # of clients that are not accepted yet
        self._deferred_sockets: list[AcceptedSocket] = []  # to be served after the pause
        loop.register(self._listener, READ, self._on_readable)

    def _on_readable(self, _mask: int) -> None:
        self._unread_since.on_reported_readable()
        self.accept_pending()

    def accept_pending(self) -> None:
        """Accept the connections in the system's queue, as far as the limits allow."""
        for _ in range(self._max_accepts_per_turn):
            if self._listener is None:
                return
            if not self._owner.ensure_capacity(len(self._deferred_sockets)):
                self._pause()
                return
            if not self._accept_one(self._listener):
                return

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accept a connection; False where no other one can be accepted in this turn."""
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            self._unread_since.on_read_empty()
            return False
        except OSError as error:
            if error.errno in (errno.ECONNABORTED, errno.EINTR):
                return True
            if not is_transient(error):
                self._telemetry.log(f"accept: {error}")
            self._pause()
            return False
        self._telemetry.count(CLIENTS_ACCEPTED)
        return self._serve(AcceptedSocket(sock, self._unread_since.since_ms))

    def _serve(self, accepted: AcceptedSocket) -> bool:
        """Have the owner serve an accepted socket; False where that can't be done now.

        Its client may have sent a request by now, which a close would lose: it is served later.
        """
        try:
            self._owner.serve(accepted)
        except OSError as error:
            self._telemetry.log(f"accepted connection: {error}")
            self._deferred_sockets.append(accepted)
            self._pause()
            return False
        return True

    def _pause(self) -> None:
        """Leave new connections to the system's queue for a moment, rather than try again at once."""
        if self._listener is not None and not self.is_paused:
            self.is_paused = True
            self._loop.unregister(self._listener)
            self._loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        """Watch the listener again, and serve what could not be served; both may fail once more."""
        if self._listener is None:
            return
        try:
            self._loop.register(self._listener, READ, self._on_readable)
        except OSError as error:
            self._telemetry.log(f"listener: {error}")
            self._loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)
            return
        self._unread_since.on_watch_resumed()
        self.is_paused = False
        deferred = self._deferred_sockets
        self._deferred_sockets = []
        for accepted in deferred:
            self._serve(accepted)

    def close(self) -> None:
        """Stop listening, and close the accepted sockets that could not be served."""
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
