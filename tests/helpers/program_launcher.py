"""Starts the program as a process of its own."""

import os
import subprocess
import sys

import msgspec
import pytest

from helpers.configuration import router_config
from helpers.fake_endpoint_log import FakeEndpointLog
from helpers.repository import ROOT
from helpers.sockets import wait_readable

OVERRIDE_VARIABLES = ("ROUTER_LISTEN", "ROUTER_NAME")  # variables that take precedence over the configuration
MAX_POLLS = 4000  # of serving the peers, until a condition counts as never met
POLL_TIMEOUT_S = 0.005  # of waiting for the client in each of them


class ProgramLauncher:
    """Starts the program on configurations, each with an endpoint log; all end with the test.

    Attributes:
        endpoint_log: The endpoint log of the last configuration that was made.
    """

    def __init__(self, exit_stack, folder):
        """Write configurations into a folder; `exit_stack` is the fixture of that name."""
        self.endpoint_log = None
        self._exit_stack = exit_stack
        self._folder = folder
        self._launch_count = 0

    def make_config(self, *records, **fields):
        """A configuration with these endpoint records, and a fresh endpoint log."""
        self.open_endpoint_log()
        return router_config(self.endpoint_log, *records, **fields)

    def open_endpoint_log(self, port=0):
        """Replace the endpoint log by a fresh one."""
        self.endpoint_log = FakeEndpointLog(port)
        self._exit_stack.callback(self.endpoint_log.close)

    def launch(self, config, *arguments):
        """Start the program on a configuration and return its process.

        Args:
            config: The configuration, as an object.
            arguments: The command with its arguments; `serve` without any.
        """
        program = subprocess.Popen(
            [sys.executable, "-m", "function_router", *(arguments or ["serve"])],
            env=self._environment(self._write(config)),
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for cleanup in (program.stderr.close, program.stdout.close, program.wait, program.kill):
            self._exit_stack.callback(cleanup)  # the last one runs first
        return program

    def rewrite_config(self, config):
        """Replace the configuration file of the program that was started last."""
        self._config_path().write_bytes(msgspec.json.encode(config))

    def _write(self, config):
        self._launch_count += 1
        self.rewrite_config(config)
        return self._config_path()

    def _config_path(self):
        return self._folder / f"config-{self._launch_count}.json"

    def _environment(self, config_path):
        inherited = {name: value for name, value in os.environ.items() if name not in OVERRIDE_VARIABLES}
        return inherited | {"ROUTER_CONFIG": str(config_path), "PYTHONPATH": str(ROOT)}

    def receive_until(self, client, condition, *others):
        """Let the client and the other peers receive until a condition holds."""
        for _ in range(MAX_POLLS):
            for peer in (client, *others):
                peer.receive()
            if condition():
                return
            wait_readable(client.sock, POLL_TIMEOUT_S)
        pytest.fail("timed out waiting for the condition")
