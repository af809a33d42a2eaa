"""The division of the process's memory among the stores that peers can fill.

All limits on memory are derived here from `limits.memory_mb` and `limits.sockets`. The limits are on bytes
that the stores count; as CPython and its allocator need more than that, they are divided by
`RESIDENT_PER_COUNTED_BYTE`.
"""

from msgspec import Struct

MEBIBYTE = 1024 * 1024

# Resident memory of a router that serves its usual requests: interpreter, libraries, code and fixed tables.
BASE_BYTES = 23 * MEBIBYTE
# Resident memory of an open connection with nothing queued.
CONNECTION_BYTES = 4 * 1024
# Share of the file descriptors that connections use.
CONNECTED_SHARE = 0.8
# Resident memory that a counted byte takes, with the fragmentation that a peak leaves.
RESIDENT_PER_COUNTED_BYTE = 1.4
# Even the smallest configured limit leaves this much to the stores.
MIN_TOTAL_BYTES = 3 * MEBIBYTE
# More would not be of use: requests that wait for so much work are not answered in time.
MAX_TOTAL_BYTES = 64 * MEBIBYTE

# Minimum for answers in part: two of the largest answers that the codec accepts.
MIN_WORKER_INPUT_BYTES = 2 * 320 * 1024
# Memory of a pending probe: its exchange, its frame and its timer.
PROBE_BYTES = 1024


class MemoryPlan(Struct, frozen=True):
    """How many bytes each kind of store may hold, and the limit on the resident memory of the process.

    Attributes:
        resident_bytes: The limit on the resident memory of the process, which the operator enforces.
        requests_bytes: Pending requests with their bodies, in all parts of the router.
        client_input_bytes: Messages of clients that are read and not handled yet, or received in part.
        client_output_bytes: Answers that clients have not read yet.
        worker_input_bytes: Answers of workers that are received in part.
        ids_bytes: Ids of past exchanges with workers.
        past_runs_bytes: Ids of requests that may have run and must not run again.
        functions_bytes: The function table of the decision module.
        probes_bytes: Pending probes.
    """

    resident_bytes: int
    requests_bytes: int
    client_input_bytes: int
    client_output_bytes: int
    worker_input_bytes: int
    ids_bytes: int
    past_runs_bytes: int
    functions_bytes: int
    probes_bytes: int

    @classmethod
    def for_limits(cls, memory_mb: int, max_sockets: int) -> "MemoryPlan":
        """Divide the memory that the process does not need for itself and for its connections."""
        resident_bytes = memory_mb * MEBIBYTE
        connections_bytes = int(CONNECTED_SHARE * max_sockets) * CONNECTION_BYTES
        left_bytes = (resident_bytes - BASE_BYTES - connections_bytes) / RESIDENT_PER_COUNTED_BYTE
        worker_input_bytes = max(MIN_WORKER_INPUT_BYTES, int(0.05 * min(MAX_TOTAL_BYTES, left_bytes)))
        total_bytes = min(MAX_TOTAL_BYTES, max(MIN_TOTAL_BYTES, left_bytes - worker_input_bytes))
        return cls(
            resident_bytes=resident_bytes,
            requests_bytes=int(0.3 * total_bytes),
            client_input_bytes=int(0.2 * total_bytes),
            client_output_bytes=int(0.1 * total_bytes),
            worker_input_bytes=worker_input_bytes,
            ids_bytes=int(0.05 * total_bytes),
            past_runs_bytes=int(0.05 * total_bytes),
            functions_bytes=int(0.25 * total_bytes),
            probes_bytes=int(0.05 * total_bytes),
        )

    @property
    def max_pending_probes(self) -> int:
        """Maximum number of pending probes for functions without a known instance."""
        return self.probes_bytes // PROBE_BYTES
