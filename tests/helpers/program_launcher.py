"""Starts the program as a process of its own."""

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from helpers.fake_endpoint_log import FakeEndpointLog
from helpers.process_harness import router_config
from helpers.sockets import wait_readable

ROOT = Path(__file__).parent.parent.parent
OVERRIDES = ("ROUTER_LISTEN", "ROUTER_NAME")  # variables that take precedence over the configuration
MAX_ROUNDS = 4000
ROUND_S = 0.005


class ProgramLauncher:
    """Starts the program on configurations, each with an endpoint log; all end with the test.

    `endpoint_log` is that of the last configuration.
    """

    def __init__(self, cleanups, folder):
        self.endpoint_log = None
        self._cleanups = cleanups
        self._folder = folder
        self._started = 0

    def launch(self, config, *arguments):
        """The started process: `serve`, or the command that the arguments are."""
        self._started += 1
        path = self._folder / f"config-{self._started}.json"
        path.write_bytes(msgspec.json.encode(config))
        environment = {name: value for name, value in os.environ.items() if name not in OVERRIDES}
        environment |= {"ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        program = subprocess.Popen(
            [sys.executable, "-m", "function_router", *(arguments or ["serve"])],
            env=environment,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for cleanup in (program.stderr.close, program.stdout.close, program.wait, program.kill):
            self._cleanups.callback(cleanup)
        return program

    def make_config(self, *records, **fields):
        """A configuration with these endpoint records, and a fresh endpoint log."""
        self.open_endpoint_log()
        return router_config(self.endpoint_log, *records, **fields)

    def open_endpoint_log(self, port=0):
        """Replace the endpoint log by a fresh one."""
        self.endpoint_log = FakeEndpointLog(port)
        self._cleanups.callback(self.endpoint_log.close)

    def receive_until(self, client, condition, *others):
        """Serve the client and the other peers until a condition holds."""
        for _ in range(MAX_ROUNDS):
            for peer in (client, *others):
                peer.receive()
            if condition():
                return
            wait_readable(client.sock, ROUND_S)
        pytest.fail("timed out waiting for the condition")
