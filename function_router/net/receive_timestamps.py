"""Receive timestamps of the kernel (Linux, SO_TIMESTAMPNS): how long received bytes lay unread.

A process that was held up reads late, but the client's timeout has run on in the meantime.
"""

import contextlib
import socket
import struct

SO_TIMESTAMPNS = 35  # from <asm-generic/socket.h>; the socket module has no name for it
_TIMESPEC = struct.Struct("@qq")  # seconds and nanoseconds since the Unix epoch
ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)  # buffer that recvmsg needs for a timestamp

AncillaryData = list[tuple[int, int, bytes]]  # level, type and data of each message, as recvmsg returns them


def enable_receive_timestamps(listener: socket.socket) -> None:
    """Have the kernel timestamp what is received on the connections of a listener.

    Call it before listening: connections inherit the option, so that their first bytes have a timestamp too.
    """
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive_delay_ms(
    ancillary: AncillaryData, read_at_unix_ms: float, wall_clock_step_ms: float, max_delay_ms: float
) -> float:
    """How long the last of the bytes of a read had waited; 0 without a timestamp.

    The timestamp is of the wall clock, which may have been set in between.

    Args:
        ancillary: what recvmsg(2) returned besides the bytes.
        read_at_unix_ms: the wall clock at the read.
        wall_clock_step_ms: by how much the wall clock was set since the look at the sockets before.
        max_delay_ms: how long the bytes can have waited, by the monotonic clock.
    """
    for level, kind, data in ancillary:
        if (level, kind, len(data)) == (socket.SOL_SOCKET, SO_TIMESTAMPNS, _TIMESPEC.size):
            seconds, nanoseconds = _TIMESPEC.unpack(data)
            delay_ms: float = read_at_unix_ms - seconds * 1e3 - nanoseconds / 1e6
            if not 0.0 <= delay_ms <= max_delay_ms:  # stamped before the wall clock was set?
                delay_ms -= wall_clock_step_ms
            return min(max(0.0, delay_ms), max_delay_ms)
    return 0.0
