"""A router in the test's own thread, with the peers that it talks to."""

import time

from function_router.config import parse_config
from function_router.decisions.actions import EnsureInstances
from function_router.decisions.types import WorkerState
from function_router.net.clock import monotonic_ms
from function_router.net.router_process import RouterProcess
from function_router.net.worker_messages import Attempt, StartOrder
from helpers.fake_client import FUNCTION, FakeClient
from helpers.fake_endpoint_log import FakeEndpointLog
from helpers.sockets import PATIENCE_S

TURN_S = 0.005
CLASSES = [
    {"name": "view", "effect": "idempotent", "give_up": 9000.0, "promise": 8000.0},
    {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "promise": 8000.0, "dedup_window": 1500.0},
    {"name": "settle", "effect": "at_most_once", "give_up": 9000.0, "promise": 8000.0},
]
SETTINGS = {
    "classes": CLASSES,
    "tenants": [{"name": "acme"}],
    "bounds": {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": 5000.0},
    "family_info": {"may_order": True, "not_loaded": "load", "notes_peers_in_hand": True},
}

# Workers that the decision module does not know, so that only the test itself sends to them.
UNLISTED_WORKER_ID = 9
OTHER_UNLISTED_WORKER_ID = 10


def endpoint_event(sequence, *records, complete=False):
    """An event of the endpoint log."""
    return {"seq": sequence, "fleet": {"complete": complete, "members": list(records)}}


def router_config(endpoint_log, *records, **fields):
    """A configuration with this endpoint log, which knows these endpoint records from the start."""
    return {
        "listen": "127.0.0.1:0",
        "changelog": endpoint_log.host_port,
        "seed": "1",
        "known": {"seq": 1, "results": [endpoint_event(1, *records, complete=True)]},
        "settings": SETTINGS,
        **fields,
    }


class ProcessHarness:
    """A router in this thread, with its endpoint log, workers and clients; it closes them all."""

    def __init__(self, *workers, settings=None, limits=None, start=True):
        self.endpoint_log = FakeEndpointLog()
        self.clients = []
        self.log_lines = []
        self._listeners = [self.endpoint_log, *workers]
        config = router_config(
            self.endpoint_log,
            *(worker.record() for worker in workers),
            seed="7",
            settings=SETTINGS | (settings or {}),
            limits=limits or {},
        )
        self.router_process = RouterProcess(parse_config(config, {}), log=self._log)
        self.router_process.start()
        if start:
            self.run_until(self.endpoint_log.requests, "the endpoint log has a request")

    def _log(self, text, _source=""):
        self.log_lines.append(text)

    @property
    def pool(self):
        """The router's pool of workers."""
        return self.router_process.pool

    @property
    def table(self):
        """The router's table of pending requests."""
        return self.router_process.table

    def add_listener(self, listener):
        """Serve another worker or endpoint log."""
        self._listeners.append(listener)

    def add_unlisted_worker(self, worker, worker_id=UNLISTED_WORKER_ID):
        """Serve a worker that the pool knows and the decision module does not."""
        self.add_listener(worker)
        self.pool.update_endpoint(worker_id, worker.address, WorkerState.READY, 0.0)

    def connections_to(self, worker_id=UNLISTED_WORKER_ID):
        """The router's connections to a worker."""
        return self.pool.workers[worker_id].connections

    def probe(self, worker_id=UNLISTED_WORKER_ID):
        """Have the router ask a worker how many instances it has."""
        self.table.ensure_instances(EnsureInstances(worker_id, FUNCTION, 0))

    def connect_client(self):
        """A new client, which the router has not accepted yet."""
        client = FakeClient(self.router_process.address)
        self.clients.append(client)
        return client

    def only_client_connection(self):
        """The one client connection that the router has accepted."""
        connections = self.router_process.listener.connections
        self.run_until(lambda: connections, "the connection is accepted")
        [connection] = connections
        return connection

    def run_request(self, worker):
        """Send a request from a new client and wait until the worker has it; return the client."""
        client = self.connect_client()
        client.send_request()
        self.run_until(lambda: worker.requests, "it runs")
        return client

    def run_attempt(self, worker, results, **options):
        """Send an attempt to a worker and wait until the worker has it."""
        request_count = len(worker.requests)
        self.pool.send(attempt(worker.worker_id, results, **options))
        self.run_until(lambda: len(worker.requests) > request_count, "it runs")

    def run_until(self, condition, description="it happens"):
        """Run turns of the loop and serve the peers until a condition holds."""
        end_s = time.monotonic() + PATIENCE_S
        while not condition():
            assert time.monotonic() < end_s, f"timed out waiting until {description}"
            self.router_process.loop.run_once(TURN_S)
            for peer in [*self._listeners, *self.clients]:
                peer.receive()

    def round_trip(self, client):
        """Wait for a status answer: all that was on its way before has been read."""
        seqid = 1000 + len(client.answers)
        client.request_status(seqid)
        self.run_until(lambda: seqid in client.answer_kinds(), "the status comes")

    def close(self):
        """Close the router and its peers."""
        self.router_process.close()
        for peer in [*self._listeners, *self.clients]:
            peer.close()


def _recorder(results):
    """A callback that keeps each result, as a close reason or an outcome, and whether a byte was sent."""

    def on_done(exchange, result):
        results.append((getattr(result, "outcome", result), exchange.is_started))

    return on_done


def attempt(worker_id, results, exchange_id=b"12345678", body=b"", within_ms=8000.0):
    """An attempt whose result is added to a list."""
    return Attempt(
        worker_id=worker_id,
        on_done=_recorder(results),
        exchange_id=exchange_id,
        class_name="view",
        function=FUNCTION,
        body=body,
        deadline_ms=monotonic_ms() + within_ms,
    )


def start_order(worker_id, results, instances=1):
    """A start order whose result is added to a list."""
    return StartOrder(worker_id=worker_id, on_done=_recorder(results), function=FUNCTION, instances=instances)
