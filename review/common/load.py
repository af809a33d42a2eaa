"""Usual clients: requests at a steady rate, each judged by the rule on answers."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from review.common import site, wire

LATE_S = 0.5  # an answer later than this after the request's time counts as lost
SLACK_S = 0.05  # of the observers
RESEND_S = 0.05  # a request that crosses the end of a resting connection is sent again within this time
MAX_LAG_S = 0.15  # a client that is late by more than this can't judge anybody
MAX_WAITING = 16  # requests of one connection; the limit is 32
IDLE_S = 2.0  # clients close a connection that was idle for longer; the limit is 4 s


@dataclass(slots=True)
class Sent:
    """A request and its fate."""

    call: str
    class_name: str
    router: str
    at: float
    ttl_s: float
    fate: str = "unanswered"
    took_s: float = 0.0


@dataclass
class Load:
    """Sends requests to routers, and keeps what became of them."""

    routers: Sequence[site.Router]
    functions: Sequence[str]
    rate: float
    record: site.Record
    shares: tuple[float, ...] = (0.6, 0.3, 0.1)
    requests: list[Sent] = field(default_factory=list)
    open_to: set[str] = field(default_factory=set)
    max_lag_s: float = 0.0
    _clients: dict[str, list[tuple[site.Client, float]]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Send requests for a time, then return; answers may still be due."""
        start = time.monotonic()
        count = 0
        while (elapsed := time.monotonic() - start) < seconds:
            targets = [router for router in self.routers if router.name in self.open_to]
            while count < elapsed * self.rate:
                count += 1
                if targets:
                    self._begin(random.choice(targets))
            before = time.monotonic()
            await asyncio.sleep(0.002)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - before - 0.002)

    async def finish(self) -> None:
        """Wait until every request has been answered or lost."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        for clients in self._clients.values():
            for client, _ in clients:
                client.close()

    def lost(self) -> list[Sent]:
        """Return the requests that the rule on answers counts as lost."""
        bad = []
        for sent in self.requests:
            is_late = sent.took_s > sent.ttl_s + LATE_S + SLACK_S
            if sent.fate in ("unanswered", "closed", "second answer", "foreign body") or is_late:
                bad.append(sent)
        return bad

    def write_record(self) -> None:
        """Write a line for each request."""
        for sent in self.requests:
            text = f"{sent.call} {sent.class_name} to {sent.router}, time {sent.ttl_s:.2f} s"
            self.record(f"request {text}: {sent.fate} after {sent.took_s:.3f} s", sent.at)
        for fate, count in Counter(sent.fate for sent in self.requests).items():
            self.record(f"requests {fate}: {count}")

    def _begin(self, router: site.Router) -> None:
        task = asyncio.create_task(self._request(router))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _client(self, router: site.Router) -> site.Client:
        now = time.monotonic()
        kept = []
        for client, used_at in self._clients.get(router.name, []):
            if client.is_ended or (not client.waiting and now - used_at > IDLE_S):
                client.close()
            else:
                kept.append((client, used_at))
        self._clients[router.name] = kept
        for index, (client, _) in enumerate(kept):
            if len(client.waiting) < MAX_WAITING:
                kept[index] = (client, now)
                return client
        client = await site.Client.open(router.port)
        self._clients[router.name].append((client, now))
        return client

    async def _request(self, router: site.Router) -> None:
        class_name = random.choices([each["name"] for each in site.CLASSES], self.shares)[0]
        [give_up] = [each["give_up"] for each in site.CLASSES if each["name"] == class_name]
        ttl_ms = int(give_up * random.uniform(0.5, 1.0))
        call = f"{random.getrandbits(64):016x}"
        fields = site.fields_of(call, class_name, random.choice(self.functions), ttl_ms)
        try:
            client = await self._client(router)
        except OSError:
            return  # never sent
        sent = Sent(call, class_name, router.name, time.monotonic(), ttl_ms / 1000)
        self.requests.append(sent)
        was_resting = not client.waiting
        try:
            await self._answered(client, sent, fields)
        except ConnectionError:
            sent.took_s = time.monotonic() - sent.at
            sent.fate = "closed"
            if was_resting and sent.took_s <= RESEND_S:
                await self._send_again(router, sent, fields)

    async def _send_again(self, router: site.Router, sent: Sent, fields: dict[str, str]) -> None:
        try:
            client = await site.Client.open(router.port)
            await self._answered(client, sent, fields)
        except OSError:
            return
        client.close()

    async def _answered(self, client: site.Client, sent: Sent, fields: dict[str, str]) -> None:
        future = client.call(fields, random.randbytes(200))
        try:
            answer = await asyncio.wait_for(future, sent.ttl_s + 3.0)
        except TimeoutError:
            sent.fate = "unanswered"
            sent.took_s = time.monotonic() - sent.at
            return
        sent.took_s = time.monotonic() - sent.at
        sent.fate = answer.kind
        if answer.kind == wire.SERVED and answer.body != b"ran " + sent.call.encode():
            sent.fate = "foreign body"
