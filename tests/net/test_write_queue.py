"""Tests of `write_queue`: the order and the size of writes, and their cancellation."""

import pytest

from function_router.net.write_queue import MAX_WRITES_PER_CALL, PendingWrite, WriteQueue


@pytest.fixture
def queue():
    return WriteQueue()


@pytest.fixture
def append(queue):
    def append_write(data):
        write = PendingWrite(data)
        queue.append(write)
        return write

    return append_write


@pytest.mark.parametrize(
    ("count", "written", "left"),
    [
        (0, [0, 0, 0], [b"abc", b"de", b"f"]),
        (2, [2, 0, 0], [b"c", b"de", b"f"]),
        (3, [3, 0, 0], [b"de", b"f"]),
        (4, [3, 1, 0], [b"e", b"f"]),
        (6, [3, 2, 1], []),
    ],
)
def test_advance_counts_bytes_in_order(queue, append, count, written, left):
    writes = [append(b"abc"), append(b"de"), append(b"f")]

    queue.advance(count)

    assert [write.written for write in writes] == written
    assert [bytes(buffer) for buffer in queue.next_buffers()] == left
    assert queue.pending_bytes == 6 - count
    assert bool(queue) == bool(left)


def test_buffers_of_one_system_call_are_bounded(queue, append):
    for _ in range(MAX_WRITES_PER_CALL + 1):
        append(b"x")

    buffers = queue.next_buffers()
    queue.advance(len(buffers))

    assert len(buffers) == MAX_WRITES_PER_CALL
    assert queue.pending_bytes == 1


def test_write_that_was_begun_or_is_complete_or_dropped_cannot_be_cancelled(queue, append):
    complete = append(b"ab")
    begun = append(b"cd")
    queue.advance(3)

    assert not queue.cancel(complete)
    assert not queue.cancel(begun)
    assert queue.pending_bytes == 1

    queue.clear()

    assert not queue.cancel(begun)
    assert queue.pending_bytes == 0


def test_cancel_removes_only_the_given_write_even_if_another_has_the_same_bytes(queue, append):
    kept = append(b"same")
    cancelled = append(b"same")

    assert queue.cancel(cancelled)
    assert not queue.cancel(cancelled)

    queue.advance(4)

    assert (kept.written, cancelled.written, queue.pending_bytes) == (4, 0, 0)
