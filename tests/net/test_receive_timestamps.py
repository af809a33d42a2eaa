"""Tests of `receive_timestamps`: the delay of a read, also across a step of the wall clock."""

import socket
import struct

import pytest

from function_router.net.receive_timestamps import SO_TIMESTAMPNS, receive_delay_ms

READ_AT_UNIX_MS = 1_700_000_002_500.0


def timestamp(seconds, nanoseconds):
    return (socket.SOL_SOCKET, SO_TIMESTAMPNS, struct.pack("@qq", seconds, nanoseconds))


@pytest.mark.parametrize(
    ("ancillary", "delay_ms"),
    [
        ([timestamp(1_700_000_002, 250_000_000)], 250.0),
        ([(socket.SOL_SOCKET, socket.SCM_RIGHTS, b"1234"), timestamp(1_700_000_001, 0)], 1500.0),
        ([], 0.0),
        ([(socket.SOL_SOCKET, SO_TIMESTAMPNS, b"short")], 0.0),
        ([timestamp(1_700_000_003, 0)], 0.0),
        ([timestamp(1_600_000_000, 0)], 2_000.0),
    ],
    ids=[
        "unread",
        "after_another_message",
        "no_timestamp",
        "cut_off",
        "in_the_future",
        "longer_than_possible",
    ],
)
def test_receive_delay(ancillary, delay_ms):
    assert receive_delay_ms(ancillary, READ_AT_UNIX_MS, 0.0, 2_000.0) == delay_ms


@pytest.mark.parametrize("step_ms", [5_000.0, -5_000.0, 3_600_000.0, -3_600_000.0])
@pytest.mark.parametrize(
    ("is_stamped_before", "delay_ms"),
    [(True, 250.0), (False, 250.0)],
    ids=["stamped_before", "stamped_after"],
)
def test_receive_delay_across_a_step_of_the_wall_clock(step_ms, is_stamped_before, delay_ms):
    stamp = timestamp(1_700_000_002, 250_000_000)
    read_at_ms = READ_AT_UNIX_MS + (step_ms if is_stamped_before else 0.0)

    assert receive_delay_ms([stamp], read_at_ms, step_ms, 1_000.0) == delay_ms
