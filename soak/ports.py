"""Ports for listeners that stop and later listen again.

The ports are outside the system's range of ephemeral ports. An outgoing connection could otherwise occupy the
port of a listener that has stopped.
"""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable

from soak.errors import NoFreePortError

# Below the usual ip_local_port_range of Linux, which begins at 32768.
PROXY_PORTS = range(20_000, 28_000)
OTHER_PORTS = range(28_000, 32_000)
LISTEN_BACKLOG = 256


class PortAllocator:
    """Allocates each port of a range once, except those that another run on this machine has allocated.

    A listener may start long after the allocation of its port, and may stop for a time. An abstract Unix
    socket (unix(7)), bound to a name with the port's number, reserves the port for the whole run. The kernel
    releases the name when the process exits.
    """

    def __init__(self, ports: range) -> None:
        self._ports = iter(ports)
        self._reservations: list[socket.socket] = []

    def allocate(self) -> int:
        """Return a port on which nothing listens, and reserve it; raise NoFreePortError if none is left."""
        for port in self._ports:
            if _is_bindable(port) and self._reserve(port):
                return port
        message = "all ports of the range are allocated or in use"
        raise NoFreePortError(message)

    def close(self) -> None:
        """Release all reservations."""
        for reservation in self._reservations:
            reservation.close()

    def _reserve(self, port: int) -> bool:
        reservation = socket.socket(socket.AF_UNIX)
        if not _try_bind(reservation, f"\0soak-port-{port}"):
            reservation.close()
            return False
        self._reservations.append(reservation)
        return True


def _is_bindable(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return _try_bind(probe, ("127.0.0.1", port))


def _try_bind(sock: socket.socket, address: str | tuple[str, int]) -> bool:
    """Bind a socket; return False if the address is in use."""
    try:
        sock.bind(address)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    return True


async def listen(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int
) -> asyncio.Server:
    """Listen on a port of the loopback interface."""
    return await asyncio.start_server(serve, "127.0.0.1", port, backlog=LISTEN_BACKLOG)
