"""Tests of the ports that the soak test's listeners get."""

import socket

import pytest

from soak.errors import NoFreePortError
from soak.ports import PortRange


@pytest.fixture
def free_port():
    """A port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.fixture
def make_range(exit_stack, free_port):
    """Make port ranges over the one free port; all are closed at the end."""

    def make():
        ports = PortRange(range(free_port, free_port + 1))
        exit_stack.callback(ports.close)
        return ports

    return make


def test_port_is_handed_out_once(make_range, free_port):
    ports = make_range()

    taken = ports.take()

    assert taken == free_port
    with pytest.raises(NoFreePortError):
        ports.take()


def test_port_of_another_run_is_not_handed_out_before_it_listens(make_range):
    make_range().take()

    with pytest.raises(NoFreePortError):
        make_range().take()


def test_port_of_a_run_that_has_ended_is_free_again(make_range, free_port):
    ended = make_range()
    ended.take()
    ended.close()

    assert make_range().take() == free_port


def test_port_on_which_somebody_listens_is_not_handed_out(make_range, free_port):
    with socket.create_server(("127.0.0.1", free_port)), pytest.raises(NoFreePortError):
        make_range().take()
