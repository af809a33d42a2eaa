"""Tests that clients which fill the router's memory get no more than their share of it."""

import struct

import pytest
from helpers.client_messages import AnswerKind
from helpers.fake_worker import FakeWorker

from function_router.net.client_connection import MESSAGE_TIMEOUT_WITHOUT_MEMORY_MS
from function_router.net.clock import monotonic_ms
from function_router.net.codecs import thrift
from function_router.net.paused_clients import MAX_COMPLETED

GREEDY_CLIENTS = 30
LARGE_BODY = b"x" * 16_000
SMALL_LIMITS = {"memory_mb": 32, "sockets": 256}
STATED_FRAME_BYTES = 47_000
PARTIAL_BYTES = 46_000


@pytest.fixture
def harness(start_router):
    """A router with little memory, whose requests stay pending, as its worker never reports an instance."""
    return start_router(FakeWorker(instances=None), limits=SMALL_LIMITS)


@pytest.fixture
def memory(harness):
    """The memory budget of the router."""
    return harness.router_process.memory


def connect_greedy_clients(harness):
    return [harness.connect_accepted_client() for _ in range(GREEDY_CLIENTS)]


def max_input_bytes(memory):
    """Return the maximum size of the input, with messages that are completed though the share is used up."""
    return memory.client_input.capacity_bytes + MAX_COMPLETED * thrift.MAX_FRAME_BYTES


def send_large_requests(harness, clients):
    """Send requests with large bodies, and wait until each is pending or answered."""
    for number, client in enumerate(clients):
        for seqid in range(1, 5):
            client.send_request(body=LARGE_BODY, seqid=seqid, call=f"{number:08x}{seqid:08x}")
    for client in clients:
        harness.round_trip(client)


# Guards against pending requests whose size grew with the number of clients, whatever the memory limit.
def test_large_requests_of_many_clients_stay_within_their_share(harness, memory):
    clients = connect_greedy_clients(harness)

    send_large_requests(harness, clients)

    kinds = [kind for client in clients for kind in client.answer_kinds().values()]
    assert not memory.requests.is_exceeded
    assert harness.table.pending
    assert AnswerKind.THROTTLED in kinds


def test_client_with_a_small_request_is_admitted_beside_greedy_clients(harness):
    send_large_requests(harness, connect_greedy_clients(harness))
    pending_before = len(harness.table.pending)

    usual = harness.connect_accepted_client()
    usual.send_request(call="ab" * 8)
    harness.round_trip(usual)

    assert len(harness.table.pending) == pending_before + 1


def test_memory_of_requests_is_free_again_when_their_clients_have_gone(harness, memory):
    clients = connect_greedy_clients(harness)
    send_large_requests(harness, clients)

    for client in clients:
        client.close()
    harness.clients.clear()
    harness.run_until(lambda: not harness.router_process.listener.connections, "all connections are closed")

    assert (memory.requests.used_bytes, memory.client_input.used_bytes) == (0, 0)


# Guards against partial messages whose size grew with the number of clients, whatever the memory limit.
def test_partial_messages_of_many_clients_stay_within_their_share(harness, memory):
    clients = connect_greedy_clients(harness)
    usual = harness.connect_accepted_client()

    for client in clients:
        client.sock.setblocking(True)
        client.sock.sendall(struct.pack(">I", STATED_FRAME_BYTES) + b"\x80" * PARTIAL_BYTES)
        client.sock.setblocking(False)
    for _ in range(50):
        harness.router_process.loop.run_once(0.001)
    usual.send_request(call="ab" * 8)
    harness.round_trip(usual)

    assert memory.client_input.used_bytes <= max_input_bytes(memory)
    assert len(harness.table.pending) == 1


def test_client_paused_for_want_of_memory_is_read_again(harness, memory):
    clients = connect_greedy_clients(harness)
    last = clients.pop()
    for client in clients:
        client.sock.sendall(struct.pack(">I", STATED_FRAME_BYTES) + b"\x80" * PARTIAL_BYTES)
    for _ in range(20):
        harness.router_process.loop.run_once(0.001)
    last.send_request(body=LARGE_BODY, call="ab" * 8)

    for client in clients:
        client.close()
        harness.clients.remove(client)
    harness.run_until(lambda: harness.table.pending, "the request is pending")

    assert not memory.client_input.is_exceeded


# Guards against unread answers whose size grew with the number of clients, whatever the memory limit.
def test_clients_that_read_no_answers_are_closed_at_the_limit_the_heaviest_first(harness, memory):
    usual = harness.connect_accepted_client()
    clients = connect_greedy_clients(harness)
    connections = list(harness.router_process.listener.connections)
    for number, connection in enumerate(connections[1:], 1):
        connection.connection.writer.is_blocked = True  # as if the client did not read
        connection.connection.write(b"x" * (2_000 * number))
        connection.connection.flush()

    harness.round_trip(usual)

    open_connections = list(harness.router_process.listener.connections)
    assert not memory.client_output.is_exceeded
    assert 0 < len(clients) - (len(open_connections) - 1) < len(clients)
    assert connections[1] in open_connections
    assert connections[-1] not in open_connections


# Guards against a request that is never read in full, as incomplete messages of others use up the memory.
def test_request_is_read_in_full_though_incomplete_messages_use_up_the_memory(harness, memory):
    for client in connect_greedy_clients(harness):
        client.sock.setblocking(True)
        client.sock.sendall(struct.pack(">I", STATED_FRAME_BYTES) + b"\x80" * PARTIAL_BYTES)
        client.sock.setblocking(False)
    usual = harness.connect_accepted_client()
    for _ in range(50):
        harness.router_process.loop.run_once(0.001)
    usual.send_request(body=LARGE_BODY[:8_000], call="ab" * 8)

    harness.run_until(lambda: harness.table.pending, "the request is pending")

    assert not usual.is_closed
    assert memory.client_input.used_bytes <= max_input_bytes(memory)


# Guards against a request that is taken for a stalled one as a read has ended within the size of its frame.
@pytest.mark.parametrize("read_bytes", [1, 3, 4, 9])
def test_message_of_which_only_a_few_bytes_are_read_can_be_completed(harness, read_bytes):
    client = harness.connect_accepted_client()
    [connection] = harness.router_process.listener.connections
    client.send_request(call="ab" * 8)
    connection.on_data(connection.connection._sock.recv(read_bytes))

    can_complete = connection.can_complete_message()
    connection.complete_message()
    harness.run_until(lambda: harness.table.pending, "the request is pending")

    assert can_complete


# Guards against a request whose client is taken for one that stalls as it had connected long before.
def test_client_over_its_share_whose_message_has_arrived_is_not_closed(harness, memory):
    client = harness.connect_client()
    harness.run_until(lambda: harness.router_process.listener.connections, "the client is accepted")
    [connection] = harness.router_process.listener.connections
    memory.client_input.add(memory.client_input.capacity_bytes, memory.client_input.capacity_bytes)
    client.send_request(body=LARGE_BODY, call="ab" * 8)
    connection.on_data(connection.connection._sock.recv(10_000))

    connection.check_timeouts(monotonic_ms() + MESSAGE_TIMEOUT_WITHOUT_MEMORY_MS + 1.0)

    assert connection.messages.partial_ms(monotonic_ms()) < MESSAGE_TIMEOUT_WITHOUT_MEMORY_MS
    assert not connection.connection.is_closing
