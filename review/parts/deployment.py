"""A small deployment on loopback: routers and workers as processes, with the commands of the deploy file."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from review.parts.changelog import ChangeLog
from review.parts.clients import Clients, is_ready

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 15.0
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


def make_settings(
    classes: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
    router_count: int,
    **sections: dict[str, Any],
) -> dict[str, Any]:
    """Return the settings of the example in the wire page, with other classes, tenants and sections."""
    settings: dict[str, Any] = {
        "bounds": {
            "cancel": True,
            "dial_timeout": 250.0,
            "keepalive": 30000.0,
            "max_attempts": 4,
            "max_open": 20000,
            "max_retry_after": 2000.0,
            "may_tell": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "costs": {"handshake": 0.01, "probe": 0.01, "origin": 0.1, "waste": 0.03},
        "family": "warm",
        "family_info": {
            "free_loads": 2.0,
            "idle_life": 8500.0,
            "load_part": 0.3,
            "load_wait": 10000.0,
            "load_window": 5000.0,
            "machine_mb": [6400.0, 6528.0],
            "may_order": True,
            "not_loaded": "load",
            "notes_peers_in_hand": True,
            "says_warm": True,
        },
        "feedback": {"fields": [], "source": "none"},
        "invariants": {
            "cold": 14000.0,
            "cold_share": 0.16,
            "drain_grace": 1000.0,
            "fall": 3000.0,
            "fall_multiple": 4.0,
            "grace_to_answer": 8.0,
            "must_ask_in": 10000.0,
        },
        "kinds": ["gen-a"],
        "locality": "hall-a",
        "registry_mode": "automatic",
        "tick": 2.0,
        "weight_source": "rough",
        "worth_by": "request",
        "zones": ["hall-a", "hall-b"],
        "classes": classes,
        "tenants": tenants,
        "fleet_size": router_count,
    }
    for name, section in sections.items():
        settings[name] = {**settings[name], **section}
    return settings


class WorkerProcess:
    """A worker process, with its members of the list: one, or as many as its specification has in `count`."""

    def __init__(self, name: str, folder: Path, spec: dict[str, Any]) -> None:
        self.name = name
        self.record = folder / f"{name}.jsonl"
        self.members: list[dict[str, Any]] = []
        self._spec = {"record": str(self.record), **spec}
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, zone: str = "hall-a", cell: int = 1, up_since_ms: float = 0.0) -> None:
        """Start the process and wait until it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "review.parts.worker",
            json.dumps(self._spec),
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=2**20,
        )
        assert self._process.stdout is not None
        ports = (await self._process.stdout.readline()).split()
        for number, port in enumerate(ports):
            self.members.append(
                {
                    "id": f"{self.name}-{number}" if number else self.name,
                    "host_port": f"127.0.0.1:{int(port)}",
                    "locality": zone,
                    "flavor": "gen-a",
                    "cell": cell,
                    "phase": "in_service",
                    "size": 1,
                    "up_since_ms": up_since_ms,
                }
            )

    @property
    def member(self) -> dict[str, Any]:
        """The only member of the process."""
        return self.members[0]

    def command(self, command: str) -> None:
        """Send a command."""
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(command.encode() + b"\n")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def events(self) -> list[dict[str, Any]]:
        """Return what the worker has recorded."""
        if not self.record.exists():
            return []
        lines = self.record.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]


class RouterProcess:
    """A router process, with its change log and its clients."""

    def __init__(self, name: str, folder: Path, settings: dict[str, Any], limits: dict[str, Any]) -> None:
        self.name = name
        self.folder = folder
        self.settings = settings
        self.limits = limits
        self.log = ChangeLog()
        self.port = free_port()
        self.clients = Clients(self.port, seed=sum(name.encode()))
        self.config_path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process with the command of the deploy file, and wait until it is ready."""
        if not self.log.port:
            await self.log.start()
        self.write_config()
        self.starts += 1
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(self.config_path),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stderr=log,
                stdout=log,
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await is_ready(self.port):
            if time.monotonic() > deadline or self.process.returncode is not None:
                message = f"{self.name} did not become ready"
                raise RuntimeError(message)
            await asyncio.sleep(0.05)

    def write_config(self) -> None:
        """Write the configuration, with all events up to now and the address of the log."""
        self.config_path.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": f"8c1f30d27a5be9{self.starts:02x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
                    "changelog": f"127.0.0.1:{self.log.port}",
                    "known": {"seq": len(self.log.events), "results": self.log.events},
                    "settings": self.settings,
                }
            )
        )

    async def end(self) -> None:
        """Kill the process, and stop its log."""
        self.clients.close()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.log.stop()


class Deployment:
    """Routers and workers that were started for a case, in a temporary folder; ends all of them."""

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.workers: list[WorkerProcess] = []
        self.routers: list[RouterProcess] = []

    def add_worker(self, spec: dict[str, Any]) -> WorkerProcess:
        """Add a worker, which is not started yet."""
        worker = WorkerProcess(f"s-{len(self.workers):08x}", self.folder, {"seed": len(self.workers), **spec})
        self.workers.append(worker)
        return worker

    def add_router(self, settings: dict[str, Any], limits: dict[str, Any] | None = None) -> RouterProcess:
        """Add a router, which is not started yet."""
        router = RouterProcess(f"n{len(self.routers)}", self.folder, settings, limits or {})
        self.routers.append(router)
        return router

    async def end(self) -> None:
        """End all processes and remove the folder."""
        for router in self.routers:
            await router.end()
        for worker in self.workers:
            await worker.end()
        self._temporary.cleanup()


def free_port() -> int:
    """Return a port below the range of ephemeral ports on which nothing listens."""
    for port in range(21_000 + os.getpid() % 5_000, 32_000):
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
        return port
    message = "no free port"
    raise RuntimeError(message)


_used_ports: set[int] = set()
