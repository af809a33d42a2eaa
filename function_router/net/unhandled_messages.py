"""The messages of a client that have been read and are not handled yet."""

from collections import OrderedDict

from msgspec import Struct

from function_router.net.codecs import thrift

# Memory that a message takes in addition to its bytes: its records and its entries in the queue.
MESSAGE_OVERHEAD_BYTES = 400


class ReceivedMessage(Struct, frozen=True):
    """A message that has been read.

    Attributes:
        frame: The message, which is not parsed yet.
        received_at_ms: When its last byte arrived, on the monotonic clock.
    """

    frame: thrift.Frame
    received_at_ms: float

    @property
    def size_bytes(self) -> int:
        """The memory that the message takes, about."""
        return len(self.frame.payload) + MESSAGE_OVERHEAD_BYTES


class UnhandledMessages:
    """A queue of messages, from which a cancellation takes its request wherever that is in the queue.

    A request that its client has withdrawn before the router got to it is thus never parsed or admitted, and
    no answer to it is owed.

    Attributes:
        size_bytes: The total size of the messages.
    """

    __slots__ = ("_ambiguous_seqids", "_messages", "_next_number", "_numbers_by_seqid", "size_bytes")

    def __init__(self) -> None:
        """Create an empty queue."""
        self.size_bytes = 0
        self._messages: OrderedDict[int, ReceivedMessage] = OrderedDict()  # by a number in order of arrival
        self._next_number = 0
        self._numbers_by_seqid: dict[int, int] = {}  # of the requests in the queue
        # Sequence numbers that several requests have used since the queue was last empty.
        self._ambiguous_seqids: set[int] = set()

    def __bool__(self) -> bool:
        return bool(self._messages)

    def append(self, message: ReceivedMessage) -> None:
        """Add a message."""
        number = self._next_number
        self._next_number += 1
        self._messages[number] = message
        self.size_bytes += message.size_bytes
        seqid = message.frame.requested_seqid()
        if seqid is None:
            return
        if seqid in self._numbers_by_seqid:
            self._ambiguous_seqids.add(seqid)
        self._numbers_by_seqid[seqid] = number

    def take_first(self) -> ReceivedMessage:
        """Remove and return the oldest message; the queue must not be empty."""
        number = next(iter(self._messages))
        return self._remove(number)

    def has_request(self, seqid: int) -> bool:
        """Return whether a request with a sequence number is in the queue."""
        return seqid in self._numbers_by_seqid

    def withdraw(self, seqid: int) -> bool:
        """Remove the request with a sequence number, and return whether it was removed.

        If several requests have used the number, it is not clear which of them is meant, and none is removed.
        """
        number = self._numbers_by_seqid.get(seqid)
        if number is None or seqid in self._ambiguous_seqids:
            return False
        self._remove(number)
        return True

    def clear(self) -> None:
        """Drop all messages."""
        self._messages.clear()
        self._forget_seqids()
        self.size_bytes = 0

    def _remove(self, number: int) -> ReceivedMessage:
        message = self._messages.pop(number)
        self.size_bytes -= message.size_bytes
        seqid = message.frame.requested_seqid()
        if seqid is not None and self._numbers_by_seqid.get(seqid) == number:
            del self._numbers_by_seqid[seqid]
        if not self._messages:
            self._forget_seqids()
        return message

    def _forget_seqids(self) -> None:
        self._numbers_by_seqid.clear()
        self._ambiguous_seqids.clear()
