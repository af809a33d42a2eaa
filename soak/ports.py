"""Ports of listeners that come and go: outside the range of which the system takes ports for connections.

A port of that range may be some connection's by the time that a listener returns to it.
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


class PortRange:
    """Hands out the ports of a range, each once, and none that another run on this machine was given.

    A listener begins some time after it was given its port, and may pause. Until then a port is reserved by
    the name of an abstract Unix socket (unix(7)), which the kernel gives up with the process.
    """

    def __init__(self, ports: range) -> None:
        self._ports = iter(ports)
        self._reservations: list[socket.socket] = []

    def take(self) -> int:
        """A port that nobody listens on; raises NoFreePortError."""
        for port in self._ports:
            if _is_bindable(port) and self._reserve(port):
                return port
        message = "no port is left in the range"
        raise NoFreePortError(message)

    def close(self) -> None:
        """Give up the reservations of all ports."""
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
    """Bind a socket, unless its address is in use."""
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
