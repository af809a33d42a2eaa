"""Operations on TCP sockets that need no event loop: connecting, and peeking at unread data."""

import contextlib
import errno
import select
import socket
from enum import Enum, auto

from function_router.config import Address
from function_router.net.transient_errors import is_transient


class PeekResult(Enum):
    """The result of a peek at a socket."""

    NOTHING = auto()
    DATA = auto()
    END = auto()  # the peer has closed the connection, or it is broken
    UNKNOWN = auto()  # the peek failed with a transient error


MAY_HOLD_DATA = (PeekResult.DATA, PeekResult.UNKNOWN)
"""The results of a peek after which data may be unread."""


def address_family(address: Address) -> socket.AddressFamily:
    """Return the address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def configure_socket(sock: socket.socket) -> None:
    """Make a socket non-blocking, and disable Nagle's algorithm where the system allows it."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # without TCP_NODELAY, small messages are only delayed until an ACK
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def begin_connect(address: Address) -> socket.socket:
    """Create a socket and start to connect it; it may be connected already.

    Raises:
        OSError: Connecting failed at once.
    """
    sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    try:
        configure_socket(sock)
        error_number = sock.connect_ex(address)
    except OSError:
        sock.close()
        raise
    # A connect that is interrupted by a signal continues in the background.
    if error_number not in (0, errno.EINPROGRESS, errno.EINTR):
        sock.close()
        raise OSError(error_number, "connect")
    return sock


def connect_error(sock: socket.socket) -> OSError | None:
    """Return the error of a failed connect; None if the socket, which has become writable, is connected."""
    error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(error_number, "connect") if error_number else None


def peek(sock: socket.socket) -> PeekResult:
    """Return what the next read from a non-blocking socket would find, without reading it."""
    try:
        return PeekResult.DATA if sock.recv(1, socket.MSG_PEEK) else PeekResult.END
    except BlockingIOError:
        return PeekResult.NOTHING
    except OSError as error:
        return PeekResult.UNKNOWN if is_transient(error) else PeekResult.END


def count_unread(sock: socket.socket, max_bytes: int) -> int:
    """Return how many bytes a read of up to `max_bytes` would find, without reading them."""
    try:
        return len(sock.recv(max_bytes, socket.MSG_PEEK))
    except OSError:  # there is none, or the next read reports the error
        return 0


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection, even if bytes that it sent before are unread."""
    unread = peek(sock)
    if unread is not PeekResult.DATA:
        return unread is PeekResult.END
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(mask & select.POLLRDHUP for _, mask in poll.poll(0))
