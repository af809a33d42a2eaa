"""Tests that are known to fail for a real fault: named in KNOWN-RED.txt, expected to fail, and printed.

A line is `test, cause, issue`, the test as pytest names it. All other tests must pass, and one that is
named but passes fails the run: it is to be taken off the list.
"""

import contextlib
import os
import re
import socket
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

ROOT = Path(__file__).parent.parent

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


def known_red(text):
    """The causes by the test's name; more lines than are allowed, or one without its parts, is an error."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    found = [re.fullmatch(r"([^,\s]+), (.+), (\S+)", line) for line in lines]
    if len(lines) > MAX_LINES or not all(found):
        raise pytest.UsageError(f"KNOWN-RED.txt: at most {MAX_LINES} lines of test, cause, issue")
    return {match[1]: f"{match[2]} (issue {match[3]})" for match in found}


def _listed():
    return known_red(LIST.read_text()) if LIST.exists() else {}


def pytest_terminal_summary(terminalreporter):
    for test, cause in _listed().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")


def pytest_collection_modifyitems(config, items):
    listed = _listed()
    for item in items:
        if cause := listed.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    whole = config.args_source is not config.ArgsSource.ARGS and not config.option.keyword
    if whole and (missing := listed.keys() - {item.nodeid for item in items}):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(sorted(missing))}")


@pytest.fixture
def cleanups():
    """Callbacks that run when the test has ended, last one first."""
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def start_router(cleanups):
    """Start routers in this thread, with their endpoint log, workers and clients; closed at the end."""
    from fakes import RouterHarness

    def start(*workers, **options):
        harness = RouterHarness(*workers, **options)
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
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        for sock in (full, *fillers):
            cleanups.callback(sock.close)
        return full.getsockname()

    return make


class Programs:
    """Starts the program itself on a configuration; `endpoint_log` is the log of the last one."""

    def __init__(self, cleanups, folder):
        self._cleanups = cleanups
        self._folder = folder
        self._started = 0

    def launch(self, config, *words):
        """The started process: `serve`, or the command that the words are."""
        self._started += 1
        path = self._folder / f"config-{self._started}.json"
        path.write_bytes(msgspec.json.encode(config))
        env = {**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        env = {name: value for name, value in env.items() if name not in ("ROUTER_LISTEN", "ROUTER_NAME")}
        command = [sys.executable, "-m", "function_router", *(words or ["serve"])]
        program = subprocess.Popen(command, env=env, cwd=ROOT, stdout=-1, stderr=-1, text=True)
        for cleanup in (program.stderr.close, program.stdout.close, program.wait, program.kill):
            self._cleanups.callback(cleanup)
        return program

    def config(self, *records, **more):
        """A configuration with these endpoint records, and a fresh endpoint log."""
        from fakes import SETTINGS, FakeEndpointLog

        self.endpoint_log = FakeEndpointLog()
        self._cleanups.callback(self.endpoint_log.close)
        event = {"seq": 1, "fleet": {"complete": True, "members": list(records)}}
        return {
            "listen": "127.0.0.1:0",
            "changelog": self.endpoint_log.host_port,
            "settings": SETTINGS,
            "seed": "1",
            "known": {"seq": 1, "results": [event]},
            **more,
        }

    def pump(self, client, condition, *others):
        """Serve the client and the other peers until something is so."""
        from fakes import ready

        for _ in range(4000):
            for peer in (client, *others):
                peer.pump()
            if condition():
                return
            ready(client.sock, 0.005)
        pytest.fail("waited in vain")


@pytest.fixture
def programs(cleanups, tmp_path):
    """The program as a process of its own."""
    return Programs(cleanups, tmp_path)
