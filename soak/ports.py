"""Ports of listeners that come and go: outside the range of which the system takes ports for connections.

A port of that range may be some connection's by the time that a listener returns to it.
"""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable

# Below the usual ip_local_port_range of Linux, which begins at 32768.
PROXY_PORTS = range(20_000, 28_000)
OTHER_PORTS = range(28_000, 32_000)


class PortRange:
    """Hands out the ports of a range, each once."""

    def __init__(self, ports: range) -> None:
        self._ports = iter(ports)

    def take(self) -> int:
        """A port that nobody listens on."""
        for port in self._ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError as error:
                    if error.errno != errno.EADDRINUSE:
                        raise
                    continue
                return port
        message = "no port is left"
        raise OSError(errno.EADDRINUSE, message)


async def listen(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], port: int
) -> asyncio.Server:
    """Listen on a port of the loopback interface."""
    return await asyncio.start_server(serve, "127.0.0.1", port, backlog=256)
