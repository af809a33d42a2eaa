"""The ids of ended exchanges on a connection to a worker, to which a late answer may still arrive."""

from function_router.net.memory_budget import MemoryAccount, MemoryShare

# Maximum number of ids of one connection.
MAX_IDS = 1_024
# Memory of an id.
ID_BYTES = 128


class UsedExchangeIds:
    """Remembers the ids that the exchanges on a connection must not use again.

    A late or duplicate answer to the earlier exchange would be taken for one to the new exchange.
    """

    __slots__ = ("_ids", "_memory")

    def __init__(self, share: MemoryShare) -> None:
        """Start without ids; they are counted in a share of the memory budget."""
        self._ids: dict[bytes, None] = {}  # oldest first
        self._memory = MemoryAccount(share)

    def __contains__(self, exchange_id: bytes) -> bool:
        return exchange_id in self._ids

    def add(self, exchange_id: bytes) -> None:
        """Remember an id; above the limit, or the connection's share of the memory, forget the oldest one."""
        self._ids[exchange_id] = None
        if len(self._ids) > MAX_IDS or (len(self._ids) > 1 and not self._memory.allows(ID_BYTES)):
            del self._ids[next(iter(self._ids))]
        self._memory.resize(len(self._ids) * ID_BYTES)

    def clear(self) -> None:
        """Forget all ids, as the connection has closed."""
        self._ids.clear()
        self._memory.close()
