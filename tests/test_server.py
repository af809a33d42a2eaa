"""Tests of `server`: transient errors of system calls abort neither the startup nor a reload."""

import errno
import socket
from pathlib import Path
from unittest import mock

import msgspec
import pytest
from helpers.configuration import router_config
from helpers.fake_endpoint_log import FakeEndpointLog

from function_router import server


class TransientErrorFunction:
    """Wraps a function. The first calls raise an OSError, one with each of the given error numbers."""

    def __init__(self, function, *error_numbers):
        self._function = function
        self._remaining_errors = list(error_numbers)

    def __call__(self, *arguments, **options):
        """Raise the next error, or call the function if there is none."""
        if self._remaining_errors:
            raise OSError(self._remaining_errors.pop(0), "transient error")
        return self._function(*arguments, **options)


@pytest.fixture
def config_path(exit_stack, tmp_path):
    """A valid configuration file."""
    endpoint_log = FakeEndpointLog()
    exit_stack.callback(endpoint_log.close)
    path = tmp_path / "config.json"
    path.write_bytes(msgspec.json.encode(router_config(endpoint_log)))
    return path


def test_startup_retries_transient_errors_of_system_calls(config_path, exit_stack):
    fail_sockets = TransientErrorFunction(socket.socket, errno.ENOBUFS, errno.ENFILE, errno.ENOMEM)
    fail_reads = TransientErrorFunction(Path.read_bytes, errno.ENFILE, errno.EMFILE)

    with (
        mock.patch("socket.socket", fail_sockets),
        mock.patch.object(Path, "read_bytes", side_effect=fail_reads, autospec=True),
    ):
        router = server._create_router(str(config_path))
    exit_stack.callback(router.close)

    assert router.address[0] == "127.0.0.1"


def test_reload_retries_transient_errors_of_reading_the_file(config_path, exit_stack):
    router = server._create_router(str(config_path))
    exit_stack.callback(router.close)
    new_endpoint_log = FakeEndpointLog()
    exit_stack.callback(new_endpoint_log.close)
    config_path.write_bytes(msgspec.json.encode(router_config(new_endpoint_log)))
    fail_reads = TransientErrorFunction(Path.read_bytes, errno.ENFILE, errno.EMFILE)

    with mock.patch.object(Path, "read_bytes", side_effect=fail_reads, autospec=True):
        router.reload.run()
        while not new_endpoint_log.requests():
            router.loop.run_once(0.01)
            new_endpoint_log.receive()

    assert new_endpoint_log.requests() == [["since", "1"]]
