"""The process that runs all clients: open-loop requests, cancellations, early closes, and bad clients.

The process reads commands as JSON lines from standard input. It exits at the end of the input, once no
request is pending.
"""

import asyncio
import random
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path

import msgspec

from soak.bad_clients import run_bad_client
from soak.bulk_clients import encode_withdrawn_requests, run_bulk_client
from soak.client_connections import MAX_PENDING_REQUESTS, ClientConnections
from soak.commands import ClientsCommand, read_commands
from soak.records import Recorder
from soak.request_client import RequestClient, Target, draw_request

RATE_POLL_S = 0.05  # between checks for a new rate while the rate is 0
CLEANUP_DELAY_S = 0.1  # for the tasks of closed connections to finish
BURST_REQUESTS = 1_280  # sent at once to one router
BURST_TIMEOUT_MS = 250


class Clients:
    """An open-loop load generator: its request rate doesn't depend on how fast the routers answer."""

    def __init__(
        self, recorder: Recorder, function_count: int, seed: int, connections_per_router: int
    ) -> None:
        self._recorder = recorder
        self._rng = random.Random(seed)
        self._functions = [f"{self._rng.getrandbits(64):016x}" for _ in range(function_count)]
        self._weights = [1 / (rank + 1) for rank in range(function_count)]  # Zipf's law
        # Encoded once and before the traffic, as encoding takes long enough to delay the other clients.
        # Their ids are drawn from another seed than those of the usual requests, as they must differ.
        bulk_rng = random.Random(f"bulk withdrawals of {seed}")
        self._withdrawn_requests = encode_withdrawn_requests(self._functions, bulk_rng)
        self._command = ClientsCommand([], 0.0)
        self._connections = ClientConnections(self._rng, connections_per_router)
        self._requests = RequestClient(self._connections, recorder, self._rng)
        self._tasks: set[asyncio.Task[None]] = set()

    def apply(self, command: ClientsCommand) -> None:
        """Replace the current command, and start the clients that it asks for once."""
        self._command = command
        for router in command.bulk_withdrawals_at:
            if port := command.ports[router]:
                self._start(run_bulk_client(port, self._withdrawn_requests))
        for router in command.bursts_at:
            if port := command.ports[router]:
                self._start(self._send_burst(router, port))

    async def run_requests(self) -> None:
        """Start requests at random times until the task is cancelled."""
        await self._run_arrivals(lambda: self._command.requests_per_s, self._request)

    async def run_bad_clients(self) -> None:
        """Start bad clients at random times until the task is cancelled."""
        await self._run_arrivals(lambda: self._command.bad_clients_per_s, self._connect_bad_client)

    async def finish(self) -> None:
        """Wait for all pending requests, then close all connections."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        self._connections.close()
        await asyncio.sleep(CLEANUP_DELAY_S)

    async def _run_arrivals(
        self, get_rate: Callable[[], float], start: Callable[[int], Coroutine[None, None, None]]
    ) -> None:
        """Call `start` for a random router at each arrival of a Poisson process with the current rate."""
        while True:
            rate = get_rate()
            await asyncio.sleep(self._rng.expovariate(rate) if rate else RATE_POLL_S)
            routers = [router for router, port in enumerate(self._command.ports) if port]
            if rate and routers:
                self._start(start(self._rng.choice(routers)))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        """Run work in a task, for which `finish` waits."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, router: int) -> None:
        """Send a request; retry it once if its connection closed right after the request was sent."""
        request = draw_request(self._rng, self._functions, self._weights)
        may_connect = router not in self._command.open_only
        target = Target(router, self._command.ports[router], may_connect)
        should_retry = await self._requests.send(request, target)
        if should_retry and (routers := self._connectable_routers()):
            other = router if router in routers else self._rng.choice(routers)
            await self._requests.send(request, Target(other, self._command.ports[other]), is_retry=True)

    async def _send_burst(self, router: int, port: int) -> None:
        """Send requests for one function with short timeouts at once, on connections of their own."""
        function = self._functions[:1]
        requests = [
            msgspec.structs.replace(
                draw_request(self._rng, function, [1.0]), class_name="view", timeout_ms=BURST_TIMEOUT_MS
            )
            for _ in range(BURST_REQUESTS)
        ]
        await self._requests.send_together(requests, Target(router, port), MAX_PENDING_REQUESTS)

    def _connectable_routers(self) -> list[int]:
        command = self._command
        return [
            router for router, port in enumerate(command.ports) if port and router not in command.open_only
        ]

    async def _connect_bad_client(self, router: int) -> None:
        await run_bad_client(router, self._command.ports[router], self._recorder, self._rng)


async def main(function_count: int, seed: int, connections_per_router: int, record_path: Path) -> None:
    """Run the clients until standard input ends, then wait for the pending requests."""
    recorder = Recorder(record_path)
    clients = Clients(recorder, function_count, seed, connections_per_router)
    arrivals = [asyncio.create_task(clients.run_requests()), asyncio.create_task(clients.run_bad_clients())]
    async for command in read_commands(ClientsCommand):
        clients.apply(command)
    for task in arrivals:
        task.cancel()
    await clients.finish()
    recorder.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), Path(sys.argv[4])))
