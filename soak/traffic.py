"""Controls the clients' process: its request rate, its rate of bad clients, and the routers that it uses."""

from collections.abc import Sequence

import msgspec

from soak.commands import ClientsCommand
from soak.module_process import ModuleProcess


class Traffic:
    """Controls the clients; each change is sent at once, and leaves all other settings as they were."""

    def __init__(self, process: ModuleProcess, router_count: int) -> None:
        self._process = process
        self._command = ClientsCommand([0] * router_count, 0.0)

    async def start(self, ports: Sequence[int], requests_per_s: float) -> None:
        """Start sending requests to the routers at these ports; a port of 0 marks a router that is down."""
        await self._change(ports=list(ports), requests_per_s=requests_per_s)

    async def stop(self) -> None:
        """Set the rates of requests and bad clients to 0."""
        await self._change(requests_per_s=0.0, bad_clients_per_s=0.0)

    async def set_request_rate(self, requests_per_s: float) -> None:
        """Set the request rate of all clients together."""
        await self._change(requests_per_s=requests_per_s)

    async def set_bad_client_rate(self, bad_clients_per_s: float) -> None:
        """Set the rate of clients that violate the protocol."""
        await self._change(bad_clients_per_s=bad_clients_per_s)

    async def withdraw_in_bulk(self, routers: Sequence[int]) -> None:
        """Start a client at each of these routers that withdraws hundreds of requests at once."""
        await self._change(bulk_withdrawals_at=list(routers))
        self._command = msgspec.structs.replace(self._command, bulk_withdrawals_at=[])

    async def send_burst(self, router: int) -> None:
        """Send hundreds of requests to a router at once."""
        await self._change(bursts_at=[router])
        self._command = msgspec.structs.replace(self._command, bursts_at=[])

    async def use_router(self, router: int, port: int) -> None:
        """Send requests to a router, at the given port."""
        await self._set_port(router, port)

    async def stop_connecting_to(self, router: int) -> None:
        """Make no new connections to a router, but keep using existing ones."""
        await self._change(open_only=[*self._command.open_only, router])

    async def avoid_router(self, router: int) -> None:
        """Send no more requests to a router."""
        await self._set_port(router, 0)

    async def _set_port(self, router: int, port: int) -> None:
        ports = list(self._command.ports)
        ports[router] = port
        open_only = [other for other in self._command.open_only if other != router]
        await self._change(ports=ports, open_only=open_only)

    async def _change(self, **changes: float | list[int]) -> None:
        self._command = msgspec.structs.replace(self._command, **changes)
        await self._process.send_command(self._command)
