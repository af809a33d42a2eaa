"""Endpoint events of a run, and their translation to the JSON of the operator's endpoint log."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

ENDPOINT_SIZE = 1  # the relative capacity of a worker: all of them are alike


class EndpointPhase(StrEnum):
    """The state of a worker in the endpoint log; the values are those on the wire."""

    READY = "in_service"
    DRAINING = "terminating"
    REMOVED = "terminated"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A worker as an endpoint event describes it.

    Attributes:
        name: identifies the worker; it survives a restart of its process.
        slot: the worker slot, from which each router's address of the worker follows.
        phase: whether it takes requests.
        started_at_ms: Unix time at which it started; 0 for one that started long ago.
    """

    name: str
    slot: int
    phase: EndpointPhase
    started_at_ms: float


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """Endpoints that have changed or, if `is_complete`, the list of all endpoints."""

    sequence: int
    endpoints: tuple[Endpoint, ...]
    is_complete: bool

    def to_wire(self, ports_by_slot: Sequence[int]) -> dict[str, Any]:
        """The event as JSON of the log, for a router that reaches the worker slots at these ports."""
        members = [
            {
                "id": endpoint.name,
                "place": endpoint.slot,
                "phase": endpoint.phase.value,
                "up_since_ms": endpoint.started_at_ms,
                "host_port": f"127.0.0.1:{ports_by_slot[endpoint.slot]}",
                "size": ENDPOINT_SIZE,
            }
            for endpoint in self.endpoints
        ]
        return {"seq": self.sequence, "fleet": {"complete": self.is_complete, "members": members}}
