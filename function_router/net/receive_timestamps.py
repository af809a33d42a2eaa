"""Measures how long received bytes were unread, with the kernel's receive timestamps (Linux, SO_TIMESTAMPNS).

After a stall, the process reads requests late, and the timeouts of their clients have been running meanwhile.
"""

import contextlib
import socket
import struct

# The socket option from <asm-generic/socket.h>, for which the socket module has no constant.
SO_TIMESTAMPNS = 35
# The layout of a timestamp: seconds and nanoseconds since the Unix epoch.
_TIMESPEC = struct.Struct("@qq")
# Size of the buffer that recvmsg needs for a timestamp.
ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)

AncillaryData = list[tuple[int, int, bytes]]
"""Level, type and data of each ancillary message, as recvmsg returns them."""


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Enable receive timestamps on the connections of a listening socket.

    This must be called before listening. Connections inherit the option, so their first bytes have timestamps
    too. If the option cannot be set, reads have no timestamp, and their receive delay counts as 0.
    """
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive_delay_ms(
    ancillary: AncillaryData, read_at_unix_ms: float, wall_clock_step_ms: float, max_delay_ms: float
) -> float:
    """Return how long the last byte of a read was unread; 0 without a timestamp.

    The kernel takes the timestamp from the wall clock, which may have been set since.

    Args:
        ancillary: The ancillary messages that recvmsg(2) returned.
        read_at_unix_ms: The time of the read on the wall clock.
        wall_clock_step_ms: By how much the wall clock was set between the last two polls of the sockets.
        max_delay_ms: Upper limit of the delay, measured with the monotonic clock.
    """
    for level, kind, data in ancillary:
        if (level, kind, len(data)) == (socket.SOL_SOCKET, SO_TIMESTAMPNS, _TIMESPEC.size):
            seconds, nanoseconds = _TIMESPEC.unpack(data)
            delay_ms: float = read_at_unix_ms - seconds * 1e3 - nanoseconds / 1e6
            # An impossible delay shows that the timestamp is from before the wall clock was set.
            if not 0.0 <= delay_ms <= max_delay_ms:
                delay_ms -= wall_clock_step_ms
            return min(max(0.0, delay_ms), max_delay_ms)
    return 0.0
