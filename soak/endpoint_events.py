"""The endpoint events of a run, and their conversion to the JSON of the endpoint log."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

ENDPOINT_SIZE = 1  # relative capacity, which is the same for all workers


class EndpointPhase(StrEnum):
    """The state of a worker in the endpoint log; the values are sent to the routers."""

    READY = "in_service"
    DRAINING = "terminating"
    REMOVED = "terminated"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The state of a worker in an endpoint event.

    Attributes:
        name: The worker's identity, which outlives a restart of its process.
        slot: The number of the worker slot, which determines the worker's address for each router.
        phase: Whether the worker is ready, draining or removed.
        started_at_ms: The Unix time of the worker's start; 0 for one that counts as started long ago.
        cell: The cell of the worker.
    """

    name: str
    slot: int
    phase: EndpointPhase
    started_at_ms: float
    cell: int = 0


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """A list of changed endpoints or, if `is_complete`, of all endpoints."""

    sequence: int
    endpoints: tuple[Endpoint, ...]
    is_complete: bool

    def to_wire(self, ports_by_slot: Sequence[int]) -> dict[str, Any]:
        """Return the event as JSON of the log, for a router that reaches the worker slots at these ports."""
        members = [
            {
                "id": endpoint.name,
                "place": endpoint.slot,
                "phase": endpoint.phase.value,
                "up_since_ms": endpoint.started_at_ms,
                "host_port": f"127.0.0.1:{ports_by_slot[endpoint.slot]}",
                "size": ENDPOINT_SIZE,
                "cell": endpoint.cell,
            }
            for endpoint in self.endpoints
        ]
        return {"seq": self.sequence, "fleet": {"complete": self.is_complete, "members": members}}
