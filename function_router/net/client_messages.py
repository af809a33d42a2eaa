"""Reads the messages of one client, and says when the next one has taken too long."""

from function_router.net.clock import monotonic_ms
from function_router.net.codecs import thrift

# A client has to get an answer or a close within 3 s of connecting.

# For the first message, and for the rest of one that has begun.
MESSAGE_TIMEOUT_MS = 2_300.0
# From one chunk of a message to the next. Together with the message timeout this is 3 s.
CHUNK_TIMEOUT_MS = 700.0
# After so many chunks of a message, the next one may take as long as the message timeout: clients that stop
# halfway send fewer.
MIN_STEADY_CHUNKS = 3
# For a whole message, even if its chunks arrive steadily.
MAX_MESSAGE_MS = 30_000.0
# For the rest of an oversized message, which was answered with an exception when its header had arrived.
SKIP_TIMEOUT_MS = 6_000.0


class ClientMessages:
    """Splits what a client sends into messages, and times them.

    Without the time limits, clients that send nothing or half a message would use up the file descriptors.

    Attributes:
        has_received_message: Whether a complete message, valid or not, has arrived.
    """

    __slots__ = ("_chunk_count", "_frames", "_waiting_since_ms", "has_received_message")

    def __init__(self) -> None:
        """Wait from now on for the first message."""
        self.has_received_message = False
        self._frames = thrift.FrameReader()
        self._chunk_count = 0  # reads since the last one that completed a message
        self._waiting_since_ms = monotonic_ms()  # the client connected, or the incomplete message began

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._frames.has_partial_frame

    @property
    def has_received_data(self) -> bool:
        """Whether the client has sent anything."""
        return self.has_received_message or self._frames.has_partial_frame

    def feed(self, data: bytes) -> list[thrift.MessageOrError]:
        """Add bytes; return the messages that are complete now, in order, or errors in their places."""
        had_partial_message = self._frames.has_partial_frame
        messages = self._frames.feed(data)
        if messages or (self.has_received_message and not had_partial_message):
            self._waiting_since_ms = monotonic_ms()
        if messages:
            self.has_received_message = True
            self._chunk_count = 1
        else:
            self._chunk_count += 1
        return messages

    def is_overdue(self, now_ms: float, last_received_ms: float) -> bool:
        """Whether the first message, or the rest of one that has begun, has taken too long.

        Args:
            now_ms: The time on the monotonic clock.
            last_received_ms: When bytes were last received.
        """
        has_partial_message = self._frames.has_partial_frame
        if self.has_received_message and not has_partial_message:
            return False
        waited_ms = now_ms - self._waiting_since_ms
        if self._frames.is_skipping:
            return waited_ms > SKIP_TIMEOUT_MS
        chunk_timeout_ms = CHUNK_TIMEOUT_MS if self._chunk_count < MIN_STEADY_CHUNKS else MESSAGE_TIMEOUT_MS
        keeps_sending = has_partial_message and now_ms - last_received_ms <= chunk_timeout_ms
        return waited_ms > (MAX_MESSAGE_MS if keeps_sending else MESSAGE_TIMEOUT_MS)
