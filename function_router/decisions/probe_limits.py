"""The limit on pending probes for functions without a known instance.

Such a probe stays pending, with its memory, until the worker answers or the order times out, even if its
request was withdrawn meanwhile. Other probes are limited by the number of known instances.
"""

from function_router.decisions.events import InstancesReported
from function_router.decisions.settings import Settings


class ProbeLimits:
    """Counts the pending probes."""

    def __init__(self, settings: Settings) -> None:
        self._max_pending = settings.max_pending_probes
        self._pending: set[tuple[int, str]] = set()  # by worker id and function

    def allows_probe(self) -> bool:
        """Return whether one more probe may be sent now."""
        return len(self._pending) < self._max_pending

    def record_probe(self, worker_id: int, function: str) -> None:
        """Count a probe that is sent now."""
        self._pending.add((worker_id, function))

    def record_report(self, event: InstancesReported) -> None:
        """Count a probe as ended; do nothing if the report answers another kind of probe or a start order."""
        self._pending.discard((event.worker_id, event.function))
