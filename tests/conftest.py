"""Fixtures of the tests, and the list of tests that are known to fail for a real fault.

Those are named in KNOWN-RED.txt, expected to fail, and printed. A line is `test, cause, issue`, the test as
pytest names it. All other tests must pass, and one that is named but passes fails the run: it is to be
taken off the list.
"""

import contextlib
import re
import socket
from pathlib import Path

import pytest
from helpers.process_harness import ProcessHarness
from helpers.program_launcher import ProgramLauncher

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
FILLER_COUNT = 4  # connections that fill the queue of a listener that accepts none


class InvalidKnownRedError(pytest.UsageError):
    """KNOWN-RED.txt has too many lines, or one without its parts."""

    def __init__(self):
        super().__init__(f"KNOWN-RED.txt: at most {MAX_KNOWN_RED} lines of test, cause, issue")


class UnknownTestsError(pytest.UsageError):
    """KNOWN-RED.txt names tests that don't exist."""

    def __init__(self, names):
        super().__init__(f"KNOWN-RED.txt names no test: {', '.join(sorted(names))}")


def parse_known_red(text):
    """The causes by the tests' names; raises InvalidKnownRedError."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    matches = [re.fullmatch(r"([^,\s]+), (.+), (\S+)", line) for line in lines]
    if len(lines) > MAX_KNOWN_RED or not all(matches):
        raise InvalidKnownRedError
    return {match[1]: f"{match[2]} (issue {match[3]})" for match in matches}


def known_red_tests():
    """What KNOWN-RED.txt lists: nothing where there is no such file."""
    return parse_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def pytest_terminal_summary(terminalreporter):
    """Print the tests that are known to fail."""
    for test, cause in known_red_tests().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")


def pytest_collection_modifyitems(config, items):
    """Expect the tests that are known to fail to do so; raises UnknownTestsError."""
    listed = known_red_tests()
    for item in items:
        if cause := listed.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    is_whole_run = config.args_source is not config.ArgsSource.ARGS and not config.option.keyword
    unknown = listed.keys() - {item.nodeid for item in items}
    if is_whole_run and unknown:
        raise UnknownTestsError(unknown)


@pytest.fixture
def cleanups():
    """Callbacks that run when the test has ended, last one first."""
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def start_router(cleanups):
    """Start routers in this thread, with their endpoint log, workers and clients; closed at the end."""

    def start(*workers, **options):
        harness = ProcessHarness(*workers, **options)
        cleanups.callback(harness.close)
        return harness

    return start


@pytest.fixture
def unreachable_address(cleanups):
    """Make addresses at which no connection comes up: listeners whose queue is full."""

    def make():
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(FILLER_COUNT)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        for sock in (full, *fillers):
            cleanups.callback(sock.close)
        return full.getsockname()

    return make


@pytest.fixture
def programs(cleanups, tmp_path):
    """The program as a process of its own."""
    return ProgramLauncher(cleanups, tmp_path)
