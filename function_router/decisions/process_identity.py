"""Which connections are known to lead to the worker that the endpoint list names.

An address can change hands: a worker ends, and another worker, of another zone or cell, starts at its
address. A connection leads to whichever process listens when it is established. The endpoint list tells only
later which worker that is, and not at all while the endpoint log is out of reach. An idempotency key that is
shared by a zone or a cell therefore protects a repeated request only if both processes are known.

There are two kinds of evidence. A confirmed list shows which workers had their addresses at the latest time
up to which the log has published all changes. And a worker that replies on a connection that is known to lead
to it had its address when the message was sent, so connections that were established before lead to it, too.
"""

import math

from function_router.decisions.events import Transmission
from function_router.decisions.records import Attempt, Worker
from function_router.decisions.types import WorkerState

# How long after a change of a worker the endpoint log may publish it.
MAX_PUBLICATION_DELAY_MS = 4_000.0


class ProcessIdentity:
    """Owns the time up to which the endpoint list identifies processes, and the `Worker.identity` records.

    Without reports about connections, as in the simulator, each worker is addressed by its id, and its
    process is always known.
    """

    def __init__(self) -> None:
        # Each listed worker had its address from when it was listed until this time.
        self._listed_until_ms = -math.inf

    # --- evidence -------------------------------------------------------------------------------

    def record_list_confirmed(self, as_of_ms: float) -> None:
        """Record that the endpoint list has all events that the log had published at `as_of_ms`."""
        self._listed_until_ms = max(self._listed_until_ms, as_of_ms - MAX_PUBLICATION_DELAY_MS)

    def record_listed(self, worker: Worker, now_ms: float) -> None:
        """Record that the list names a worker for the first time, or again after its removal."""
        worker.identity.listed_ms = now_ms

    def record_removed(self, worker: Worker) -> None:
        """Record that the list no longer names a worker; later lists are no evidence for its address."""
        if worker.endpoint.state is WorkerState.REMOVED:
            return
        worker.identity.replied_ms = max(worker.identity.replied_ms, self._listed_until_ms)

    def record_reply(self, worker: Worker, transmission: Transmission | None) -> None:
        """Record a worker's reply to a message; None if the transport addresses workers by their ids."""
        if transmission is None:
            return
        identity = worker.identity
        identity.last_connected_ms = transmission.connected_at_ms
        if self.is_known(worker, transmission.connected_at_ms):
            identity.replied_ms = max(identity.replied_ms, transmission.sent_at_ms)

    # --- queries --------------------------------------------------------------------------------

    def connection_cutoff_ms(self, worker: Worker) -> float:
        """Return the time by which a connection must have been established to lead to the worker for certain.

        Connections to an earlier process at another address, or of an earlier record, don't count.
        """
        if worker.endpoint.state is WorkerState.REMOVED:
            return worker.identity.replied_ms
        return max(worker.identity.replied_ms, self._listed_until_ms)

    def is_known(self, worker: Worker, connected_at_ms: float) -> bool:
        """Return whether a connection that was established at this time leads to the worker for certain."""
        return worker.identity.listed_ms <= connected_at_ms <= self.connection_cutoff_ms(worker)

    def has_known_connection(self, worker: Worker) -> bool:
        """Return whether the worker last replied on a connection that leads to it for certain.

        The result is True if no reply is known; whoever sends has to check the connection in any case.
        """
        connected_at_ms = worker.identity.last_connected_ms
        return connected_at_ms is None or self.is_known(worker, connected_at_ms)

    def is_attempt_known(self, attempt: Attempt) -> bool:
        """Return whether an attempt is known to have reached the worker that it was sent to.

        While the attempt is in flight, its connection is assumed to be that of the worker's last reply.
        """
        if attempt.connected_at_ms is not None:
            return self.is_known(attempt.worker, attempt.connected_at_ms)
        return not attempt.in_flight or self.has_known_connection(attempt.worker)
