"""A router process in the test's own thread, with the peers that it talks to."""

import time

from function_router.config import parse_config
from function_router.decisions.actions import EnsureInstances
from function_router.decisions.types import WorkerState
from function_router.net.router_process import RouterProcess
from helpers.client_messages import FUNCTION
from helpers.configuration import SETTINGS, router_config
from helpers.exchanges import attempt
from helpers.fake_client import FakeClient
from helpers.fake_endpoint_log import FakeEndpointLog
from helpers.sockets import WAIT_TIMEOUT_S

MAX_TURN_WAIT_S = 0.005  # for a socket or a timer, before the peers are served again
SEED = "7"

# Workers that the decision module does not know, so that only the test itself sends to them.
UNLISTED_WORKER_ID = 9
OTHER_UNLISTED_WORKER_ID = 10

FIRST_ROUND_TRIP_SEQID = 1000  # of a status request; above those of the tests' own requests


class ProcessHarness:
    """A router in this thread, with its endpoint log, workers and clients; `close` closes them all.

    The router and its peers run only in `run_until` and the methods that call it, which run turns of the
    event loop and let the peers receive in between. So a test decides in which order things happen.

    Attributes:
        router_process: The router under test.
        endpoint_log: The endpoint log that it follows.
        clients: All clients that have connected, in their order.
        log_lines: The lines that the router has logged.
    """

    def __init__(self, *workers, settings=None, limits=None, wait_for_log_request=True):
        """Start a router that knows these workers.

        Args:
            workers: Fake workers, which the router's endpoint list contains.
            settings: Keys of the settings that replace those of `SETTINGS`.
            limits: The limits of the configuration.
            wait_for_log_request: Whether to run the router until it has requested the endpoint log.
        """
        self.endpoint_log = FakeEndpointLog()
        self.clients = []
        self.log_lines = []
        self._listeners = [self.endpoint_log, *workers]
        config = router_config(
            self.endpoint_log,
            *(worker.record() for worker in workers),
            seed=SEED,
            settings=SETTINGS | (settings or {}),
            limits=limits or {},
        )
        self.router_process = RouterProcess(parse_config(config, {}), log=self._log)
        self.router_process.start()
        if wait_for_log_request:
            self.run_until(self.endpoint_log.requests, "the endpoint log has a request")

    def _log(self, text, _source=""):
        self.log_lines.append(text)

    # --- parts of the router ----------------------------------------------------------------------

    @property
    def pool(self):
        """The router's pool of workers."""
        return self.router_process.pool

    @property
    def table(self):
        """The router's table of pending requests."""
        return self.router_process.table

    def connections_to(self, worker_id=UNLISTED_WORKER_ID):
        """The router's connections to a worker."""
        return list(self.pool.workers[worker_id].connections)

    def only_client_connection(self):
        """The one client connection that the router has accepted."""
        connections = self.router_process.listener.connections
        self.run_until(lambda: connections, "the connection is accepted")
        [connection] = connections
        return connection

    # --- peers ------------------------------------------------------------------------------------

    def add_listener(self, listener):
        """Serve another worker or endpoint log."""
        self._listeners.append(listener)

    def add_unlisted_worker(self, worker, worker_id=UNLISTED_WORKER_ID):
        """Serve a worker that the pool knows and the decision module does not."""
        self.add_listener(worker)
        self.pool.update_endpoint(worker_id, worker.address, WorkerState.READY, 0.0)

    def connect_client(self):
        """A new client, which the router has not accepted yet."""
        client = FakeClient(self.router_process.address)
        self.clients.append(client)
        return client

    def connect_accepted_client(self):
        """A new client that the router has accepted: it has the answer to a status request."""
        client = self.connect_client()
        self.round_trip(client)
        return client

    # --- what happens -----------------------------------------------------------------------------

    def run_until(self, condition, description="it happens"):
        """Run turns of the loop and let the peers receive until a condition holds."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_s, f"timed out waiting until {description}"
            self.router_process.loop.run_once(MAX_TURN_WAIT_S)
            for peer in self._peers():
                peer.receive()

    def round_trip(self, client):
        """Wait for the answer to a status request: the router has read all that the client sent before it."""
        seqid = FIRST_ROUND_TRIP_SEQID + len(client.answers)
        client.request_status(seqid)
        self.run_until(lambda: seqid in client.answer_kinds(), "the status comes")

    def deliver_request(self, worker):
        """Send a request from a new client and wait until the worker has it; return the client."""
        client = self.connect_client()
        client.send_request()
        self.run_until(lambda: worker.requests, "it runs")
        return client

    def deliver_attempt(self, worker, results, **options):
        """Send an attempt to a worker and wait until the worker has it.

        Args:
            worker: The fake worker.
            results: The list that the attempt's result is added to.
            options: Further arguments of `attempt`.
        """
        request_count = len(worker.requests)
        self.pool.send(attempt(worker.worker_id, results, **options))
        self.run_until(lambda: len(worker.requests) > request_count, "it runs")

    def probe(self, worker_id=UNLISTED_WORKER_ID):
        """Have the router ask a worker how many instances it has."""
        self.table.ensure_instances(EnsureInstances(worker_id, FUNCTION, instances=0))

    def close(self):
        """Close the router and its peers."""
        self.router_process.close()
        for peer in self._peers():
            peer.close()

    def _peers(self):
        return [*self._listeners, *self.clients]
