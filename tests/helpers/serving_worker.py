"""A fake worker that answers requests and health checks, and can drain, restart or become unresponsive."""

import socket
import time
from typing import NamedTuple

from function_router.net.codecs import worker_frames
from helpers.fake_worker import FakeWorker

# Codes of health checks and of an error, which the operator's protocol defines. They are repeated here, so
# that a test fails if `worker_frames` has a wrong one.
HEALTH_CHECK = 3
ERROR_ANSWER = 4
READY_ANSWER = 6
DRAINING_ANSWER = 7


class NewWork(NamedTuple):
    """A received attempt, or a received start order for more than 0 instances."""

    at_s: float  # when it was read, on the monotonic clock
    is_attempt: bool


class ServingWorker(FakeWorker):
    """A worker that serves each request immediately, or rejects it while the worker drains.

    The answer to a probe does not depend on whether the worker drains, as with the operator's workers.

    Attributes:
        is_draining: Whether the worker rejects new work.
        learns_of_drain_at_s: Until when the worker behaves as if it did not drain, on the monotonic clock.
        rejects_from_s: Until when the worker accepts new work although it reports its drain.
        is_unresponsive: Whether the worker neither reads nor answers anything.
        has_instances: Whether an instance is running; if not, the next request starts one.
        fails_after_run: Whether the answer to a request is an error, after which the request may have run.
        run_ids: The ids of the requests that have run, in order.
        new_work: The received new work, in order.
        health_checks: When health checks were read, in seconds on the monotonic clock.
    """

    def __init__(self, name):
        super().__init__(name)
        self.is_draining = False
        self.learns_of_drain_at_s = 0.0
        self.rejects_from_s = 0.0
        self.is_unresponsive = False
        self.has_instances = False
        self.fails_after_run = False
        self.run_ids = []
        self.new_work = []
        self.health_checks = []

    def receive(self):
        """Read all available bytes and answer the frames, unless the worker is unresponsive."""
        if not self.is_unresponsive:
            super().receive()

    def stop(self):
        """Close the listener and all connections, as the end of a worker's process does."""
        self.close()
        self.connections.clear()

    def restart(self):
        """Listen at the same address again, as a new process of the worker does."""
        self.listener = socket.create_server(self.address)
        self.listener.setblocking(False)
        self.is_draining = False
        self.has_instances = False

    def replace(self):
        """Stop, and let another worker serve at the same address, which fails after each run.

        Returns:
            The ids of the requests that have run before.
        """
        ids_before = self.run_ids
        self.stop()
        self.restart()
        self.fails_after_run = True
        self.run_ids = []
        return ids_before

    def new_work_after(self, at_s):
        """Return the new work that was read after this time."""
        return [work for work in self.new_work if work.at_s > at_s]

    def _on_frame(self, received):
        now_s = time.monotonic()
        frame = received.frame
        if frame.code == worker_frames.RUN:
            self.new_work.append(NewWork(now_s, is_attempt=True))
            self._answer_request(received)
        elif frame.code == HEALTH_CHECK:
            self.health_checks.append(now_s)
            self.answer(received, DRAINING_ANSWER if self._knows_drain() else READY_ANSWER, fields="")
        elif frame.code == worker_frames.ENSURE_INSTANCES:
            self._answer_start_order(received, int(frame.fields[worker_frames.INSTANCES_FIELD]), now_s)

    def _knows_drain(self):
        return self.is_draining and time.monotonic() >= self.learns_of_drain_at_s

    def _rejects_new_work(self):
        return self._knows_drain() and time.monotonic() >= self.rejects_from_s

    def _answer_request(self, received):
        if self._rejects_new_work():
            self.answer(received, worker_frames.QUEUE_FULL, fields="company=0")
            return
        start_kind = worker_frames.REUSED if self.has_instances else worker_frames.STARTED
        self.has_instances = True
        self.run_ids.append(received.frame.exchange_id)
        if self.fails_after_run:
            self.answer(received, ERROR_ANSWER, fields="company=0")
        else:
            self.answer(received, fields=f"res={start_kind},company=0", body=b"served")

    def _answer_start_order(self, received, instances, now_s):
        if instances:
            self.new_work.append(NewWork(now_s, is_attempt=False))
            if self._rejects_new_work():
                self.answer(received, worker_frames.QUEUE_FULL, fields="slots_up=0")
                return
            self.has_instances = True
        self.answer(received, fields=f"slots_up={int(self.has_instances)}")
