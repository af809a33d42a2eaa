"""Fixtures that tests of several modules use, and the handling of KNOWN-RED.txt.

The tests that KNOWN-RED.txt lists must fail, and are printed with their causes; all other tests must pass. A
listed test that passes fails the run: it is to be taken off the list.
"""

import contextlib
import socket

import pytest
from helpers.fake_worker import FakeWorker
from helpers.known_red import UnknownTestsError, read_known_red
from helpers.process_harness import ProcessHarness
from helpers.program_launcher import ProgramLauncher

QUEUED_CONNECTION_COUNT = 4  # connections that fill the queue of a listener that accepts none


def pytest_terminal_summary(terminalreporter, config):
    """Print the tests that are known to fail."""
    for test, cause in read_known_red(config.rootpath).items():
        terminalreporter.write_line(f"known red: {test}: {cause}")


def pytest_collection_modifyitems(config, items):
    """Expect the tests that are known to fail to do so; raises UnknownTestsError."""
    known_red = read_known_red(config.rootpath)
    for item in items:
        if cause := known_red.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    is_whole_run = config.args_source is not config.ArgsSource.ARGS and not config.option.keyword
    unknown = known_red.keys() - {item.nodeid for item in items}
    if is_whole_run and unknown:
        raise UnknownTestsError(unknown)


@pytest.fixture
def exit_stack():
    """An exit stack: callbacks added to it run when the test has ended, the last one first."""
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def start_router(exit_stack):
    """Start routers in this thread; each is closed at the end, with its endpoint log, workers and clients.

    The arguments are those of `ProcessHarness`, which it returns.
    """

    def start(*workers, **options):
        harness = ProcessHarness(*workers, **options)
        exit_stack.callback(harness.close)
        return harness

    return start


@pytest.fixture
def worker(exit_stack):
    """A worker that answers start orders and probes by itself, and leaves requests to the test."""
    fake_worker = FakeWorker()
    exit_stack.callback(fake_worker.close)
    return fake_worker


@pytest.fixture
def harness(start_router, worker):
    """A router in this thread whose endpoint list has the one worker."""
    return start_router(worker)


@pytest.fixture
def client(harness):
    """A client that the router has accepted, and that has one answer: to a status request."""
    return harness.connect_accepted_client()


@pytest.fixture
def unreachable_address(exit_stack):
    """Make addresses at which no connection is established: those of listeners whose queue is full."""

    def make():
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        queued_sockets = [socket.socket() for _ in range(QUEUED_CONNECTION_COUNT)]
        for queued_socket in queued_sockets:
            queued_socket.setblocking(False)
            queued_socket.connect_ex(full.getsockname())
        for sock in (full, *queued_sockets):
            exit_stack.callback(sock.close)
        return full.getsockname()

    return make


@pytest.fixture
def launcher(exit_stack, tmp_path):
    """Start the program as a process of its own; all processes end with the test."""
    return ProgramLauncher(exit_stack, tmp_path)
