"""All clients of a run, as one process: open-loop requests, cancellations, early closes, and bad clients.

Commands come as JSON lines on standard input; it ends with the input, once no request is open.
"""

import asyncio
import random
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from function_router.decisions.types import RetrySafety
from soak import site
from soak.bad_clients import run_bad_client
from soak.commands import ClientsCommand, read_commands
from soak.records import AnswerKind, ClientGone, ConnectionLost, Recorder, RequestAnswered, RequestSent
from soak.thrift_client import (
    ClientAnswer,
    ConnectionEndedError,
    ThriftConnection,
    encode_cancel,
    encode_request,
)
from soak.worker import served_body

MAX_OPEN_REQUESTS = 32
IDLE_CLOSE_S = 4.0
NEW_CONNECTION_SHARE = 0.1
KEPT_SHARE = 0.5  # of those: used again later; the others are held and never used again
CANCEL_SHARE = 0.05
CLOSE_SHARE = 0.03
MIN_TIMEOUT_SHARE = 0.5
CROSSING_S = 0.05  # a request that crosses a close so closely is sent again once
PATIENCE_S = 1.0  # after its time, until a request without an answer is given up
MAX_BODY_BYTES = 2_000
SETTLE_S = 0.1  # for the tasks of closed connections to end


class Clients:
    """Open-loop arrivals over all routers that are up."""

    def __init__(self, recorder: Recorder, function_count: int, seed: int) -> None:
        self._recorder = recorder
        self._rng = random.Random(seed)
        self._functions = [f"{self._rng.getrandbits(64):016x}" for _ in range(function_count)]
        self._weights = [1 / (rank + 1) for rank in range(function_count)]
        self._command = ClientsCommand([], 0.0)
        self._idle: dict[int, list[ThriftConnection]] = {}  # by port
        self._held: list[ThriftConnection] = []  # never used again, and never closed
        self._tasks: set[asyncio.Task[None]] = set()

    def apply(self, command: ClientsCommand) -> None:
        """Follow a command from now on."""
        self._command = command

    async def arrive(self) -> None:
        """Start requests at random times until cancelled."""
        while True:
            rate = self._command.requests_per_s
            await asyncio.sleep(self._rng.expovariate(rate) if rate else 0.05)
            routers = [router for router, port in enumerate(self._command.ports) if port]
            if rate and routers:
                self._spawn(self._request(self._rng.choice(routers)))

    async def misbehave(self) -> None:
        """Start bad clients at random times until cancelled."""
        while True:
            rate = self._command.bad_clients_per_s
            await asyncio.sleep(self._rng.expovariate(rate) if rate else 0.05)
            routers = [router for router, port in enumerate(self._command.ports) if port]
            if rate and routers:
                router = self._rng.choice(routers)
                port = self._command.ports[router]
                self._spawn(run_bad_client(router, port, self._recorder, self._rng))

    async def finish(self) -> None:
        """Wait for all open requests."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        for connection in [*self._held, *(each for idle in self._idle.values() for each in idle)]:
            connection.close()
        await asyncio.sleep(SETTLE_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, router: int) -> None:
        """One request, which is sent again once where it crosses the close of its connection."""
        class_name = self._rng.choices(list(site.CLASS_SHARES), list(site.CLASS_SHARES.values()))[0]
        timeout_ms = int(site.MAX_TIMEOUT_MS * self._rng.uniform(MIN_TIMEOUT_SHARE, 1.0))
        request_id = f"{self._rng.getrandbits(64):016x}"
        fields = {
            "op": class_name,
            "call": request_id,
            "ttl": str(timeout_ms),
            "org": self._rng.choice(site.TENANTS),
            "row": self._rng.choices(self._functions, self._weights)[0],
            "props": f"memory_mb:128;lanes:{site.WORKER_CONCURRENCY}",
        }
        if site.RETRY_SAFETY_BY_CLASS[class_name] is RetrySafety.IDEMPOTENCY_KEY:
            fields["dedupe"] = request_id * 2
        is_crossing = await self._send(router, request_id, class_name, timeout_ms / 1000, fields)
        if is_crossing and self._command.ports[router]:
            await self._send(router, request_id, class_name, timeout_ms / 1000, fields, is_repeat=True)

    async def _send(
        self,
        router: int,
        request_id: str,
        class_name: str,
        timeout_s: float,
        fields: dict[str, str],
        *,
        is_repeat: bool = False,
    ) -> bool:
        """Send a request and wait; True where its connection closed just as it was sent."""
        port = self._command.ports[router]
        is_new = is_repeat or self._rng.random() < NEW_CONNECTION_SHARE
        closes_early = self._rng.random() < CLOSE_SHARE
        try:
            connection = await self._connection(port, is_new=is_new, is_private=closes_early)
        except OSError:
            return False  # never sent
        seqid = connection.take_seqid()
        answer = connection.expect_answer(seqid)
        was_alone = len(connection.pending) == 1
        body = self._rng.randbytes(self._rng.randrange(MAX_BODY_BYTES))
        connection.send(encode_request(seqid, fields, body))
        sent_at = time.monotonic()
        self._recorder.add(RequestSent(request_id, router, class_name, sent_at, timeout_s))
        try:
            if closes_early or self._rng.random() < CANCEL_SHARE:
                await self._leave_early(connection, seqid, answer, request_id, timeout_s, closes=closes_early)
            else:
                await self._await_answer(answer, request_id, timeout_s)
        except ConnectionEndedError as error:
            is_crossing = was_alone and not is_repeat and error.at - sent_at <= CROSSING_S
            self._recorder.add(ConnectionLost(request_id, error.at, error.cause, is_crossing))
            return is_crossing
        finally:
            connection.pending.pop(seqid, None)
            if closes_early:
                connection.close()
        if connection.surplus_answers:
            self._recorder.add(RequestAnswered(request_id, time.monotonic(), AnswerKind.SURPLUS))
            connection.surplus_answers = 0
        return False

    async def _await_answer(
        self, answer: asyncio.Future[ClientAnswer], request_id: str, timeout_s: float
    ) -> None:
        try:
            found = await asyncio.wait_for(answer, timeout_s + PATIENCE_S)
        except TimeoutError:
            return
        is_genuine = found.kind is not AnswerKind.SERVED or found.body == served_body(
            bytes.fromhex(request_id)
        )
        self._recorder.add(RequestAnswered(request_id, found.at, found.kind, is_genuine))

    async def _leave_early(
        self,
        connection: ThriftConnection,
        seqid: int,
        answer: asyncio.Future[ClientAnswer],
        request_id: str,
        timeout_s: float,
        *,
        closes: bool,
    ) -> None:
        """Cancel the request, or close its connection, after a part of its time."""
        done, _ = await asyncio.wait([answer], timeout=timeout_s * self._rng.uniform(0.0, 0.5) ** 2)
        if done:
            await self._await_answer(answer, request_id, timeout_s)
        elif closes:
            connection.pending.pop(seqid, None)
            connection.close()
            self._recorder.add(ClientGone(request_id, time.monotonic()))
        else:
            connection.send(encode_cancel(seqid))
            self._recorder.add(ClientGone(request_id, time.monotonic()))
            await asyncio.wait([answer], timeout=PATIENCE_S)  # an answer that crossed it is no surplus

    async def _connection(self, port: int, *, is_new: bool, is_private: bool) -> ThriftConnection:
        """A connection for one request; a private one is shared with no other."""
        connections = self._idle.setdefault(port, [])
        now = time.monotonic()
        for connection in list(connections):
            is_stale = not connection.pending and now - connection.last_used > IDLE_CLOSE_S
            if connection.end_cause is not None or is_stale:
                connections.remove(connection)
                connection.close()
        usable = [each for each in connections if len(each.pending) < MAX_OPEN_REQUESTS]
        if usable and not (is_new or is_private):
            return self._rng.choice(usable)
        connection = await ThriftConnection.open(port)
        if not is_private and (not is_new or self._rng.random() < KEPT_SHARE):
            connections.append(connection)
        elif not is_private:
            self._held.append(connection)
        return connection


async def main(function_count: int, seed: int, record_path: Path) -> None:
    """Follow the commands until standard input ends, then wait for the open requests."""
    recorder = Recorder(record_path)
    clients = Clients(recorder, function_count, seed)
    arrivals = [asyncio.create_task(clients.arrive()), asyncio.create_task(clients.misbehave())]
    async for command in read_commands(ClientsCommand):
        clients.apply(command)
    for task in arrivals:
        task.cancel()
    await clients.finish()
    recorder.close()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])))
