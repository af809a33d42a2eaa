"""A worker process, which behaves as the protocol page says, and records what reaches it.

Usage: worker.py PORT RECORD [NAME=VALUE ...]. It listens until it is killed. After SIGUSR1 it drains: it
finishes what it has, turns new work away with code 3, and answers checks with code 7. With `error_share`, it
answers that share of the requests with code 4 after it has run them.
"""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path
from typing import TextIO

from review.common import wire

LIMIT = 16  # copies of a function at most


class Copies:
    """The loaded copies of one function."""

    def __init__(self) -> None:
        self.count = 0
        self.running = 0
        self.here = 0
        self.changed = asyncio.Condition()
        self.loading: asyncio.Task[None] | None = None


class Worker:
    """Serves frames; `run_s` and `load_s` are the mean durations of a run and of a load."""

    def __init__(self, record: TextIO, options: dict[str, float], number: int = 0) -> None:
        self._record = record
        self._number = number
        self._run_s = options.get("run_s", 0.04)
        self._load_s = options.get("load_s", 0.25)
        self._lanes = int(options.get("lanes", 2))
        self._queue = int(options.get("queue", 24))
        self._error_share = options.get("error_share", 0.0)
        self._is_draining = False
        self._functions: dict[str, Copies] = {}

    def drain(self) -> None:
        """Turn new work away from now on."""
        self._is_draining = True
        self.note("draining")

    def note(self, event: str, **fields: object) -> None:
        """Write a line to the record, with the time on the monotonic clock."""
        self._record.write(
            json.dumps({"at": time.monotonic(), "worker": self._number, "event": event, **fields}) + "\n"
        )
        self._record.flush()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the frames of one connection; its end gives up everything open on it."""
        buffer = bytearray()
        tasks: dict[bytes, asyncio.Task[None]] = {}
        peer = writer.get_extra_info("peername")[1]
        try:
            while data := await reader.read(65_536):
                buffer += data
                while (received := wire.take_frame(buffer)) is not None:
                    self._on_frame(received, writer, tasks, peer)
        except (OSError, ValueError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    def _on_frame(
        self,
        received: wire.Frame,
        writer: asyncio.StreamWriter,
        tasks: dict[bytes, asyncio.Task[None]],
        peer: int,
    ) -> None:
        name = received.exchange.hex()
        if received.code == wire.CANCEL:
            self.note("given up", id=name)
            if task := tasks.pop(received.exchange, None):
                task.cancel()
        elif received.code in (wire.CHECK, wire.REPORT):
            self.note("check", peer=peer)
            code = wire.DRAINING if self._is_draining else wire.READY
            writer.write(wire.frame(code, received.exchange))
        elif received.code == wire.RUN:
            self.note("attempt", id=name, peer=peer, **received.fields)
            tasks[received.exchange] = asyncio.create_task(self._run(received, writer))
        elif received.code == wire.LOAD:
            self.note("order", peer=peer, **received.fields)
            tasks[received.exchange] = asyncio.create_task(self._load(received, writer))

    def _answer(self, writer: asyncio.StreamWriter, code: int, received: wire.Frame, fields: str) -> None:
        if not writer.is_closing():
            body = b"ran " + received.exchange.hex().encode() if code == wire.OK else b""
            writer.write(wire.frame(code, received.exchange, fields, body))

    async def _run(self, received: wire.Frame, writer: asyncio.StreamWriter) -> None:
        copies = self._functions.setdefault(received.fields["obj"], Copies())
        here = copies.here
        if self._is_draining or here - copies.running >= self._queue:
            self._answer(writer, wire.FULL, received, f"company={here}")
            return
        note = "reused" if copies.count else ("shared_init" if copies.loading else "init")
        copies.here += 1
        try:
            await self._hold(copies, 1)
            async with copies.changed:
                await copies.changed.wait_for(lambda: copies.running < copies.count * self._lanes)
                copies.running += 1
            try:
                self.note("run", id=received.exchange.hex())
                await asyncio.sleep(self._run_s * random.uniform(0.7, 1.3))
            finally:
                async with copies.changed:
                    copies.running -= 1
                    copies.changed.notify_all()
        finally:
            copies.here -= 1
        is_error = random.random() < self._error_share
        self.note("error" if is_error else "ran", id=received.exchange.hex())
        self._answer(writer, wire.ERROR if is_error else wire.OK, received, f"res={note},company={here}")

    async def _hold(self, copies: Copies, count: int) -> None:
        while copies.count < min(LIMIT, count):
            if copies.loading is None:
                copies.loading = asyncio.create_task(self._load_copy(copies))
            await asyncio.shield(copies.loading)

    async def _load_copy(self, copies: Copies) -> None:
        await asyncio.sleep(self._load_s * random.uniform(0.8, 1.2))
        async with copies.changed:
            copies.count += 1
            copies.loading = None
            copies.changed.notify_all()

    async def _load(self, received: wire.Frame, writer: asyncio.StreamWriter) -> None:
        copies = self._functions.setdefault(received.fields["obj"], Copies())
        wanted = int(received.fields["slots_up"])
        is_full = self._is_draining and wanted > 0
        if not is_full:
            await self._hold(copies, wanted)
        if not writer.is_closing():
            code = wire.FULL if is_full else wire.OK
            writer.write(wire.frame(code, received.exchange, f"slots_up={copies.count}"))


async def main() -> None:
    """Listen on a loopback address until the process is killed."""
    port, path, *options = sys.argv[1:]
    values = {name: float(value) for name, _, value in (option.partition("=") for option in options)}
    with Path(path).open("a", encoding="utf-8") as record:
        worker = Worker(record, values)
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, worker.drain)
        server = await asyncio.start_server(worker.serve, "127.0.0.1", int(port), backlog=512)
        worker.note("listening")
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
