"""The exchanges that are queued for a connection to one worker."""

from collections import deque
from collections.abc import Iterator

from function_router.net.worker_messages import Exchange


class ExchangeQueue:
    """Exchanges that wait for a connection to one worker, in the order in which they were queued.

    It is the `ExchangeHolder` of each.
    """

    __slots__ = ("_exchanges",)

    def __init__(self) -> None:
        self._exchanges: deque[Exchange] = deque()

    def __len__(self) -> int:
        return len(self._exchanges)

    def __iter__(self) -> Iterator[Exchange]:
        return iter(self._exchanges)

    def append(self, exchange: Exchange) -> None:
        """Queue an exchange behind all others."""
        exchange.holder = self
        self._exchanges.append(exchange)

    def remove(self, exchange: Exchange) -> None:
        """Take out an exchange, unless `take_all` took it."""
        if exchange in self._exchanges:
            self._exchanges.remove(exchange)

    def take_all(self) -> deque[Exchange]:
        """Take out all exchanges, which the caller dispatches or finishes."""
        exchanges = self._exchanges
        self._exchanges = deque()
        return exchanges

    def on_exchange_finished(self) -> None:
        """Nothing depends on the end of a queued exchange."""
