"""A module of this package as a child process."""

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
MAX_LINE_BYTES = 1 << 20  # the proxy's first line has a port for each router and worker


class ModuleProcess:
    """A process that takes commands on its standard input, and exits when that is closed.

    The caller owns it, and ends it with `finish` or `kill`.
    """

    def __init__(self, process: asyncio.subprocess.Process, module: str) -> None:
        self._process = process
        self._module = module

    @classmethod
    async def start(cls, module: str, *arguments: str) -> "ModuleProcess":
        """Start a module with the interpreter of this run."""
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
        """Read its next line of output, which says where it listens.

        Raises:
            ProcessStartError: It ended without one.
            TimeoutError: It was silent for `START_TIMEOUT_S`.
        """
        assert self._process.stdout
        line = await asyncio.wait_for(self._process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise ProcessStartError(self._module)
        return line

    async def send_command(self, command: Struct) -> None:
        """Send it a command."""
        assert self._process.stdin
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        await self._process.stdin.drain()

    async def finish(self, timeout_s: float) -> None:
        """Close its input, and wait until it exits; kill it if it doesn't in time."""
        assert self._process.stdin
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()

    def pause(self) -> None:
        """Suspend it with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume it with SIGCONT."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGCONT)

    def request_drain(self) -> None:
        """Have a worker drain, with SIGUSR1."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal.SIGUSR1)

    def kill(self) -> None:
        """Send SIGKILL, without waiting for the end."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()

    async def clean_up(self) -> None:
        """Kill it if it still runs, and wait until it has ended."""
        self.kill()
        await self._process.wait()
