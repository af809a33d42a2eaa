"""Tests of `client_messages`: splitting a client's bytes into messages, and when the next one is overdue."""

import pytest
from helpers.client_messages import REQUEST_FIELDS, encode_request

from function_router.net import client_messages, clock
from function_router.net.client_messages import (
    CHUNK_TIMEOUT_MS,
    MAX_MESSAGE_MS,
    MESSAGE_TIMEOUT_MS,
    SKIP_TIMEOUT_MS,
    ClientMessages,
)
from function_router.net.codecs import thrift

CONNECTED_AT_MS = 1_000.0
FRAME = encode_request(1, REQUEST_FIELDS)
OVERSIZED_FRAME = encode_request(2, REQUEST_FIELDS, b"x" * 100_000)


@pytest.fixture
def messages(monkeypatch):
    """The messages of a client on a stopped clock, so that it connects and sends at the same time."""
    monkeypatch.setattr(client_messages, "monotonic_ms", lambda: CONNECTED_AT_MS)
    return ClientMessages()


def test_complete_messages_are_returned_in_order_and_a_partial_one_is_kept(messages):
    frames = messages.feed(FRAME + encode_request(2, REQUEST_FIELDS) + FRAME[:9])
    found = [frame.parse() for frame in frames]

    assert [(type(message), message.seqid) for message in found] == [(thrift.Handle, 1), (thrift.Handle, 2)]
    assert messages.has_received_message
    assert messages.has_partial_message


def test_client_that_sends_nothing_is_overdue_after_the_message_timeout(messages):
    deadline_ms = CONNECTED_AT_MS + MESSAGE_TIMEOUT_MS

    assert not messages.is_overdue(deadline_ms, CONNECTED_AT_MS)
    assert messages.is_overdue(deadline_ms + 1.0, CONNECTED_AT_MS)


def test_client_without_a_partial_message_is_not_overdue_after_its_first(messages):
    messages.feed(FRAME)

    assert not messages.is_overdue(CONNECTED_AT_MS + 10 * MAX_MESSAGE_MS, CONNECTED_AT_MS)


def test_partial_message_is_overdue_once_no_chunk_has_arrived_for_the_chunk_timeout(messages):
    messages.feed(FRAME[:9])
    now_ms = CONNECTED_AT_MS + MESSAGE_TIMEOUT_MS + 1.0

    assert not messages.is_overdue(now_ms, last_received_ms=now_ms - CHUNK_TIMEOUT_MS)
    assert messages.is_overdue(now_ms, last_received_ms=now_ms - CHUNK_TIMEOUT_MS - 1.0)


def test_partial_message_is_overdue_eventually_however_steadily_it_arrives(messages):
    messages.feed(FRAME[:9])
    deadline_ms = CONNECTED_AT_MS + MAX_MESSAGE_MS

    assert not messages.is_overdue(deadline_ms, last_received_ms=deadline_ms)
    assert messages.is_overdue(deadline_ms + 1.0, last_received_ms=deadline_ms + 1.0)


def test_rest_of_an_oversized_message_has_a_timeout_of_its_own(messages):
    [oversized] = messages.feed(OVERSIZED_FRAME[:1_000])
    deadline_ms = CONNECTED_AT_MS + SKIP_TIMEOUT_MS

    assert isinstance(oversized.parse(), thrift.MalformedMessageError)
    assert not messages.is_overdue(deadline_ms, CONNECTED_AT_MS)
    assert messages.is_overdue(deadline_ms + 1.0, CONNECTED_AT_MS)


def test_new_client_waits_from_now_on():
    before_ms = clock.monotonic_ms()

    messages = ClientMessages()

    assert before_ms <= messages._waiting_since_ms <= clock.monotonic_ms()
