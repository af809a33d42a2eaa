"""The history of a run for the checker: its records, grouped by request and by kind."""

from collections import defaultdict
from dataclasses import dataclass, field

from function_router.net.codecs import worker_frames as frames
from soak.records import (
    AttemptSeen,
    BadClientSeen,
    ClientGone,
    ConnectionLost,
    FloodSent,
    RequestAnswered,
    RequestRecord,
    RequestSent,
    StartOrderSeen,
    WorkerAnswerSeen,
    read_records,
)
from soak.run_record import RunRecord

# The codes of worker answers that state that the request has not run.
NEVER_RAN_CODES = (frames.NOT_LOADED, frames.QUEUE_FULL, frames.EXPIRED)


@dataclass
class RequestHistory:
    """All observations of a request; `sent` is empty if no client recorded the request as sent."""

    request_id: str
    sent: list[RequestSent] = field(default_factory=list)
    answers: list[RequestAnswered] = field(default_factory=list)
    client_gone: ClientGone | None = None
    lost_connections: list[ConnectionLost] = field(default_factory=list)
    attempts: list[AttemptSeen] = field(default_factory=list)
    worker_answers: list[WorkerAnswerSeen] = field(default_factory=list)

    def add(self, record: RequestRecord) -> None:
        """Add a record about this request."""
        match record:
            case RequestSent():
                self.sent.append(record)
            case RequestAnswered():
                self.answers.append(record)
            case ClientGone():
                self.client_gone = record
            case ConnectionLost():
                self.lost_connections.append(record)
            case AttemptSeen():
                self.attempts.append(record)
            case WorkerAnswerSeen():
                self.worker_answers.append(record)

    @property
    def attempts_that_may_have_run(self) -> list[AttemptSeen]:
        """The attempts, oldest first, except those that a worker answered without running them."""
        attempts = [attempt for attempt in self.attempts if not self._has_never_run(attempt)]
        return sorted(attempts, key=lambda attempt: attempt.at)

    def _has_never_run(self, attempt: AttemptSeen) -> bool:
        return any(
            (answer.router, answer.worker) == (attempt.router, attempt.worker)
            and answer.at >= attempt.at
            and answer.code in NEVER_RAN_CODES
            for answer in self.worker_answers
        )


class RunHistory:
    """All observations of a run.

    Attributes:
        record: The run's record of its processes.
        start_orders: Start orders and probes that arrived at workers.
        bad_clients: The router's reaction to each client that violated the protocol.
        flood_sends: The requests of floods.
    """

    def __init__(self, record: RunRecord) -> None:
        """Load the records of the clients and the proxy."""
        self.record = record
        self.start_orders: list[StartOrderSeen] = []
        self.bad_clients: list[BadClientSeen] = []
        self.flood_sends: list[FloodSent] = []
        self._requests: dict[str, RequestHistory] = {}
        folder = record.folder
        for path in (folder.client_records, folder.proxy_records, *folder.flood_records):
            for item in read_records(path):
                if isinstance(item, StartOrderSeen):
                    self.start_orders.append(item)
                elif isinstance(item, BadClientSeen):
                    self.bad_clients.append(item)
                elif isinstance(item, FloodSent):
                    self.flood_sends.append(item)
                else:
                    request_id = item.request_id
                    self._requests.setdefault(request_id, RequestHistory(request_id)).add(item)

    @property
    def requests(self) -> list[RequestHistory]:
        """The requests that clients have recorded as sent."""
        return [request for request in self._requests.values() if request.sent]

    @property
    def unrecorded_requests(self) -> list[RequestHistory]:
        """The requests that no client has recorded as sent, such as those of floods."""
        return [request for request in self._requests.values() if not request.sent]

    def attempts_at(self, worker: int) -> list[AttemptSeen]:
        """Return the attempts at a worker slot, including those for requests that no client recorded."""
        return [
            attempt
            for request in self._requests.values()
            for attempt in request.attempts
            if attempt.worker == worker
        ]

    def start_orders_at(self, worker: int) -> list[StartOrderSeen]:
        """Return the start orders at a worker slot, without probes."""
        return [order for order in self.start_orders if order.worker == worker and order.instances]

    def sent_times_by_router(self) -> dict[int, list[float]]:
        """Return the sorted times at which clients sent requests, by router."""
        times: dict[int, list[float]] = defaultdict(list)
        for request in self._requests.values():
            for sent in request.sent:
                times[sent.router].append(sent.at)
        for flood in self.flood_sends:
            times[flood.router] += [flood.at] * flood.count
        return {router: sorted(sent_at) for router, sent_at in times.items()}

    def log_lines(self, router: int) -> list[str]:
        """Return the log lines of a router; empty if the router has never started."""
        path = self.record.folder.router_log(router)
        return path.read_text(errors="replace").splitlines() if path.exists() else []
