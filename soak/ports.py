"""Ports for listeners that stop and listen again, from outside the system's range of ephemeral ports.

A connection could otherwise have taken the port by the time the listener returns to it.
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
    """Hands out the ports of a range, each once, and none that another run on this machine holds.

    A listener starts some time after it got its port, and may stop for a while. To reserve the port until
    then, an abstract Unix socket (unix(7)) is bound to a name of it, which the kernel releases at exit.
    """

    def __init__(self, ports: range) -> None:
        self._ports = iter(ports)
        self._reservations: list[socket.socket] = []

    def allocate(self) -> int:
        """Take a port that nobody listens on; raises NoFreePortError."""
        for port in self._ports:
            if _is_bindable(port) and self._reserve(port):
                return port
        message = "no port is left in the range"
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
    """Bind a socket; False if the address is in use."""
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
