"""The scorers: who they are, the connections to them, and the attempts and orders on these."""

import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from function_router.config import Address, TransportSettings
from function_router.decisions.types import StartKind, WorkerState
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames as frames
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.timer_wheel import Timer
from function_router.net.worker_messages import Answer, Attempt, Exchange, Result, StartOrder

QUIET_MS = 1_000.0  # a link that owes an answer and says nothing for this long gets nothing new
STALL_MS = 250.0  # half a frame that goes no further for this long was cut off: nothing after it can be read
IDLE_PART = 0.7  # of the keep-alive: closed here before the scorer does, so that no send crosses a close
# Something on the way may forget links that were idle for far less than the keep-alive: a call that is reset
# at once on such a link says how long is too long. The trust grows again while nothing of the kind happens.
STALE_SIGN_MS = 20.0  # a reset so soon after the first bytes was none by the call
MIN_TRUST_MS, TRUST_PART, TRUST_GROWTH = 50.0, 0.7, 1.02  # the last at each look, four times a second
MAX_CONNECTIONS = 6  # to one scorer
CONNECTIONS_BEFORE_SHARING = (
    4  # up to so many, a call finds a link of its own: what spoils one ends all that is on it
)
MAX_SPENT_IDS = 1_024  # ids remembered on one link, as late answers or second copies may still come
SPREAD_PART = 0.7  # of the descriptors for links: the rest is kept for calls that find none
MAX_PENDING_BYTES = 256 * 1024  # unwritten on one link: a scorer that does not read gets no more

_START_KINDS = {
    "reused": StartKind.WARM,
    "init": StartKind.COLD_START,
    "shared_init": StartKind.JOINED_COLD_START,
    "init_error": StartKind.START_FAILED,
}


def _number(text: str | None) -> int:
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 10 else 0


class WorkerConnection:
    """One connection to a scorer, and what is open on it."""

    def __init__(self, pool: "WorkerPool", worker: "PooledWorker") -> None:
        self.pool, self.worker = pool, worker
        self.connection: Connection | None = None
        self.exchanges: dict[bytes, Exchange] = {}
        self.is_retired = False  # gets nothing new, and is closed once empty
        self._reader = frames.FrameReader()
        self._spent: dict[bytes, None] = {}  # ids that may not be used again here
        self._stall: Timer | None = None
        self._owed_ms = 0.0  # since when something is open
        self._gap_ms = 0.0  # for how long it had been idle by then
        self._last_gave_up_ms = 0.0

    @property
    def is_connected(self) -> bool:
        return self.connection is not None and self.connection.is_connected and not self.connection.is_closed

    def quiet(self) -> bool:
        """Guards against a machine that vanished: its connections stay open and say nothing."""
        since = max(self.connection.last_received_ms, self._owed_ms)
        return bool(self.exchanges) and monotonic_ms() - since > QUIET_MS

    def given_up_unheard(self) -> bool:
        """All that was open was given up, and the scorer had long been silent by then."""
        return self._last_gave_up_ms - max(self.connection.last_received_ms, self._owed_ms) > QUIET_MS

    def takes(self, id: bytes) -> bool:
        room = len(self.exchanges) < self.pool.wire.max_exchanges_per_connection
        fresh = id not in self.exchanges and id not in self._spent
        return room and fresh and self.connection.pending_bytes < MAX_PENDING_BYTES

    def idle_ms(self) -> float:
        return 0.0 if self.exchanges else monotonic_ms() - self.connection.last_used_ms

    def stale_after_ms(self, end: CloseReason) -> float | None:
        """How long it was idle, where it broke as soon as it was used again."""
        broke = end in (CloseReason.RESET_BY_PEER, CloseReason.CLOSED_BY_PEER) and self.exchanges
        return self._gap_ms if broke and monotonic_ms() - self._owed_ms < STALE_SIGN_MS else None

    def start(self, stream: Exchange) -> None:
        if not self.exchanges:
            self._gap_ms, self._owed_ms = self.idle_ms(), monotonic_ms()
        self.exchanges[stream.exchange_id] = stream
        stream.connection_wait_ms = monotonic_ms() - stream.created_at_ms
        stream.connection, stream.pending_write = self, self.connection.write(stream.encode())

    def withdraw(self, stream: Exchange) -> None:
        """Take a stream off the link, telling the scorer where it may have heard of it."""
        self.exchanges.pop(stream.exchange_id, None)
        if self.connection.cancel_write(stream.pending_write):
            return
        self._last_gave_up_ms = monotonic_ms()
        if isinstance(stream, Attempt):
            self.connection.write(frames.give_up(stream.exchange_id))
        self._spend(stream.exchange_id)

    def _spend(self, id: bytes) -> None:
        self._spent[id] = None
        if len(self._spent) > MAX_SPENT_IDS:
            del self._spent[next(iter(self._spent))]

    def unwritten(self) -> list[Exchange]:
        return [stream for stream in self.exchanges.values() if not stream.is_started]

    # --- from the connection ----------------------------------------------------------------

    def on_connected(self) -> None:
        self.pool.on_worker_connected(self)

    def on_data(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            # An answer to what is no longer open here comes too late and says nothing.
            if (stream := self.exchanges.pop(frame.id, None)) is not None:
                if frame.code != frames.OK:  # it may be tried again here, and a second copy must not end that
                    self._spend(frame.id)
                self.pool.answered(stream, frame)
        if self._reader.fault:
            self.pool.log(f"scorer {self.worker.id}: bad frame: {self._reader.fault}")
            self.connection.close(CloseReason.PROTOCOL_ERROR)
        elif self._reader.waits and self._stall is None:
            self._stall = self.pool.loop.timers.call_later(STALL_MS, self._stalled)

    def _stalled(self) -> None:
        self._stall = None
        if not self._reader.waits or self.connection.is_closed:
            return
        left = STALL_MS - (monotonic_ms() - self.connection.last_received_ms)
        if left > 0:
            self._stall = self.pool.loop.timers.call_later(left, self._stalled)
        else:
            self.pool.log(f"scorer {self.worker.id}: a frame was cut off")
            self.connection.close(CloseReason.READ_TIMEOUT)

    def on_flushed(self) -> None:
        pass

    def on_writable(self) -> None:
        """The scorer reads again: what waited for that is asked once more whether it may begin."""
        for stream in self.unwritten():
            if not stream.may_start():
                self.pool.cancel_if_unsent(stream)

    def on_closed(self, end: CloseReason) -> None:
        self.pool.on_worker_closed(self, end)


@dataclass(slots=True, eq=False)
class PooledWorker:
    """A scorer by its number, never by its address alone: a new one may have a gone one's."""

    id: int
    address: Address
    state: WorkerState
    started_at_ms: float
    connections: list[WorkerConnection] = field(default_factory=list)
    waiting: deque[Exchange] = field(default_factory=deque)

    def link_for(self, id: bytes, trust_ms: float) -> WorkerConnection | None:
        able = [
            link for link in self.connections if link.is_connected and not link.is_retired and link.takes(id)
        ]
        able = [link for link in able if link.idle_ms() <= trust_ms]
        lively = [link for link in able if not link.quiet()]
        if not lively and len(self.current()) >= MAX_CONNECTIONS:
            lively = able
        # Of links that are as empty, the one used last: one long idle may be about to be closed.
        best = min(
            lively, key=lambda link: (len(link.exchanges), -link.connection.last_used_ms), default=None
        )
        if best and not best.exchanges and best.connection.peek() == b"":
            # Guards calls that may not run twice: what is written to an ended connection may have run.
            best.connection.close(CloseReason.CLOSED_BY_PEER)
            return self.link_for(id, trust_ms)
        return best

    def crowded(self) -> bool:
        """Whether the next call would share a link, while there may be more of them."""
        current = self.current()
        return len(current) < CONNECTIONS_BEFORE_SHARING and all(
            link.is_connected and link.exchanges for link in current
        )

    def current(self) -> list[WorkerConnection]:
        """Links to the process that there is now: not those that only see an older one's calls out."""
        return [link for link in self.connections if not link.is_retired]

    def connecting(self) -> int:
        return sum(not link.is_connected for link in self.current())


class WorkerPool:
    """Owns the scorers and their links, within a share of the descriptors."""

    def __init__(
        self, loop: EventLoop, wire: TransportSettings, max_connections: int, seed: int, log: RateLimitedLog
    ) -> None:
        self.loop, self.wire, self.log = loop, wire, log
        self.workers: dict[int, PooledWorker] = {}
        self.counters: Counter[str] = Counter()  # what was sent and how connections ended, for the log
        self._max_connections, self._links = max_connections, 0
        self._max_trust_ms = max(MIN_TRUST_MS, IDLE_PART * wire.keepalive_ms)
        self._trust_ms = self._max_trust_ms  # a link idle for longer is not used again
        self._order_ids = itertools.count(random.Random(seed).getrandbits(62))

    # --- the roster ---------------------------------------------------------------------------

    def update_endpoint(
        self, id: int, address: Address | None, state: WorkerState, up_since_ms: float
    ) -> None:
        worker = self.workers.get(id)
        if worker is None:
            if address is not None and state is not WorkerState.REMOVED:
                self.workers[id] = PooledWorker(id, address, state, up_since_ms)
            return
        moved = address is not None and address != worker.address
        renewed = moved or up_since_ms > worker.started_at_ms
        if renewed:
            self._retire(worker)
        worker.address = address or worker.address
        worker.state, worker.started_at_ms = state, max(up_since_ms, worker.started_at_ms)
        if state is not WorkerState.READY:
            self._pull_back(worker)
        if renewed and worker.waiting:  # for a dial to the process before
            self._connect_for_waiting(worker)
        if state is WorkerState.REMOVED:
            self._retire(worker)
            self._drop_if_empty(worker)

    def workers_at(self, address: Address) -> list[int]:
        """The scorers at an address that are not gone."""
        scorers = self.workers.values()
        return [s.id for s in scorers if s.address == address and s.state is not WorkerState.REMOVED]

    def remove_all_except(self, named: set[int]) -> None:
        """A complete list was told: whoever it does not name is gone."""
        for id in [id for id in self.workers if id not in named]:
            self.update_endpoint(id, None, WorkerState.REMOVED, 0.0)

    def _pull_back(self, worker: PooledWorker) -> None:
        """Nothing new may leave for it now: what is unwritten or waits for a dial comes back."""
        unwritten = [stream for link in worker.connections for stream in link.unwritten()]
        for stream in [*worker.waiting, *unwritten]:
            if stream.is_new_work or worker.state is WorkerState.REMOVED:
                self._take_off(stream)
                self._end(stream, CloseReason.DRAINING)

    def _retire(self, worker: PooledWorker) -> None:
        for link in list(worker.connections):
            link.is_retired = True
            if link.is_connected and not link.exchanges:
                link.connection.close(CloseReason.ENDPOINT_REPLACED)

    def _drop_if_empty(self, worker: PooledWorker) -> None:
        if worker.state is WorkerState.REMOVED and not worker.connections and not worker.waiting:
            self.workers.pop(worker.id, None)

    # --- sending ------------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        left = attempt.deadline_ms - monotonic_ms()
        if left <= 0:
            self._end(attempt, CloseReason.NOT_SENT)
            return
        self.counters["calls"] += 1
        attempt.timer = self.loop.timers.call_later(left, lambda: self._out_of_time(attempt))
        self._place(attempt)

    def ensure_instances(self, order: StartOrder) -> None:
        self.counters["loads" if order.instances else "questions"] += 1
        order.exchange_id = next(self._order_ids).to_bytes(8, "big")
        order.timer = self.loop.timers.call_later(
            self.wire.start_order_timeout_ms, lambda: self._out_of_time(order)
        )
        self._place(order)

    def _place(self, stream: Exchange) -> None:
        if stream.is_done:  # taken back by what another one's placing brought
            return
        worker = self.workers.get(stream.worker_id)
        closed = worker is None or worker.state is WorkerState.REMOVED
        if closed or (stream.is_new_work and worker.state is not WorkerState.READY):
            self._end(stream, CloseReason.NOT_SENT)
        elif link := worker.link_for(stream.exchange_id, self._trust_ms):
            if not stream.may_start():
                self._end(stream, CloseReason.NOT_SENT)
                return
            shared = any(isinstance(other, Attempt) for other in link.exchanges.values())
            link.start(stream)
            wanted = shared or self.wire.may_preconnect
            if wanted and worker.crowded() and self._links < SPREAD_PART * self._max_connections:
                self._connect_one(worker)
        else:
            worker.waiting.append(stream)
            self._connect_for_waiting(worker)

    def _connect_for_waiting(self, worker: PooledWorker) -> None:
        """As many dials as the waiting streams need; they wait for no longer than a dial takes."""
        while worker.connecting() * self.wire.max_exchanges_per_connection < len(worker.waiting):
            room = self._links < self._max_connections or self._make_room()
            if not room or len(worker.current()) >= MAX_CONNECTIONS:
                failed = CloseReason.NO_FILE_DESCRIPTOR
            else:
                failed = self._connect_one(worker)
            if failed:
                if not worker.connecting():
                    self._fail_waiting(worker, failed)
                return

    def _make_room(self) -> bool:
        """Close the link that has been idle for longest. Guards scorers that are called against those that
        were: with more scorers than links, all would else be taken by the first."""
        links = [link for worker in self.workers.values() for link in worker.connections]
        idle = [link for link in links if link.is_connected and not link.exchanges]
        longest = max(idle, key=WorkerConnection.idle_ms, default=None)
        if longest is not None:
            longest.connection.close(CloseReason.IDLE)
        return longest is not None

    def _connect_one(self, worker: PooledWorker) -> CloseReason | None:
        link = WorkerConnection(self, worker)
        made = Connection.connect(self.loop, worker.address, link, self.wire.connect_timeout_ms)
        if isinstance(made, CloseReason):
            return made
        link.connection = made
        worker.connections.append(link)
        self._links += 1
        self.counters["dials"] += 1
        return None

    def _fail_waiting(self, worker: PooledWorker, end: CloseReason) -> None:
        waiting, worker.waiting = worker.waiting, deque()
        for stream in waiting:
            self._end(stream, end)

    def on_worker_connected(self, link: WorkerConnection) -> None:
        if link.is_retired:  # its scorer went, moved or started anew while it was dialled
            link.connection.close(CloseReason.ENDPOINT_REPLACED)
            return
        waiting, link.worker.waiting = link.worker.waiting, deque()
        for stream in waiting:
            self._place(stream)

    # --- ends ---------------------------------------------------------------------------------

    def on_worker_closed(self, link: WorkerConnection, end: CloseReason) -> None:
        worker = link.worker
        worker.connections.remove(link)
        self._links -= 1
        self.counters[f"ended {end.name}"] += 1
        if (gap := link.stale_after_ms(end)) is not None and gap >= MIN_TRUST_MS:
            self._trust_ms = min(self._trust_ms, max(MIN_TRUST_MS, TRUST_PART * gap))
        streams, link.exchanges = list(link.exchanges.values()), {}
        for stream in streams:
            if stream.is_started:
                self._end(stream, end)
            else:  # the scorer saw none of it: another connection may serve
                stream.connection = stream.pending_write = None
                self._place(stream)
        if not link.connection.is_connected and not worker.connecting():
            self._fail_waiting(worker, end)
        self._drop_if_empty(worker)

    def answered(self, stream: Exchange, frame: frames.Frame) -> None:
        fields = frame.fields
        warmth = _START_KINDS.get(fields.get("res", ""), StartKind.UNKNOWN)
        crowd, copies = _number(fields.get("company")), _number(fields.get("slots_up"))
        self._end(stream, Answer(stream.outcome_of(frame.code), frame.body, warmth, crowd, copies))

    def cancel(self, stream: Exchange) -> None:
        if not stream.is_done:
            self._take_off(stream)
            self._end(stream, CloseReason.CANCELLED)

    def cancel_if_unsent(self, stream: Exchange) -> None:
        """Its request is over: it goes no further, unless its scorer may have heard of it."""
        if not stream.is_done and not stream.is_started:
            self._take_off(stream)
            self._end(stream, CloseReason.NOT_SENT)

    def _out_of_time(self, stream: Exchange) -> None:
        begun = stream.is_started
        self._take_off(stream)
        self._end(stream, CloseReason.DEADLINE_EXCEEDED if begun else CloseReason.NOT_SENT)

    def _take_off(self, stream: Exchange) -> None:
        if stream.connection is not None:
            stream.connection.withdraw(stream)
        elif (worker := self.workers.get(stream.worker_id)) and stream in worker.waiting:
            worker.waiting.remove(stream)

    def _end(self, stream: Exchange, result: Result) -> None:
        if stream.is_done:
            return
        stream.is_done = True
        if stream.timer:
            stream.timer.cancel()
        link, stream.connection = stream.connection, None
        stream.finish(result)
        if link and link.is_retired and not link.exchanges and link.is_connected:
            link.connection.close(CloseReason.ENDPOINT_REPLACED)

    # --- now and then -------------------------------------------------------------------------

    def check_timeouts(self) -> None:
        """Close what has been idle, and what has owed an answer in silence to the last."""
        self._trust_ms = min(self._max_trust_ms, TRUST_GROWTH * self._trust_ms)
        for worker in list(self.workers.values()):
            for link in list(worker.connections):
                if not link.is_connected or link.exchanges:
                    continue
                silent = link.given_up_unheard()
                if silent or link.idle_ms() > self._trust_ms:
                    link.connection.close(CloseReason.READ_TIMEOUT if silent else CloseReason.IDLE)

    def close(self) -> None:
        for worker in list(self.workers.values()):
            for link in list(worker.connections):
                if link.connection:
                    link.connection.close(CloseReason.SHUTDOWN)
