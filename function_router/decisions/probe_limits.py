"""The limits on pending probes for functions without a known instance.

Such a probe stays pending, with its memory and its place on a connection, until the worker answers or the
order times out, even if its request was withdrawn meanwhile. Other probes are limited by the number of known
instances.
"""

from collections import defaultdict

from function_router.decisions.events import InstancesReported
from function_router.decisions.settings import Settings

# Maximum number of pending probes at one worker. It is about what one of the connections to it may carry, so
# that unanswered probes leave the others to requests.
MAX_PENDING_AT_WORKER = 32


class ProbeLimits:
    """Counts the pending probes."""

    def __init__(self, settings: Settings) -> None:
        self._max_pending = settings.max_pending_probes
        self._pending_count = 0
        self._functions_by_worker: defaultdict[int, set[str]] = defaultdict(set)  # of the pending probes

    def allows_probe(self, worker_id: int) -> bool:
        """Return whether one more probe may be sent to a worker now."""
        is_worker_below_limit = len(self._functions_by_worker[worker_id]) < MAX_PENDING_AT_WORKER
        return is_worker_below_limit and self._pending_count < self._max_pending

    def record_probe(self, worker_id: int, function: str) -> None:
        """Count a probe that is sent now."""
        functions = self._functions_by_worker[worker_id]
        if function not in functions:
            functions.add(function)
            self._pending_count += 1

    def record_report(self, event: InstancesReported) -> None:
        """Count a probe as ended; do nothing if the report answers another kind of probe or a start order."""
        functions = self._functions_by_worker.get(event.worker_id)
        if functions is None or event.function not in functions:
            return
        functions.discard(event.function)
        self._pending_count -= 1
        if not functions:
            del self._functions_by_worker[event.worker_id]
