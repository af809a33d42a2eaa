"""Runs a module of this package as a child process."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import msgspec
from msgspec import Struct

from soak.errors import ProcessStartError

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
MAX_LINE_BYTES = 1 << 20  # the proxy's first line has a port for each pair of a router and a worker slot


class ModuleProcess:
    """A child process that reads commands from its standard input, and exits at the end of the input.

    The caller owns the process, and ends it with `finish`, `kill` or `clean_up`. A worker reads no commands,
    and has to be killed.
    """

    def __init__(self, process: asyncio.subprocess.Process, module: str) -> None:
        self._process = process
        self._module = module

    @classmethod
    async def start(cls, module: str, *arguments: str) -> "ModuleProcess":
        """Start a module with the Python interpreter of the current process."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return cls(process, module)

    async def read_line(self) -> bytes:
        """Read the next line of the process's output, which states the ports on which it listens.

        Raises:
            ProcessStartError: The process exited without printing a line.
            TimeoutError: The process printed no line for `START_TIMEOUT_S`.
        """
        assert self._process.stdout
        line = await asyncio.wait_for(self._process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise ProcessStartError(self._module)
        return line

    async def send_command(self, command: Struct) -> None:
        """Write a command to the process's standard input."""
        assert self._process.stdin
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        await self._process.stdin.drain()

    async def finish(self, timeout_s: float) -> int:
        """Close the standard input, and wait for the process to exit; kill it if that takes too long.

        Returns:
            The exit status, or the negative number of the signal that ended the process.
        """
        assert self._process.stdin
        self._process.stdin.close()
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self._process.kill()
            return await self._process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGCONT)

    def request_drain(self) -> None:
        """Make a worker drain by sending SIGUSR1."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGUSR1)

    def kill(self) -> None:
        """Send SIGKILL without waiting for the exit."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()

    async def clean_up(self) -> None:
        """Kill the process if it still runs, and wait until it has exited."""
        self.kill()
        await self._process.wait()
