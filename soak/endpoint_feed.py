"""The endpoint events of a run, which each router gets from an endpoint log of its own."""

import asyncio
import time
from collections.abc import Sequence
from functools import partial
from typing import Any

from soak.endpoint_events import Endpoint, EndpointEvent
from soak.endpoint_log import EndpointLogServer
from soak.ports import PortAllocator


class EndpointFeed:
    """Stores all events, and publishes them through a log server for each router.

    Attributes:
        servers: The endpoint log of each router; the index is the router's number.
    """

    def __init__(
        self, proxy_ports: Sequence[Sequence[int]], ports: PortAllocator, shown_after_s: float = 0.0
    ) -> None:
        """Create a log server for each router.

        Args:
            proxy_ports: The ports of the worker slots, by router.
            ports: The ports for the logs.
            shown_after_s: How long neither events nor heartbeats of the logs show a change.
        """
        self._proxy_ports = proxy_ports
        self._shown_after_s = shown_after_s
        self._events: list[EndpointEvent] = []
        self._showing: set[asyncio.Task[None]] = set()  # changes that the logs do not show yet
        self.servers = [
            EndpointLogServer(self._events, partial(self._to_wire, router=router), ports)
            for router in range(len(proxy_ports))
        ]

    @property
    def last_sequence(self) -> int:
        """The sequence number of the last event."""
        return self._events[-1].sequence

    async def start(self, endpoints: Sequence[Endpoint]) -> None:
        """Start all servers, with the complete list of endpoints as the first event."""
        self._append_event(endpoints, is_complete=True)
        for server in self.servers:
            await server.start()

    async def publish(self, endpoint: Endpoint) -> dict[int, float]:
        """Publish a changed endpoint; return, by router, the time from which it counts as notified."""
        now = time.monotonic()
        notified_at = {router: server.notified_at(now) for router, server in enumerate(self.servers)}
        showing = asyncio.create_task(self._show(endpoint, self._shown_after_s))
        self._showing.add(showing)
        showing.add_done_callback(self._showing.discard)
        if not self._shown_after_s:
            await showing
        return notified_at

    async def _show(self, endpoint: Endpoint, after_s: float) -> None:
        """Let the logs show a changed endpoint, after some time."""
        await asyncio.sleep(after_s)
        self._append_event([endpoint], is_complete=False)
        for server in self.servers:
            await server.publish()

    def events_for(self, router: int) -> list[dict[str, Any]]:
        """Return all events in the form in which the log of this router sends them."""
        return [self._to_wire(event, router=router) for event in self._events]

    async def close(self) -> None:
        """Stop all servers, and close their connections; changes that are not shown yet are dropped."""
        for showing in self._showing:
            showing.cancel()
        for server in self.servers:
            await server.close()

    def _append_event(self, endpoints: Sequence[Endpoint], *, is_complete: bool) -> None:
        sequence = len(self._events) + 1
        self._events.append(EndpointEvent(sequence, tuple(endpoints), is_complete=is_complete))

    def _to_wire(self, event: EndpointEvent, *, router: int) -> dict[str, Any]:
        return event.to_wire(self._proxy_ports[router])
