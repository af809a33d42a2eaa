"""A router of the cluster: its current process, and the record of all its incarnations."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from soak import site
from soak.module_process import ROOT
from soak.process_memory import peak_memory_mb
from soak.router_config import RouterConfig
from soak.run_folder import RunFolder
from soak.run_record import RouterIncarnation
from soak.shim import CONTROL_VARIABLE, ShimControl
from soak.thrift_client import is_router_ready

CONFIG_VARIABLE = "ROUTER_CONFIG"
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02  # between two status requests
EXIT_TIMEOUT_S = 30.0  # after SIGKILL
# The time from SIGTERM to SIGKILL is the longest timeout of a request, limited to
# MAX_TIMEOUT_BEFORE_KILL_S, plus KILL_GRACE_S. `function_router.net.drain` relies on both values.
MAX_TIMEOUT_BEFORE_KILL_S = 3.0
KILL_GRACE_S = 0.7
LOG_READ_BYTES = 4096  # small, so that the pipe fills up soon while the log is not read
LOG_POLL_S = 0.05  # between checks whether to read the log again


class RouterSlot:
    """The configuration, the current process and the incarnations of a router.

    The slot owns its process; the cluster calls `clean_up` at the end of the run.

    Attributes:
        number: The number of the router.
        config: The configuration that `start` and `reload` write to the configuration file.
        shim_control: The faults that the shim injects after the next `write_shim_control`.
        incarnations: The incarnations, oldest first, with the current one last.
        is_log_read: Whether the log that the process writes to standard error is read.
    """

    def __init__(self, number: int, folder: RunFolder, config: RouterConfig, shim: Path | None) -> None:
        self.number = number
        self.config = config
        self.shim_control = ShimControl()
        self.incarnations: list[RouterIncarnation] = []
        self.is_log_read = True
        self._folder = folder
        self._shim = shim
        self._process: asyncio.subprocess.Process | None = None
        self._log_tasks: list[asyncio.Task[None]] = []

    @property
    def incarnation(self) -> RouterIncarnation:
        """The current incarnation or, while the router is down, the last one."""
        return self.incarnations[-1]

    async def start(self) -> None:
        """Start an incarnation, and wait until it is ready, has exited, or `READY_TIMEOUT_S` have passed."""
        self._write_config()
        self.write_shim_control()
        self.incarnations.append(RouterIncarnation(self.number, time.monotonic()))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "function_router",
            "serve",
            cwd=ROOT,
            env=self._environment(),
            stderr=asyncio.subprocess.PIPE,
            limit=LOG_READ_BYTES,
        )
        self._log_tasks.append(asyncio.create_task(self._copy_log(self._process)))
        await self._wait_until_ready()

    def reload(self) -> None:
        """Replace the configuration file, and make the process reload it with SIGHUP."""
        self._write_config()
        self._send_signal(signal.SIGHUP)

    def repeat_sigterm(self) -> None:
        """Send another SIGTERM to a process that already drains."""
        self._send_signal(signal.SIGTERM)

    def write_shim_control(self) -> None:
        """Write `shim_control` to the control file, so that the shim applies it."""
        self.shim_control.write(self._folder.shim_control(self.number))

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self._send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Send a planned SIGKILL, and wait for the exit of the process."""
        self.record_peak_memory()
        self.incarnation.killed_at = time.monotonic()
        self._send_signal(signal.SIGKILL)
        await self._record_exit(EXIT_TIMEOUT_S)

    async def terminate(self) -> None:
        """Send SIGTERM, then SIGKILL to a process that does not exit in time.

        The process has the time of the longest request timeout, limited to MAX_TIMEOUT_BEFORE_KILL_S, plus
        KILL_GRACE_S.
        """
        self.record_peak_memory()
        self.incarnation.sigterm_at = time.monotonic()
        self._send_signal(signal.SIGTERM)
        if not await self._record_exit(
            min(site.MAX_TIMEOUT_MS / 1000, MAX_TIMEOUT_BEFORE_KILL_S) + KILL_GRACE_S
        ):
            self.incarnation.forced_kill_at = time.monotonic()
            self._send_signal(signal.SIGKILL)
            await self._record_exit(EXIT_TIMEOUT_S)

    def record_peak_memory(self) -> None:
        """Record the maximum of the process's resident memory, unless the process has ended."""
        if self._process:
            self.incarnation.peak_memory_mb = peak_memory_mb(self._process.pid)

    def record_unplanned_exit(self) -> None:
        """Record the exit of a process that was neither killed nor terminated."""
        if self._process and self._process.returncode is not None and self.incarnation.exited_at is None:
            self.incarnation.exit_code = self._process.returncode
            self.incarnation.exited_at = time.monotonic()

    async def clean_up(self) -> None:
        """Kill the process if it still runs, and wait until it has exited."""
        self.is_log_read = True
        self._send_signal(signal.SIGKILL)
        if self._process:
            await self._process.wait()

    def _send_signal(self, number: int) -> None:
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    async def _record_exit(self, timeout_s: float) -> bool:
        """Wait for the exit of the process, and record it; return False if that takes too long."""
        assert self._process
        try:
            self.incarnation.exit_code = await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        self.incarnation.exited_at = time.monotonic()
        return True

    def _write_config(self) -> None:
        """Replace the configuration file atomically, as the process may read it at any time."""
        path = self._folder.router_config(self.number)
        new_path = path.with_suffix(".new")
        new_path.write_bytes(self.config.encode())
        new_path.rename(path)

    def _environment(self) -> dict[str, str]:
        environment = {**os.environ, CONFIG_VARIABLE: str(self._folder.router_config(self.number))}
        if self._shim:
            environment["LD_PRELOAD"] = str(self._shim)
            environment[CONTROL_VARIABLE] = str(self._folder.shim_control(self.number))
        return environment

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        with self._folder.router_log(self.number).open("ab") as file:
            while True:
                while not self.is_log_read:
                    await asyncio.sleep(LOG_POLL_S)
                data = await process.stderr.read(LOG_READ_BYTES)
                if not data:
                    return
                file.write(data)
                file.flush()

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and self._process and self._process.returncode is None:
            if await is_router_ready(self.config.port):
                self.incarnation.ready_at = time.monotonic()
                return
            await asyncio.sleep(READY_POLL_S)
