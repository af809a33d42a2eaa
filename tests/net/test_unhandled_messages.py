"""Tests of `unhandled_messages`: the order of messages, and which request a cancellation removes."""

import pytest
from helpers.client_messages import REQUEST_FIELDS, encode_request, encode_status_request

from function_router.net.codecs import thrift
from function_router.net.unhandled_messages import ReceivedMessage, UnhandledMessages

REQUEST_BYTES = len(encode_request(1, REQUEST_FIELDS))


@pytest.fixture
def queue():
    """A queue with a request, a status request and another request."""
    queue = UnhandledMessages()
    data = encode_request(1, REQUEST_FIELDS) + encode_status_request(2) + encode_request(3, REQUEST_FIELDS)
    append(queue, data)
    return queue


def append(queue, data):
    """Append the messages that the data holds."""
    for frame in thrift.FrameReader().feed(data):
        queue.append(ReceivedMessage(frame, received_at_ms=0.0))


def take_all(queue):
    """Remove all messages, and return their sequence numbers."""
    seqids = []
    while queue:
        seqids.append(queue.take_first().frame.parse().seqid)
    return seqids


def test_messages_are_taken_in_the_order_of_their_arrival(queue):
    assert take_all(queue) == [1, 2, 3]
    assert queue.size_bytes == 0


def test_withdrawn_request_is_removed_wherever_it_is(queue):
    size_bytes = queue.size_bytes

    is_removed = queue.withdraw(3)

    assert is_removed
    assert size_bytes - queue.size_bytes >= REQUEST_BYTES - 4
    assert take_all(queue) == [1, 2]


@pytest.mark.parametrize("seqid", [2, 4], ids=["no request", "unknown"])
def test_number_of_no_request_removes_nothing(queue, seqid):
    assert not queue.withdraw(seqid)
    assert take_all(queue) == [1, 2, 3]


def test_number_of_two_requests_removes_neither(queue):
    append(queue, encode_request(3, REQUEST_FIELDS))

    assert not queue.withdraw(3)
    assert queue.has_request(3)
    assert take_all(queue) == [1, 2, 3, 3]


def test_number_is_unambiguous_again_once_the_queue_was_empty(queue):
    append(queue, encode_request(3, REQUEST_FIELDS))
    take_all(queue)

    append(queue, encode_request(3, REQUEST_FIELDS))

    assert queue.withdraw(3)
    assert not queue
