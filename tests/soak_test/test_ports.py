"""Tests of the allocation of ports to the soak test's listeners."""

import socket

import pytest

from soak.errors import NoFreePortError
from soak.ports import PortAllocator


@pytest.fixture
def free_port():
    """Return a port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.fixture
def make_allocator(exit_stack, free_port):
    """Return a function that makes allocators of one free port; all are closed after the test."""

    def make():
        ports = PortAllocator(range(free_port, free_port + 1))
        exit_stack.callback(ports.close)
        return ports

    return make


def test_port_is_allocated_once(make_allocator, free_port):
    ports = make_allocator()

    allocated = ports.allocate()

    assert allocated == free_port
    with pytest.raises(NoFreePortError):
        ports.allocate()


def test_port_of_another_run_is_not_allocated_before_it_listens(make_allocator):
    make_allocator().allocate()

    with pytest.raises(NoFreePortError):
        make_allocator().allocate()


def test_port_of_a_run_that_has_ended_is_free_again(make_allocator, free_port):
    ended = make_allocator()
    ended.allocate()
    ended.close()

    assert make_allocator().allocate() == free_port


def test_port_in_use_is_not_allocated(make_allocator, free_port):
    with socket.create_server(("127.0.0.1", free_port)), pytest.raises(NoFreePortError):
        make_allocator().allocate()
