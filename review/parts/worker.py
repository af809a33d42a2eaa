"""A worker process: loads functions, runs requests on the lanes of loaded copies, and records what arrives.

Its argument is a JSON object with the fields of `WorkerSpec`. It prints its port, and obeys the lines
`drain`, `silent` and `answer` on standard input: in silence it reads, runs and records, but answers nothing.
For a large fleet, one process hosts `count` workers, each on a port of its own. It prints all ports; a number
behind a command selects the worker.
"""

import asyncio
import random
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any, TextIO

import msgspec

from function_router.net.codecs import worker_frames as frames


class WorkerSpec(msgspec.Struct):
    """How a worker behaves; `slots` requests run at once on the whole worker, for `work_ms` on average."""

    record: str
    count: int = 1
    seed: int = 1
    port: int = 0
    work_ms: float = 70.0
    is_exponential: bool = True
    load_ms: float = 600.0
    lanes: int = 2
    slots: int = 8
    queue: int = 24
    loaded: list[str] = []
    error_share: float = 0.0  # of the requests that have run
    cold_share: float = 1.0  # of its speed, which the worker has at its start
    warm_requests: int = 300  # requests after which it is warm, and it is warm `cold_s` after its start
    cold_s: float = 0.0


class Function:
    """The copies of one function, the requests that run on them and those that wait."""

    def __init__(self) -> None:
        self.copies = 0
        self.loading: asyncio.Task[None] | None = None
        self.running = 0
        self.waiting: deque[Call] = deque()


class Call:
    """A request at this worker."""

    def __init__(self, frame: frames.Frame, connection: "Connection", note: str, company: int) -> None:
        self.frame = frame
        self.connection = connection
        self.note = note
        self.company = company
        self.timer: asyncio.TimerHandle | None = None
        self.is_over = False


class Worker:
    """The state of the process."""

    def __init__(self, spec: WorkerSpec, record: TextIO) -> None:
        self.spec = spec
        self.port = 0
        self.started_at = time.monotonic()
        self.random = random.Random(spec.seed)
        self.functions: dict[str, Function] = {}
        self.running = 0
        self.ended = 0  # requests that have run to their end
        self.is_draining = False
        self.is_silent = False
        self._record = record
        for name in spec.loaded:
            self.function(name).copies = 1

    def function(self, name: str) -> Function:
        """Return the state of a function."""
        return self.functions.setdefault(name, Function())

    def write(self, event: str, **values: Any) -> None:  # noqa: ANN401 - the values of a JSON line
        """Record an event with the Unix time."""
        line = {"at": time.time(), "event": event, "port": self.port, **values}
        self._record.write(msgspec.json.encode(line).decode() + "\n")

    # --- requests ---------------------------------------------------------------------------------

    def on_request(self, frame: frames.Frame, connection: "Connection") -> None:
        """Run a request, let it wait, or turn it away without running it."""
        name = frame.fields[frames.FUNCTION_FIELD]
        function = self.function(name)
        company = function.running + len(function.waiting)
        queued = sum(len(other.waiting) for other in self.functions.values())
        is_full = self.is_draining or queued >= self.spec.queue
        self.write(
            "attempt",
            id=frame.exchange_id.hex(),
            kind=frame.fields[frames.CLASS_FIELD],
            key=frame.fields.get(frames.IDEMPOTENCY_KEY_FIELD, ""),
            ms=int(frame.fields[frames.TIMEOUT_MS_FIELD]),
            router=connection.router,
            full=is_full,
        )
        if is_full:
            connection.answer(frame, frames.QUEUE_FULL, {frames.IN_FLIGHT_FIELD: company})
            return
        note = frames.REUSED
        if not function.copies:
            note = frames.JOINED_START if function.loading else frames.STARTED
            self.load(name, 1)
        call = Call(frame, connection, note, company)
        connection.calls[frame.exchange_id] = call
        function.waiting.append(call)
        self.start_waiting(function)

    def start_waiting(self, function: Function) -> None:
        """Start requests while a lane and a slot are free."""
        while (
            function.waiting
            and function.running < function.copies * self.spec.lanes
            and self.running < self.spec.slots
        ):
            call = function.waiting.popleft()
            if call.is_over:
                continue
            function.running += 1
            self.running += 1
            work_ms = self.spec.work_ms
            run_ms = self.random.expovariate(1 / work_ms) if self.spec.is_exponential else work_ms
            run_ms /= self.speed()
            loop = asyncio.get_running_loop()
            call.timer = loop.call_later(run_ms / 1000, self.end, function, call)

    def speed(self) -> float:
        """Return the share of its speed that the worker has now."""
        if time.monotonic() - self.started_at >= self.spec.cold_s:
            return 1.0
        share = self.spec.cold_share
        return min(1.0, share + (1 - share) * self.ended / self.spec.warm_requests)

    def end(self, function: Function, call: Call) -> None:
        """Answer a request that has run."""
        call.timer = None
        self.ended += 1
        self.free(function)
        if not call.is_over:
            call.is_over = True
            call.connection.calls.pop(call.frame.exchange_id, None)
            fields = {frames.START_KIND_FIELD: call.note, frames.IN_FLIGHT_FIELD: call.company}
            if self.random.random() < self.spec.error_share:
                self.write("failed", id=call.frame.exchange_id.hex())
                call.connection.answer(call.frame, frames.ERROR, fields)
            else:
                self.write("served", id=call.frame.exchange_id.hex())
                body = b"made " + call.frame.exchange_id.hex().encode()
                call.connection.answer(call.frame, frames.OK, fields, body)
        self.start_all()

    def free(self, function: Function) -> None:
        """Free a lane and a slot."""
        function.running -= 1
        self.running -= 1

    def start_all(self) -> None:
        """Start waiting requests of all functions."""
        for function in self.functions.values():
            if function.waiting:
                self.start_waiting(function)

    def give_up(self, call: Call) -> None:
        """Stop working on a request whose router has given it up."""
        call.is_over = True
        if call.timer is not None:
            call.timer.cancel()
            self.free(self.function(call.frame.fields[frames.FUNCTION_FIELD]))
            self.start_all()

    # --- copies -----------------------------------------------------------------------------------

    def load(self, name: str, count: int) -> asyncio.Task[None]:
        """Load copies one after the other until there are `count`."""
        function = self.function(name)
        if function.loading is None or function.loading.done():
            function.loading = asyncio.create_task(self._load(function, count))
        return function.loading

    async def _load(self, function: Function, count: int) -> None:
        while function.copies < count:
            await asyncio.sleep(self.spec.load_ms * self.random.uniform(0.8, 1.2) / 1000)
            function.copies += 1
            self.start_waiting(function)
        function.loading = None

    async def on_order(self, frame: frames.Frame, connection: "Connection") -> None:
        """Hold as many copies as are ordered, and answer once they stand."""
        name = frame.fields[frames.FUNCTION_FIELD]
        count = int(frame.fields[frames.INSTANCES_FIELD])
        code = frames.OK
        if count:
            self.write("order", function=name, count=count, router=connection.router)
            if self.is_draining:
                code = frames.QUEUE_FULL
            else:
                while self.function(name).copies < count:
                    await self.load(name, count)
        connection.answer(frame, code, {frames.INSTANCES_FIELD: self.function(name).copies})


class Connection(asyncio.Protocol):
    """One connection of a router, which names itself by the address that it connects from."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.calls: dict[bytes, Call] = {}
        self.router = ""
        self._reader = frames.FrameReader(frames.FROM_ROUTER)
        self._transport: asyncio.Transport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.router = "{}:{}".format(*transport.get_extra_info("peername")[:2])

    def data_received(self, data: bytes) -> None:
        """Handle the complete frames."""
        for frame in self._reader.feed(data):
            if frame.code == frames.RUN:
                self.worker.on_request(frame, self)
            elif frame.code == frames.CANCEL:
                if call := self.calls.pop(frame.exchange_id, None):
                    self.worker.give_up(call)
            elif frame.code == frames.CHECK_HEALTH:
                code = frames.DRAINING if self.worker.is_draining else frames.READY
                self.answer(frame, code, {})
            elif frame.code == frames.ENSURE_INSTANCES:
                task = asyncio.create_task(self.worker.on_order(frame, self))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Give up everything that is open on the connection."""
        for call in self.calls.values():
            self.worker.give_up(call)
        self.calls = {}
        self._transport = None

    def answer(self, frame: frames.Frame, code: int, fields: dict[str, Any], body: bytes = b"") -> None:
        """Send an answer, unless the worker is silent or the connection has ended."""
        if self._transport is not None and not self.worker.is_silent:
            text = ",".join(f"{name}={value}" for name, value in fields.items())
            self._transport.write(frames.encode(code, frame.exchange_id, text, body, frames.FROM_WORKER))


async def start(spec: WorkerSpec, record: TextIO) -> Worker:
    """Start a worker on a loopback port."""
    worker = Worker(spec, record)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Connection(worker), "127.0.0.1", spec.port, backlog=512)
    worker.port = server.sockets[0].getsockname()[1]
    return worker


async def main() -> None:
    """Serve on loopback until standard input ends."""
    spec = msgspec.json.decode(sys.argv[1], type=WorkerSpec)
    with Path(spec.record).open("a", buffering=1) as record:
        workers = [await start(spec, record) for _ in range(spec.count)]
        print(*(worker.port for worker in workers), flush=True)
        commands = asyncio.StreamReader(limit=2**20)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        while line := await commands.readline():
            command, *numbers = line.split()
            for worker in [workers[int(number)] for number in numbers] or workers:
                obey(worker, command)


def obey(worker: Worker, command: bytes) -> None:
    """Carry out a command."""
    match command:
        case b"drain":
            worker.is_draining = True
        case b"silent":
            worker.is_silent = True
        case b"answer":
            worker.is_silent = False


if __name__ == "__main__":
    asyncio.run(main())
