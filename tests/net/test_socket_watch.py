"""Tests of `socket_watch`: a socket that is not watched for a while, and a selector that fails."""

from unittest import mock

import pytest

from function_router.net.event_loop import READ
from function_router.net.socket_watch import RETRY_MS, SocketWatch


@pytest.fixture
def calls():
    """The calls of the callbacks, in order."""
    return []


@pytest.fixture
def watched(loop, accept_socket, exit_stack, calls):
    """A watch of a socket, and the socket's peer."""
    sock, peer = accept_socket()
    watch = SocketWatch(
        loop, sock, READ, lambda _mask: calls.append(sock.recv(9)), lambda: calls.append("resumed")
    )
    exit_stack.callback(watch.close)
    return watch, peer


def run_turns(loop, count=5):
    for _ in range(count):
        loop.run_once(0.001)


def test_socket_is_not_reported_while_nothing_is_waited_for(loop, watched, calls):
    watch, peer = watched
    watch.set_mask(0)
    peer.sock.sendall(b"x")
    run_turns(loop)
    calls_while_paused = list(calls)

    watch.set_mask(READ)
    run_turns(loop)

    assert (calls_while_paused, calls) == ([], ["resumed", b"x"])


def test_socket_is_watched_later_if_the_selector_fails(loop, watched, calls):
    watch, peer = watched
    watch.set_mask(0)
    peer.sock.sendall(b"x")

    with mock.patch.object(loop, "register", side_effect=OSError):
        watch.set_mask(READ)
    run_turns(loop)
    calls_before_retry = list(calls)
    loop.timers.advance(loop.turn_started_ms + 2 * RETRY_MS)
    run_turns(loop)

    assert (calls_before_retry, calls) == ([], ["resumed", b"x"])


def test_retry_does_nothing_if_the_watch_was_closed_meanwhile(loop, watched, calls):
    watch, peer = watched
    watch.set_mask(0)
    peer.sock.sendall(b"x")
    with mock.patch.object(loop, "register", side_effect=OSError):
        watch.set_mask(READ)

    watch.close()
    loop.timers.advance(loop.turn_started_ms + 2 * RETRY_MS)
    run_turns(loop)

    assert calls == []
