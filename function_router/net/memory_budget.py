"""The budget of memory that peers can fill, with a share for each kind of store and fair use of a share.

A holder of entries in a share, such as a client, is guaranteed an equal part of one half of the share. Of the
other half, the pool, it may use at most a fraction of what is unused: the dynamic threshold of Choudhury and
Hahne, "Dynamic queue length thresholds for shared-memory packet switches" (IEEE/ACM Transactions on
Networking 6(2), 1998). One holder thus gets a small part of the pool, greedy holders get equal parts of it,
and a part stays free for those that use little.
"""

from enum import StrEnum

from function_router.config import MemoryPlan

# The fraction of a share that is guaranteed to its holders, in equal parts.
GUARANTEED_FRACTION = 0.5


# The fraction of the unused part of the pool up to which one holder may use the pool.
POOL_THRESHOLD_FRACTION = 1 / 8


class MemoryOwner(StrEnum):
    """The kinds of stores, named as in the log."""

    REQUESTS = "requests"
    CLIENT_INPUT = "client input"
    CLIENT_OUTPUT = "client output"
    WORKER_INPUT = "worker input"
    IDS = "ids"
    PAST_RUNS = "past runs"


class MemoryShare:
    """The part of the budget that one kind of store may use.

    Attributes:
        owner: The kind of store.
        capacity_bytes: Maximum size of all its entries together.
        guaranteed_bytes: What each holder may use whatever the others use.
        used_bytes: The current size of all entries.
        peak_bytes: The maximum of their size since `restart_peak` was called.
    """

    __slots__ = (
        "_pool_bytes",
        "_pool_used_bytes",
        "capacity_bytes",
        "guaranteed_bytes",
        "owner",
        "peak_bytes",
        "used_bytes",
    )

    def __init__(self, owner: MemoryOwner, capacity_bytes: int, max_holders: int) -> None:
        """Create an empty share for at most `max_holders` holders at a time."""
        self.owner = owner
        self.capacity_bytes = capacity_bytes
        self.guaranteed_bytes = int(GUARANTEED_FRACTION * capacity_bytes / max_holders)
        self.used_bytes = 0
        self.peak_bytes = 0
        self._pool_bytes = capacity_bytes - max_holders * self.guaranteed_bytes
        self._pool_used_bytes = 0

    @property
    def threshold_bytes(self) -> int:
        """The most that one holder may use now."""
        unused_bytes = max(0, self._pool_bytes - self._pool_used_bytes)
        return self.guaranteed_bytes + int(POOL_THRESHOLD_FRACTION * unused_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the capacity is in use."""
        return self.used_bytes > self.capacity_bytes

    def add(self, size_bytes: int, from_pool_bytes: int) -> None:
        """Count entries, of which a part is taken from the pool; negative sizes count removed entries."""
        self.used_bytes += size_bytes
        self._pool_used_bytes += from_pool_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def restart_peak(self) -> None:
        """Start to measure the maximum anew."""
        self.peak_bytes = self.used_bytes


class MemoryAccount:
    """What one holder uses of a share. The holder closes the account at its end.

    Attributes:
        used_bytes: The size of the holder's entries.
    """

    __slots__ = ("_from_pool_bytes", "_share", "used_bytes")

    def __init__(self, share: MemoryShare) -> None:
        """Open an account without entries."""
        self.used_bytes = 0
        self._from_pool_bytes = 0
        self._share = share

    @property
    def is_share_exceeded(self) -> bool:
        """Whether all holders together use more than the share has."""
        return self._share.is_exceeded

    def allows(self, size_bytes: int) -> bool:
        """Return whether the holder may add an entry of this size."""
        return size_bytes <= self.headroom_bytes

    @property
    def headroom_bytes(self) -> int:
        """How much the holder may add now; negative if it uses more than it may now."""
        return self._share.threshold_bytes - self.used_bytes

    def is_over_threshold(self) -> bool:
        """Return whether the holder uses more than it may while the share is as full as it is."""
        return self.used_bytes > 0 and self.headroom_bytes < 0

    def charge(self, size_bytes: int) -> None:
        """Count an entry; a negative size counts one that is removed."""
        self.used_bytes += size_bytes
        from_pool_bytes = max(0, self.used_bytes - self._share.guaranteed_bytes)
        self._share.add(size_bytes, from_pool_bytes - self._from_pool_bytes)
        self._from_pool_bytes = from_pool_bytes

    def resize(self, used_bytes: int) -> None:
        """Count all entries of the holder anew."""
        if used_bytes != self.used_bytes:
            self.charge(used_bytes - self.used_bytes)

    def close(self) -> None:
        """Count all entries of the holder as removed."""
        self.resize(0)


class MemoryBudget:
    """Owns the shares of all kinds of stores.

    Attributes:
        requests: Pending requests with their bodies, and their attempts; the holders are the clients, and one
            for all attempts.
        client_input: Messages of clients that are read and not handled yet, or received in part.
        client_output: Answers that clients have not read yet.
        worker_input: Answers of workers that are received in part; the holders are connections.
        ids: Ids of past exchanges; the holders are connections to workers.
        past_runs: Ids of requests that may have run and must not run again.
        resident_bytes: The limit on the resident memory of the process.
    """

    __slots__ = (
        "client_input",
        "client_output",
        "ids",
        "past_runs",
        "requests",
        "resident_bytes",
        "worker_input",
    )

    def __init__(self, plan: MemoryPlan, max_clients: int, max_worker_connections: int) -> None:
        """Create empty shares with the capacities of a plan."""
        self.requests = MemoryShare(MemoryOwner.REQUESTS, plan.requests_bytes, max_clients)
        self.client_input = MemoryShare(MemoryOwner.CLIENT_INPUT, plan.client_input_bytes, max_clients)
        self.client_output = MemoryShare(MemoryOwner.CLIENT_OUTPUT, plan.client_output_bytes, max_clients)
        self.worker_input = MemoryShare(
            MemoryOwner.WORKER_INPUT, plan.worker_input_bytes, max_worker_connections
        )
        self.ids = MemoryShare(MemoryOwner.IDS, plan.ids_bytes, max_worker_connections)
        self.past_runs = MemoryShare(MemoryOwner.PAST_RUNS, plan.past_runs_bytes, max_holders=1)
        self.resident_bytes = plan.resident_bytes

    @property
    def shares(self) -> list[MemoryShare]:
        """All shares."""
        return [
            self.requests,
            self.client_input,
            self.client_output,
            self.worker_input,
            self.ids,
            self.past_runs,
        ]
