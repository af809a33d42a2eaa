"""A worker slot of the cluster: a set of proxy ports, and the successive worker processes behind them."""

import asyncio
import time

from soak import site
from soak.commands import ProxyCommand
from soak.endpoint_events import Endpoint, EndpointPhase
from soak.module_process import ModuleProcess
from soak.run_record import WorkerIncarnation


class WorkerSlot:
    """The current worker process of a slot, and the slot's incarnations so far.

    The slot owns its processes; the cluster calls `clean_up` at the end of the run.

    Attributes:
        number: The number of the slot.
        incarnations: The incarnations, oldest first, with the current one last.
    """

    def __init__(self, number: int, proxy: ModuleProcess) -> None:
        self.number = number
        self.incarnations: list[WorkerIncarnation] = []
        self._proxy = proxy
        self._processes: list[ModuleProcess] = []  # one for each incarnation
        self._port = 0
        self._started_at_ms = 0.0

    @property
    def incarnation(self) -> WorkerIncarnation:
        """The current incarnation or, while there is none, the last one."""
        return self.incarnations[-1]

    @property
    def process(self) -> ModuleProcess:
        """The process of the current incarnation."""
        return self._processes[-1]

    def endpoint(self, phase: EndpointPhase) -> Endpoint:
        """Return the state of the current worker for an endpoint event."""
        incarnation = self.incarnation
        return Endpoint(incarnation.name, self.number, phase, self._started_at_ms, incarnation.cell)

    async def start(self, name: str, *, is_in_slow_start: bool) -> None:
        """Start a process, and make the proxy forward to it.

        A worker with another name than the one before is in the next cell, and fails some requests.

        Args:
            name: The worker's name in endpoint events.
            is_in_slow_start: Whether the worker gets a slow start; False if it counts as started long ago.
        """
        cell = site.first_cell(self.number)
        error_share = 0.0
        if self.incarnations:
            is_renamed = name != self.incarnation.name
            cell = site.next_cell(self.incarnation.cell) if is_renamed else self.incarnation.cell
            error_share = site.REPLACEMENT_ERROR_SHARE if is_renamed else 0.0
        process = await ModuleProcess.start("soak.worker", str(error_share))
        self._processes.append(process)
        self._port = int(await process.read_line())
        self.incarnations.append(
            WorkerIncarnation(
                self.number, name, time.monotonic(), is_in_slow_start=is_in_slow_start, cell=cell
            )
        )
        self._started_at_ms = time.time() * 1000 if is_in_slow_start else 0.0
        await self.forward()

    async def kill(self) -> None:
        """Kill the process, and make the proxy refuse connections to the slot."""
        self.process.kill()
        await self.refuse_connections()

    async def forward(self, *, corrupted_share: float = 0.0, reset_connections: bool = False) -> None:
        """Make the proxy forward to the current process.

        Args:
            corrupted_share: The share of reads from the worker that the proxy corrupts.
            reset_connections: Whether the proxy resets the connections that are open now.
        """
        await self._proxy.send_command(
            ProxyCommand(self.number, self._port, corrupted_share, reset_connections=reset_connections)
        )

    async def refuse_connections(self) -> None:
        """Make the proxy reset the connections to this slot and refuse new ones."""
        await self._proxy.send_command(ProxyCommand(self.number, None))

    async def clean_up(self) -> None:
        """Kill the processes of all incarnations, and wait until they have exited."""
        await asyncio.gather(*(process.clean_up() for process in self._processes))
