"""The kernel's receive timestamps (Linux, SO_TIMESTAMPNS): how long received bytes were unread.

A process that has stalled reads late, while the client's timeout has gone on in the meantime.
"""

import contextlib
import socket
import struct

# The socket option, from <asm-generic/socket.h>; the socket module has no name for it.
SO_TIMESTAMPNS = 35
# A timestamp: seconds and nanoseconds since the Unix epoch.
_TIMESPEC = struct.Struct("@qq")
# The buffer that recvmsg needs for a timestamp.
ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)

AncillaryData = list[tuple[int, int, bytes]]
"""Level, type and data of each ancillary message, as recvmsg returns them."""


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Have the kernel timestamp what is received on the connections of a listener.

    Call this before listening: connections inherit the option, so that their first bytes are stamped too.
    """
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive_delay_ms(
    ancillary: AncillaryData, read_at_unix_ms: float, wall_clock_step_ms: float, max_delay_ms: float
) -> float:
    """How long the last byte of a read had been unread; 0 without a timestamp.

    The timestamp is taken from the wall clock, which may have been set in between.

    Args:
        ancillary: The ancillary messages that recvmsg(2) returned.
        read_at_unix_ms: The time of the read on the wall clock.
        wall_clock_step_ms: By how much the wall clock was set between the last two polls of the sockets.
        max_delay_ms: Upper limit on the delay, from the monotonic clock.
    """
    for level, kind, data in ancillary:
        if (level, kind, len(data)) == (socket.SOL_SOCKET, SO_TIMESTAMPNS, _TIMESPEC.size):
            seconds, nanoseconds = _TIMESPEC.unpack(data)
            delay_ms: float = read_at_unix_ms - seconds * 1e3 - nanoseconds / 1e6
            if not 0.0 <= delay_ms <= max_delay_ms:  # impossible, so stamped before the wall clock was set
                delay_ms -= wall_clock_step_ms
            return min(max(0.0, delay_ms), max_delay_ms)
    return 0.0
