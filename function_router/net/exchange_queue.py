"""The queue of exchanges that wait for a connection to one worker."""

from collections import deque
from collections.abc import Iterator

from function_router.net.worker_messages import Exchange


class ExchangeQueue:
    """Exchanges that wait for a connection to one worker, in the order in which they were queued.

    The queue is the `ExchangeHolder` of its exchanges.
    """

    __slots__ = ("_exchanges",)

    def __init__(self) -> None:
        self._exchanges: deque[Exchange] = deque()

    def __len__(self) -> int:
        return len(self._exchanges)

    def __iter__(self) -> Iterator[Exchange]:
        return iter(self._exchanges)

    def append(self, exchange: Exchange) -> None:
        """Add an exchange at the end of the queue."""
        exchange.holder = self
        self._exchanges.append(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange, unless `take_all` has removed it already."""
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)

    def take_all(self) -> deque[Exchange]:
        """Remove and return all exchanges; the caller dispatches or finishes them."""
        exchanges = self._exchanges
        self._exchanges = deque()
        return exchanges

    def on_exchange_finished(self) -> None:
        """Do nothing, as no state of the queue depends on the end of an exchange."""
