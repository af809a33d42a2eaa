"""The queue of bytes that a connection has not written yet."""

from collections import deque
from itertools import islice

from msgspec import Struct

# Memory of a queued write in addition to its bytes.
WRITE_OVERHEAD_BYTES = 128
# Maximum number of writes in one system call; well below the kernel's IOV_MAX of 1024.
MAX_WRITES_PER_CALL = 64


class PendingWrite(Struct, eq=False):
    """Bytes to be written, and the number of bytes that are written already."""

    data: bytes
    written: int = 0


class WriteQueue:
    """Writes in the order in which they were queued; the first one may be partially written.

    Attributes:
        pending_bytes: Number of bytes that are queued and not written yet.
    """

    __slots__ = ("_writes", "pending_bytes")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._writes: deque[PendingWrite] = deque()
        self.pending_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._writes)

    @property
    def size_bytes(self) -> int:
        """The memory that the queued writes take, about."""
        return self.pending_bytes + len(self._writes) * WRITE_OVERHEAD_BYTES

    def append(self, write: PendingWrite) -> None:
        """Queue a write of which no byte has been written."""
        self._writes.append(write)
        self.pending_bytes += len(write.data)

    def cancel(self, write: PendingWrite) -> bool:
        """Remove a write from the queue; return False if any of it has been written already."""
        if write.written or write not in self._writes:
            return False
        self._writes.remove(write)
        self.pending_bytes -= len(write.data)
        return True

    def replace(self, write: PendingWrite, data: bytes) -> bool:
        """Replace the bytes of a write; return False if any of it has been written already."""
        if write.written or write not in self._writes:
            return False
        self.pending_bytes += len(data) - len(write.data)
        write.data = data
        return True

    def next_buffers(self) -> list[memoryview]:
        """Return the buffers for the next system call, without copying them."""
        first = islice(self._writes, MAX_WRITES_PER_CALL)
        return [memoryview(write.data)[write.written :] for write in first]

    def advance(self, count: int) -> None:
        """Count `count` bytes of the next buffers as written, and remove completed writes."""
        self.pending_bytes -= count
        for _ in range(min(len(self._writes), MAX_WRITES_PER_CALL)):
            write = self._writes[0]
            step = min(count, len(write.data) - write.written)
            write.written += step
            count -= step
            if write.written < len(write.data):
                return
            self._writes.popleft()

    def clear(self) -> None:
        """Drop all writes."""
        self._writes.clear()
        self.pending_bytes = 0
