"""Splits the bytes of one client into messages, and determines when the next message is overdue."""

from function_router.net.clock import monotonic_ms
from function_router.net.codecs import thrift

# A client that sends nothing, or stops after fewer than MIN_STEADY_CHUNKS chunks of its first message, has to
# be answered or disconnected within 3 s of connecting. MESSAGE_TIMEOUT_MS and CHUNK_TIMEOUT_MS add up to 3 s.
# The router process checks these timeouts every TIMEOUT_CHECK_INTERVAL_MS.

# Timeout for the first message, and for the rest of a message that has been received in part.
MESSAGE_TIMEOUT_MS = 2_300.0
# Timeout between two chunks of a message.
CHUNK_TIMEOUT_MS = 700.0
# From this number of chunks of a message on, the message timeout applies to the next chunk instead of the
# chunk timeout. Clients that stop in the middle of a message send fewer chunks.
MIN_STEADY_CHUNKS = 3
# Timeout for a whole message, even if its chunks arrive steadily.
MAX_MESSAGE_MS = 30_000.0
# Timeout for the rest of an oversized message, which is answered with an exception once its header arrives.
SKIP_TIMEOUT_MS = 6_000.0


class ClientMessages:
    """Splits the bytes of a client into messages, and measures how long they take to arrive.

    Without time limits, clients that send nothing or an incomplete message would exhaust the file
    descriptors.

    Attributes:
        has_received_message: Whether a complete message, valid or not, has been received.
    """

    __slots__ = ("_chunk_count", "_frames", "_partial_since_ms", "_waiting_since_ms", "has_received_message")

    def __init__(self) -> None:
        """Start to wait for the first message."""
        self.has_received_message = False
        self._frames = thrift.FrameReader()
        self._chunk_count = 0  # reads since the last one that completed a message, which counts as well
        self._waiting_since_ms = monotonic_ms()  # when the client connected, or the partial message began
        self._partial_since_ms = self._waiting_since_ms  # when the partial message began

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has been received in part."""
        return self._frames.has_partial_frame

    @property
    def buffered_bytes(self) -> int:
        """The size of the part of a message that has been received."""
        return self._frames.buffered_bytes

    @property
    def missing_bytes(self) -> int:
        """How many bytes of the message that is received in part are missing, at least; 0 without one."""
        return self._frames.missing_bytes

    @property
    def has_received_data(self) -> bool:
        """Whether any data has been received from the client."""
        return self.has_received_message or self._frames.has_partial_frame

    def partial_ms(self, now_ms: float) -> float:
        """Return how long ago the message that is received in part began; 0 if there is none."""
        return now_ms - self._partial_since_ms if self._frames.has_partial_frame else 0.0

    def feed(self, data: bytes) -> list[thrift.Frame]:
        """Add received bytes; return the messages that they complete, in order and not parsed yet."""
        had_partial_message = self._frames.has_partial_frame
        frames = self._frames.feed(data)
        if frames or not had_partial_message:
            self._partial_since_ms = monotonic_ms()
        if frames or (self.has_received_message and not had_partial_message):
            self._waiting_since_ms = monotonic_ms()
        if frames:
            self.has_received_message = True
            self._chunk_count = 1
        else:
            self._chunk_count += 1
        return frames

    def drop_partial(self) -> None:
        """Drop the message that is received in part; the connection must not be read any more."""
        self._frames = thrift.FrameReader()

    def is_overdue(self, now_ms: float, last_received_ms: float) -> bool:
        """Return whether the first message, or the rest of a partial message, has taken too long.

        Args:
            now_ms: The current time on the monotonic clock.
            last_received_ms: When bytes were last received, on the monotonic clock.
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
