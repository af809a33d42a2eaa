"""A worker process, which simulates function instances with cold starts and bounded queues.

Its argument is the share of requests that it answers with an error after they have run.

The worker serves the routers' binary frames. It prints its port to standard output once it listens, and runs
until it is killed. After SIGUSR1 it drains: it answers health checks with draining, rejects new work some
time later, and finishes accepted requests.
"""

import asyncio
import random
import signal
import sys
from collections.abc import Mapping

from function_router.net.codecs import worker_frames as frames
from soak import site

READ_BYTES = 65_536
MAX_QUEUED_REQUESTS = 24  # waiting requests per function; more are rejected
LISTEN_BACKLOG = 512
ACCEPTS_AFTER_DRAIN_S = 1.25  # from the start of a drain until new work is rejected
MIN_START_FACTOR = 0.8  # shortest cold start, relative to the mean
MAX_START_FACTOR = 1.2  # longest cold start, relative to the mean


class FunctionInstances:
    """The instances of one function on this worker.

    Attributes:
        count: The number of started instances.
        running: The number of running requests.
        waiting: The number of requests that wait for an instance with free capacity.
    """

    def __init__(self) -> None:
        self.count = 0
        self.running = 0
        self.waiting = 0
        self._starting: asyncio.Task[None] | None = None  # the latest cold start
        self._changed = asyncio.Condition()

    @property
    def start_kind(self) -> str:
        """The start kind of a request that arrives now, by whether it needs or joins a cold start."""
        if self.count:
            return frames.REUSED
        return frames.JOINED_START if self._starting else frames.STARTED

    async def ensure_count(self, count: int) -> None:
        """Start instances, one after the other, until `count` have started."""
        while self.count < count:
            if self._starting is None or self._starting.done():
                self._starting = asyncio.create_task(self._start_instance())
            await asyncio.shield(self._starting)

    async def _start_instance(self) -> None:
        await asyncio.sleep(site.COLD_START_S * random.uniform(MIN_START_FACTOR, MAX_START_FACTOR))
        async with self._changed:
            self.count += 1
            self._changed.notify_all()

    async def run(self) -> None:
        """Wait for an instance with free capacity, then run for a random time."""
        self.waiting += 1
        try:
            async with self._changed:
                await self._changed.wait_for(lambda: self.running < self.count * site.WORKER_CONCURRENCY)
                self.running += 1
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(random.expovariate(1 / site.MEAN_RUN_TIME_S))
        finally:
            async with self._changed:
                self.running -= 1
                self._changed.notify_all()


class WorkerServer:
    """Serves frames on any number of connections."""

    def __init__(self, error_share: float) -> None:
        self._error_share = error_share
        self._functions: dict[str, FunctionInstances] = {}
        self._draining_since: float | None = None  # on the clock of the event loop

    def start_draining(self) -> None:
        """Report the drain from now on, and reject new work soon."""
        self._draining_since = asyncio.get_running_loop().time()

    def _rejects_new_work(self) -> bool:
        since = self._draining_since
        return since is not None and asyncio.get_running_loop().time() - since >= ACCEPTS_AFTER_DRAIN_S

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the frames of a connection until it ends, then cancel all tasks that it started."""
        frame_reader = frames.FrameReader(frames.FROM_ROUTER)
        tasks: dict[bytes, asyncio.Task[None]] = {}
        try:
            while data := await reader.read(READ_BYTES):
                for frame in frame_reader.feed(data):
                    self._on_frame(frame, writer, tasks)
                if frame_reader.error:
                    break
        except OSError:
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    def _on_frame(
        self, frame: frames.Frame, writer: asyncio.StreamWriter, tasks: dict[bytes, asyncio.Task[None]]
    ) -> None:
        if frame.code == frames.CANCEL:
            if task := tasks.pop(frame.exchange_id, None):
                task.cancel()
            return
        if frame.code == frames.CHECK_HEALTH:
            is_ready = self._draining_since is None
            self._send_answer(frame, writer, frames.READY if is_ready else frames.DRAINING, {})
            return
        if frame.fields.get(frames.FUNCTION_FIELD, "").startswith(site.SILENT_FUNCTION_PREFIX):
            return
        serve = self._run_request if frame.code == frames.RUN else self._ensure_instances
        tasks[frame.exchange_id] = asyncio.create_task(serve(frame, writer))

    async def _run_request(self, frame: frames.Frame, writer: asyncio.StreamWriter) -> None:
        function = self._functions.setdefault(frame.fields[frames.FUNCTION_FIELD], FunctionInstances())
        in_flight = function.running + function.waiting
        if self._rejects_new_work() or function.waiting >= MAX_QUEUED_REQUESTS:
            self._send_answer(frame, writer, frames.QUEUE_FULL, {frames.IN_FLIGHT_FIELD: in_flight})
            return
        start_kind = function.start_kind
        if not function.count:
            await function.ensure_count(1)
        await function.run()
        fields: dict[str, int | str] = {
            frames.IN_FLIGHT_FIELD: in_flight,
            frames.START_KIND_FIELD: start_kind,
        }
        if random.random() < self._error_share:
            self._send_answer(frame, writer, frames.ERROR, fields)
        else:
            self._send_answer(frame, writer, frames.OK, fields, served_body(frame.exchange_id))

    async def _ensure_instances(self, frame: frames.Frame, writer: asyncio.StreamWriter) -> None:
        function = self._functions.setdefault(frame.fields[frames.FUNCTION_FIELD], FunctionInstances())
        instances = int(frame.fields[frames.INSTANCES_FIELD])
        is_rejected = self._rejects_new_work() and instances > 0
        if not is_rejected:
            await function.ensure_count(instances)
        code = frames.QUEUE_FULL if is_rejected else frames.OK
        self._send_answer(frame, writer, code, {frames.INSTANCES_FIELD: function.count})

    def _send_answer(
        self,
        frame: frames.Frame,
        writer: asyncio.StreamWriter,
        code: int,
        fields: Mapping[str, int | str],
        body: bytes = b"",
    ) -> None:
        if not writer.is_closing():
            text = ",".join(f"{name}={value}" for name, value in fields.items())
            writer.write(frames.encode(code, frame.exchange_id, text, body, frames.FROM_WORKER))


def served_body(exchange_id: bytes) -> bytes:
    """Return the body of the answer to a request, which the clients verify."""
    return b"served " + exchange_id.hex().encode()


async def main() -> None:
    """Serve on a free port of the loopback interface."""
    worker = WorkerServer(error_share=float(sys.argv[1]))
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, worker.start_draining)
    server = await asyncio.start_server(worker.serve_connection, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
