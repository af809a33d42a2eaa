"""A fake worker."""

from typing import NamedTuple

from function_router.net.codecs import worker_frames
from function_router.net.endpoint_registry import worker_id_of
from helpers.fake_peer import FakeListener, FakePeerConnection


class ReceivedFrame(NamedTuple):
    """A frame, and the connection on which it was received."""

    connection: FakePeerConnection
    frame: worker_frames.Frame


class FakeWorker(FakeListener):
    """A worker that answers start orders, probes and health checks, and leaves requests to the test.

    Attributes:
        name: The name of the worker in the endpoint list.
        worker_id: The id that the router derives from the name.
        instances: The number of instances in the answers to start orders and probes; None: the test answers
            them.
        frames: All received frames, in order, without the health checks that were answered.
        answers_health_checks: Whether health checks are answered with ready; if not, the test answers them.
    """

    def __init__(self, name="s-1", instances=1):
        super().__init__()
        self.name = name
        self.worker_id = worker_id_of(name)
        self.instances = instances
        self.frames = []
        self.answers_health_checks = True
        self._readers = {}  # by connection

    def receive(self):
        """Read all available bytes, and answer start orders and probes."""
        super().receive()
        for connection in self.connections:
            if connection not in self._readers:
                self._readers[connection] = worker_frames.FrameReader(worker_frames.FROM_ROUTER)
            data = bytes(connection.data)
            connection.data.clear()
            for frame in self._readers[connection].feed(data):
                self._on_frame(ReceivedFrame(connection, frame))

    def _on_frame(self, received):
        if received.frame.code == worker_frames.CHECK_HEALTH and self.answers_health_checks:
            self.answer(received, worker_frames.READY, fields="")
            return
        self.frames.append(received)
        if received.frame.code == worker_frames.ENSURE_INSTANCES and self.instances is not None:
            self.answer(received, fields=f"slots_up={self.instances}")

    def answer(self, received, code=worker_frames.OK, fields="res=reused", body=b""):
        """Answer a frame on its connection; by default, a warm instance has served the request."""
        exchange_id = received.frame.exchange_id
        data = worker_frames.encode(code, exchange_id, fields, body, worker_frames.FROM_WORKER)
        received.connection.sock.sendall(data)

    def received(self, code):
        """Return the received frames with this code, in order."""
        return [received for received in self.frames if received.frame.code == code]

    @property
    def requests(self):
        """The received requests."""
        return self.received(worker_frames.RUN)

    def record(self, phase="in_service", **fields):
        """Build the record of the worker for an endpoint list."""
        return {"id": self.name, "host_port": self.host_port, "phase": phase, "size": 4, **fields}
