"""Tests of `client_session`: messages that cannot be admitted, and their effect on the connection."""

from unittest import mock

from helpers.client_messages import encode_request

from function_router.net import client_session


def test_invalid_requests_get_an_exception(harness):
    client = harness.connect_client()

    client.send_request(class_name="unheard", seqid=1)
    client.send_request(row="short", seqid=2)
    client.send_request(body=b"x" * 17_000, seqid=3)
    client.sock.sendall(encode_request(4, {}, b"x" * 100_000))
    client.send_request(org="nobody", seqid=6)
    client.send_request(ttl="9999999", seqid=7)
    for seqid, concurrency in enumerate(("0", "-1", "0.5", "5000", "x", ""), 8):
        client.send_request(props=f"memory_mb:512;lanes:{concurrency}", seqid=seqid)
    client.send_request(seqid=5)
    harness.run_until(lambda: len(client.answers) >= 12 and harness.table.pending, "all messages are handled")

    assert client.answer_kinds() == dict.fromkeys((1, 2, 3, 4, *range(6, 14)), "exception")
    assert len(harness.table.pending) == 1


def test_bytes_without_a_sequence_number_close_only_their_own_connection(harness, worker):
    malformed = harness.connect_client()
    valid = harness.connect_client()

    valid.send_request()
    malformed.sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    harness.run_until(
        lambda: malformed.is_closed and worker.requests, "one connection is closed and one request is sent"
    )

    assert not valid.is_closed


def test_exception_in_a_handler_closes_only_its_own_connection(harness, worker):
    failing = harness.connect_client()
    other = harness.connect_client()

    with mock.patch.object(client_session.ClientSession, "_on_handle", side_effect=KeyError("boom")):
        failing.send_request()
        harness.run_until(lambda: failing.is_closed, "the connection is closed")
    other.send_request()
    harness.run_until(lambda: worker.requests, "the other client's request is sent")

    assert "boom" in "".join(harness.log_lines)


def test_request_over_the_limit_of_pending_ones_gets_an_exception(queueing_harness):
    client = queueing_harness.connect_client()

    for _ in range(33):
        client.send_request()
    queueing_harness.run_until(lambda: client.answers, "a request is answered")

    assert client.answer_kinds() == {33: "exception"}
    assert len(queueing_harness.table.pending) == 32


def test_reused_sequence_number_of_a_pending_request_closes_the_connection(queueing_harness):
    client = queueing_harness.connect_client()

    client.send_request(seqid=5)
    client.send_request(seqid=5)
    queueing_harness.run_until(lambda: client.is_closed, "the connection is closed")

    assert (client.answer_kinds(), queueing_harness.table.pending) == ({5: "broken"}, {})


def test_answers_before_a_malformed_message_reach_a_client_that_goes_on_sending(harness):
    client = harness.connect_client()

    client.request_status(1)
    client.send_request(class_name="unheard", seqid=2)
    client.send_request(seqid=3)
    client.sock.setblocking(True)
    client.sock.sendall(b"GET / HTTP/1.1\r\n" + b"x" * 300_000)
    client.sock.setblocking(False)
    harness.run_until(lambda: client.is_closed, "the connection is closed")

    assert client.answer_kinds() == {1: "answer", 2: "exception", 3: "broken"}
