"""Fixtures of the network tests: a router whose requests stay pending, and connections on an event loop."""

import socket
import time

import pytest
from helpers.fake_worker import FakeWorker
from helpers.sockets import WAIT_TIMEOUT_S
from helpers.tcp_connections import Peer

from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.receive_timestamps import enable_receive_timestamps


@pytest.fixture
def queueing_harness(start_router):
    """A router whose only worker never reports an instance, so that requests stay pending."""
    return start_router(FakeWorker(instances=None))


@pytest.fixture
def pool(harness):
    """The worker pool of the router."""
    return harness.pool


@pytest.fixture
def results():
    """The results of the exchanges that a test sends."""
    return []


@pytest.fixture
def log_lines():
    """The lines that the event loop has logged."""
    return []


@pytest.fixture
def loop(log_lines, exit_stack):
    """An event loop without a decision module."""
    loop = EventLoop(lambda _now_ms, _events: None, log_lines.append)
    exit_stack.callback(loop.close)
    return loop


@pytest.fixture
def run_until(loop):
    """Run turns of the event loop until a condition holds; the given peers receive after each turn."""

    def run(condition, *peers):
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < give_up_at, "timed out waiting for the condition"
            loop.run_once(0.005)
            for peer in peers:
                peer.receive()

    return run


@pytest.fixture
def listener(exit_stack):
    """A listening socket on loopback, configured like the one for clients."""
    listener = socket.socket()
    exit_stack.callback(listener.close)
    enable_receive_timestamps(listener)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@pytest.fixture
def accept_socket(listener, exit_stack):
    """Create accepted sockets, each with its peer."""

    def make():
        peer = Peer(socket.create_connection(listener.getsockname()))
        peer.sock.setblocking(False)
        sock, _ = listener.accept()
        exit_stack.callback(sock.close)
        exit_stack.callback(peer.sock.close)
        return sock, peer

    return make


@pytest.fixture
def accept(loop, accept_socket):
    """Create accepted connections, each with its peer; `wrap` may replace the socket."""

    def make(handler, wrap=lambda sock: sock):
        sock, peer = accept_socket()
        return Connection.accepted(loop, wrap(sock), handler), peer

    return make
