"""The processes of a run: routers, workers, the proxy and the clients, as this run's children."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from soak import site
from soak.router_config import RouterConfig
from soak.shim import CONTROL_VARIABLE, ShimControl
from soak.thrift_client import is_router_ready

ROOT = Path(__file__).parent.parent
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
KILL_GRACE_S = 0.7
MAX_KILL_TIMEOUT_S = 3.0
LINE_LIMIT = 1 << 20


@dataclass
class RouterIncarnation:
    """One incarnation of a router; times are monotonic seconds, None for what did not happen."""

    router: int
    started_at: float
    ready_at: float | None = None
    term_at: float | None = None
    killed_at: float | None = None  # by a planned kill
    overdue_at: float | None = None  # killed as it had not ended by itself after SIGTERM
    exited_at: float | None = None
    exit_code: int | None = None


class ModuleProcess:
    """A module of this package as a process that is driven over its standard input."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, module: str, *arguments: str) -> "ModuleProcess":
        """Start it with the interpreter of this run."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT,
        )
        return cls(process)

    async def read_line(self) -> bytes:
        """Its next line of output."""
        assert self.process.stdout
        return await asyncio.wait_for(self.process.stdout.readline(), READY_TIMEOUT_S)

    async def command(self, command: msgspec.Struct) -> None:
        """Send it a command."""
        assert self.process.stdin
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        await self.process.stdin.drain()

    async def finish(self, within_s: float) -> None:
        """End its input and wait until it ends; kill it if it does not."""
        assert self.process.stdin
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def kill(self) -> None:
        """End it at once."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()


@dataclass
class RouterProcessHandle:
    """A router's slot in the run: its configuration, its process, and its incarnations so far."""

    router: int
    folder: Path
    port: int
    config: RouterConfig
    shim: Path | None
    control: ShimControl = field(default_factory=ShimControl)
    incarnations: list[RouterIncarnation] = field(default_factory=list)
    reads_log: bool = True
    process: asyncio.subprocess.Process | None = None
    _log_tasks: list[asyncio.Task[None]] = field(default_factory=list)

    @property
    def incarnation(self) -> RouterIncarnation:
        """Its present incarnation."""
        return self.incarnations[-1]

    @property
    def control_path(self) -> Path:
        """The control file of its shim."""
        return self.folder / f"control-{self.router}"

    def write_config(self) -> None:
        """Replace the configuration file in one step."""
        path = self.folder / f"router-{self.router}-config.json"
        new = path.with_suffix(".new")
        new.write_bytes(self.config.encode())
        new.rename(path)

    def write_control(self) -> None:
        """Have the shim follow `control`."""
        self.control.write(self.control_path)

    async def start(self) -> None:
        """Start a incarnation, and wait until it says that it is ready."""
        self.write_config()
        self.write_control()
        environment = {**os.environ, "ROUTER_CONFIG": str(self.folder / f"router-{self.router}-config.json")}
        if self.shim:
            environment |= {"LD_PRELOAD": str(self.shim), CONTROL_VARIABLE: str(self.control_path)}
        self.incarnations.append(RouterIncarnation(self.router, time.monotonic()))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "function_router",
            "serve",
            cwd=ROOT,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
            limit=4096,
        )
        self._log_tasks.append(asyncio.create_task(self._copy_log(self.process)))
        await self._wait_ready()

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        with (self.folder / f"router-{self.router}.log").open("ab") as file:
            while True:
                while not self.reads_log:
                    await asyncio.sleep(0.05)
                data = await process.stderr.read(4096)
                if not data:
                    return
                file.write(data)
                file.flush()

    async def _wait_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and self.process and self.process.returncode is None:
            if await is_router_ready(self.port):
                self.incarnation.ready_at = time.monotonic()
                return
            await asyncio.sleep(READY_POLL_S)

    def signal(self, number: int) -> None:
        """Send its process a signal, if it still runs."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill it outright."""
        self.incarnation.killed_at = time.monotonic()
        self.signal(signal.SIGKILL)
        await self._record_exit(READY_TIMEOUT_S)

    async def terminate(self) -> None:
        """SIGTERM, then SIGKILL once the longest deadline and some time more have passed."""
        self.incarnation.term_at = time.monotonic()
        self.signal(signal.SIGTERM)
        kill_after_s = min(site.MAX_TIMEOUT_MS / 1000, MAX_KILL_TIMEOUT_S) + KILL_GRACE_S
        if not await self._record_exit(kill_after_s):
            self.incarnation.overdue_at = time.monotonic()
            self.signal(signal.SIGKILL)
            await self._record_exit(READY_TIMEOUT_S)

    async def _record_exit(self, within_s: float) -> bool:
        assert self.process
        try:
            self.incarnation.exit_code = await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            return False
        self.incarnation.exited_at = time.monotonic()
        return True

    def note_unplanned_exit(self) -> None:
        """Record an exit that nobody asked for."""
        if self.process and self.process.returncode is not None and self.incarnation.exited_at is None:
            self.incarnation.exit_code = self.process.returncode
            self.incarnation.exited_at = time.monotonic()
