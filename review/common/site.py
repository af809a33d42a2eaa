"""A small deployment on loopback addresses: its settings, its processes and its change log."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.common import wire

ROOT = Path(__file__).parent.parent.parent
HOST = "127.0.0.1"
READY_S = 30.0
PORTS = (12_000, 30_000)  # below the range from which the system takes ports of outgoing connections

CLASSES: list[dict[str, Any]] = [
    {"name": "extract-read", "effect": "idempotent", "group": "all", "promise": 500.0, "give_up": 2500.0},
    {
        "name": "change-filing",
        "effect": "deduplicated",
        "group": "all",
        "dedup_window": 3000.0,
        "promise": 500.0,
        "give_up": 3000.0,
    },
    {"name": "settle", "effect": "at_most_once", "group": "all", "promise": 500.0, "give_up": 2500.0},
]
TENANTS = ("norrbolag", "kvarnreg", "sjostad-reg")


def settings(routers: int, quota_rps: float = 40.0) -> dict[str, Any]:
    """Return settings with the figures of the operator's pages."""
    return {
        "classes": [dict(each) for each in CLASSES],
        "tenants": [{"name": name, "quota_rps": quota_rps, "share": 1 / 3} for name in TENANTS],
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
        "family_info": {
            "free_loads": 2.0,
            "idle_life": 8500.0,
            "load_part": 0.3,
            "load_wait": 10000.0,
            "load_window": 5000.0,
            "may_order": True,
            "not_loaded": "load",
            "notes_peers_in_hand": True,
            "says_warm": True,
        },
        "invariants": {
            "cold": 14000.0,
            "cold_share": 0.16,
            "drain_grace": 1000.0,
            "fall": 3000.0,
            "fall_multiple": 4.0,
            "grace_to_answer": 8.0,
            "must_ask_in": 10000.0,
        },
        "costs": {"handshake": 0.01},
        "fleet_size": routers,
        "tick": 2.0,
        "weight_source": "none",
        "locality": "hall-a",
        "zones": ["hall-a", "hall-b"],
    }


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port on which nothing listens now; outgoing connections don't use ports of this range."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            _given_ports.add(port)
            return port


class Record:
    """The record of a case, one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._start = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def __call__(self, text: str, at: float | None = None) -> None:
        """Write a line with a time on the monotonic clock, counted from the start of the case."""
        self._file.write(f"{(at or time.monotonic()) - self._start:9.3f} {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


class ChangeLog:
    """The change log: events in order, a line with the last number each second; it may be down or silent."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.published_at: list[float] = []
        self.port = free_port()
        self.is_silent = False
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, int] = {}

    def publish(self, *members: dict[str, Any], complete: bool = False) -> float:
        """Add an event, send it to those who follow the log, and return the time."""
        number = len(self.events) + 1
        fleet = {"revision": number, "complete": complete, "members": list(members)}
        self.events.append({"seq": number, "fleet": fleet})
        self.published_at.append(time.monotonic())
        for writer in list(self._connections):
            self._send_later_events(writer)
        return self.published_at[-1]

    def known(self) -> dict[str, Any]:
        """Return the events up to now, in the form of the configuration."""
        return {"seq": len(self.events), "results": list(self.events)}

    async def up(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    async def down(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._connections):
            writer.close()
        self._connections.clear()
        await asyncio.sleep(0)

    def _send_later_events(self, writer: asyncio.StreamWriter) -> None:
        if self.is_silent:
            return
        for event in self.events[self._connections[writer] :]:
            writer.write(json.dumps(event).encode() + b"\n")
        self._connections[writer] = len(self.events)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            line = await reader.readline()
            self._connections[writer] = int(line.split()[1])
            while writer in self._connections and not writer.is_closing():
                self._send_later_events(writer)
                if not self.is_silent:
                    writer.write(b"%d\n" % self._connections[writer])
                await asyncio.sleep(1.0)
        self._connections.pop(writer, None)
        writer.close()


class Router:
    """One router process, started as the deploy file says."""

    def __init__(self, folder: Path, name: str, log: ChangeLog, router_settings: dict[str, Any]) -> None:
        self.name = name
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{name}.log"
        self._config_path = folder / f"{name}.json"
        self._changelog = log
        self._settings = router_settings
        self._starts = 0

    def write_config(self, log_port: int | None = None) -> None:
        """Write the configuration, with the events of the change log up to now."""
        self._starts += 1
        data = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": f"{abs(hash(self.name)) % 2**32 + self._starts:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "changelog": f"{HOST}:{log_port or self._changelog.port}",
            "known": self._changelog.known(),
            "settings": self._settings,
        }
        new_path = self._config_path.with_suffix(".new")
        new_path.write_text(json.dumps(data))
        new_path.rename(self._config_path)

    def start(self) -> None:
        """Write the configuration and start the process with the command of the deploy file."""
        self.write_config()
        environment = {
            **os.environ,
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_CONFIG": str(self._config_path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", "exec .venv/bin/python -m function_router serve"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self) -> bool:
        """Return whether the router answers `status` with good within READY_S."""
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.01)
        return False

    async def is_ready(self) -> bool:
        """Return whether the router answers `status` with good now."""
        try:
            client = await Client.open(self.port)
        except OSError:
            return False
        try:
            answer = await asyncio.wait_for(client.ask_status(), 1.0)
        except (TimeoutError, OSError):
            return False
        finally:
            client.close()
        return answer.good


class WorkerProcess:
    """One stand-in worker process."""

    def __init__(self, folder: Path, name: str, *options: str) -> None:
        self.name = name
        self.port = free_port()
        self.record_path = folder / f"{name}.jsonl"
        self.up_since_ms = 0
        self.cell = 0
        self._options = options
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "review.common.worker", str(self.port), str(self.record_path)]
        self._process = subprocess.Popen([*command, *self._options], cwd=ROOT)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def member(self, phase: str = "in_service") -> dict[str, Any]:
        """Return the record of the worker in the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "hall-a",
            "flavor": "gen-a",
            "cell": self.cell,
            "phase": phase,
            "size": 1,
            "up_since_ms": self.up_since_ms,
        }

    def seen(self) -> list[dict[str, Any]]:
        """Return what the worker has recorded."""
        if not self.record_path.exists():
            return []
        return [json.loads(line) for line in self.record_path.read_text().splitlines()]

    async def wait_listening(self) -> None:
        """Wait until the worker accepts connections."""
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


class Client:
    """One client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.last_seqid = 0
        self.waiting: dict[int, asyncio.Future[wire.Answer]] = {}
        self.surplus = 0
        self.is_ended = False
        self._writer = writer
        self._task = asyncio.create_task(self._receive(reader))

    @classmethod
    async def open(cls, port: int) -> "Client":
        """Connect to a router."""
        return cls(*await asyncio.open_connection(HOST, port))

    def call(self, fields: dict[str, str], body: bytes) -> asyncio.Future[wire.Answer]:
        """Send a request; the future fails with ConnectionError if the connection ends first."""
        self.last_seqid += 1
        return self._expect(self.last_seqid, wire.request(self.last_seqid, fields, body))

    def ask_status(self) -> asyncio.Future[wire.Answer]:
        """Ask whether the router is ready."""
        self.last_seqid += 1
        return self._expect(self.last_seqid, wire.status(self.last_seqid))

    def withdraw(self, seqid: int) -> None:
        """Withdraw a request."""
        self.last_seqid += 1
        self._writer.write(wire.withdraw(self.last_seqid, seqid))

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()

    def _expect(self, seqid: int, data: bytes) -> asyncio.Future[wire.Answer]:
        future: asyncio.Future[wire.Answer] = asyncio.get_running_loop().create_future()
        if self.is_ended:
            future.set_exception(ConnectionError("ended before"))
            return future
        self.waiting[seqid] = future
        self._writer.write(data)
        return future

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        buffer = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                buffer += data
                while (answer := wire.take_answer(buffer)) is not None:
                    future = self.waiting.pop(answer.seqid, None)
                    if future is None:
                        self.surplus += 1
                    elif not future.done():
                        future.set_result(answer)
        self.is_ended = True
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionError("ended"))
        self.waiting.clear()


def fields_of(call: str, class_name: str, function: str, ttl_ms: int) -> dict[str, str]:
    """Return the fields of a request."""
    fields = {
        "op": class_name,
        "call": call,
        "ttl": str(ttl_ms),
        "org": TENANTS[int(call, 16) % len(TENANTS)],
        "row": function,
        "props": "memory_mb:384;lanes:2",
    }
    if class_name == "change-filing":
        fields["dedupe"] = call * 2
    return fields


async def until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait for a condition; return whether it held within the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        await asyncio.sleep(0.01)
    return condition()
