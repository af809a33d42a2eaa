"""Tests of the soak test's endpoint log: the events that a router receives, and the faults of the log."""

import asyncio
import contextlib
import time

import msgspec
import pytest

from soak import endpoint_log
from soak.endpoint_events import Endpoint, EndpointEvent, EndpointPhase
from soak.endpoint_log import EndpointLogFailure, EndpointLogServer
from soak.ports import PortAllocator

PORTS = range(31_900, 32_000)  # the end of the soak test's range, which runs allocate last
WORKER_PORTS = [20_000]
READ_TIMEOUT_S = 5.0
SILENCE_S = 0.2
REFUSAL_S = 1.0  # longer than a connection attempt takes on a busy machine


def event(sequence):
    """Return an event about one worker."""
    endpoint = Endpoint(f"s-{sequence}", 0, EndpointPhase.READY, 0.0)
    return EndpointEvent(sequence, (endpoint,), is_complete=False)


class RouterConnection:
    """A router's connection to an endpoint log."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    async def read_line(self):
        """Return the next line, decoded: an event, or a heartbeat; None at the end of the connection."""
        line = await asyncio.wait_for(self._reader.readline(), READ_TIMEOUT_S)
        return msgspec.json.decode(line) if line else None

    async def read_sequences(self, count):
        """Return the sequence numbers of the next lines."""
        lines = [await self.read_line() for _ in range(count)]
        return [line["seq"] if isinstance(line, dict) else line for line in lines]

    def close(self):
        """Close the connection."""
        self._writer.close()


class EndpointLogHarness:
    """An endpoint log with its events, and the connections of a router to it."""

    def __init__(self, server, events):
        self.server = server
        self.events = events
        self.resources = contextlib.AsyncExitStack()

    async def connect(self, known_sequence=0):
        """Connect as a router that knows the events up to a sequence number."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        connection = RouterConnection(reader, writer)
        self.resources.callback(connection.close)
        writer.write(b"since %d\n" % known_sequence)
        return connection


@pytest.fixture
def with_log(exit_stack):
    """Return a function that runs a scenario with a listening endpoint log, which has two events."""

    def run(scenario):
        async def run_in_loop():
            ports = PortAllocator(PORTS)
            exit_stack.callback(ports.close)
            events = [event(1), event(2)]
            server = EndpointLogServer(events, lambda each: each.to_wire(WORKER_PORTS), ports)
            harness = EndpointLogHarness(server, events)
            async with harness.resources:
                await server.start()
                harness.resources.push_async_callback(server.close)
                return await scenario(harness)

        return asyncio.run(run_in_loop())

    return run


@pytest.mark.parametrize(("known_sequence", "sequences"), [(0, [1, 2, 2]), (1, [2, 2]), (2, [2])])
def test_router_gets_the_events_after_the_one_it_knows(with_log, known_sequence, sequences):
    async def scenario(harness):
        connection = await harness.connect(known_sequence)
        return await connection.read_sequences(len(sequences))

    assert with_log(scenario) == sequences


def test_event_is_sent_as_it_is_published(with_log):
    async def scenario(harness):
        connection = await harness.connect(known_sequence=2)
        before = await connection.read_sequences(1)
        harness.events.append(event(3))
        await harness.server.publish()
        return before, await connection.read_sequences(2)

    assert with_log(scenario) == ([2], [3, 3])


def test_event_published_during_a_silence_is_sent_after_it(with_log):
    async def scenario(harness):
        connection = await harness.connect(known_sequence=2)
        await connection.read_line()
        silence = asyncio.create_task(harness.server.stay_silent(SILENCE_S))
        await asyncio.sleep(0)
        harness.events.append(event(3))
        await harness.server.publish()
        reading = asyncio.create_task(connection.read_sequences(2))
        await asyncio.sleep(SILENCE_S / 2)
        read_in_silence = reading.done()
        await silence
        return read_in_silence, await reading

    assert with_log(scenario) == (False, [3, 3])


def test_log_that_refuses_connections_ends_the_open_ones_and_listens_again(with_log):
    async def scenario(harness):
        connection = await harness.connect(known_sequence=2)
        await connection.read_line()
        port = harness.server.port
        refusal = asyncio.create_task(harness.server.refuse_connections(REFUSAL_S))
        end = await connection.read_line()
        with pytest.raises(ConnectionRefusedError):
            await harness.connect()
        await refusal
        connection = await harness.connect(known_sequence=1)
        return end, await connection.read_sequences(2), harness.server.port == port

    assert with_log(scenario) == (None, [2, 2], True)


def test_log_publishes_after_its_connections_were_cancelled_more_than_once(with_log):
    # Guards against a lock that a connection leaves held if it is cancelled while it gets the lock back.
    async def scenario(harness):
        for _ in range(2):
            old = await harness.connect(known_sequence=2)
            await old.read_line()
        for _ in range(3):
            for connection in list(harness.server._connections):
                connection.cancel()
            publishing = asyncio.create_task(harness.server.publish())
            await asyncio.sleep(0)
        await asyncio.wait_for(publishing, READ_TIMEOUT_S)
        harness.events.append(event(3))
        new = await harness.connect(known_sequence=2)
        await asyncio.wait_for(harness.server.publish(), READ_TIMEOUT_S)
        return await new.read_sequences(2)

    assert with_log(scenario) == [3, 3]


def test_moved_log_publishes_only_at_its_new_address(with_log):
    async def scenario(harness):
        old = await harness.connect(known_sequence=2)
        await old.read_line()
        old_port = harness.server.port
        await harness.server.move()
        new = await harness.connect(known_sequence=2)
        await new.read_line()
        harness.events.append(event(3))
        await harness.server.publish()
        return harness.server.port != old_port, await new.read_sequences(2), await old.read_line()

    assert with_log(scenario) == (True, [3, 3], None)


@pytest.mark.parametrize(
    ("fail", "delay_s"),
    [
        pytest.param(lambda server: server.move(), 4.0, id="moved"),
        pytest.param(lambda server: server.stay_silent(0.0), 4.0, id="silent"),
        pytest.param(lambda server: server.refuse_connections(0.0), 2.0, id="broken"),
        pytest.param(lambda server: server.fail(EndpointLogFailure.REFUSES, 0.0), 2.0, id="refusing"),
        pytest.param(lambda server: server.fail(EndpointLogFailure.TRICKLES, 0.0), 4.0, id="trickling"),
    ],
)
def test_log_fault_delays_the_time_when_a_router_counts_as_notified(with_log, fail, delay_s):
    async def scenario(harness):
        began_at = time.monotonic()
        before = harness.server.notified_at(began_at)
        await fail(harness.server)
        later_at = began_at + 60.0
        return (
            before - began_at,
            harness.server.notified_at(began_at) - began_at,
            (harness.server.notified_at(later_at) - later_at),
        )

    before_s, delayed_s, later_s = with_log(scenario)

    assert (before_s, later_s) == (0.0, 0.0)
    assert delay_s <= delayed_s < delay_s + 1.0


@pytest.mark.parametrize(
    ("failure", "line"),
    [
        pytest.param(EndpointLogFailure.ANNOUNCES_MISSING_EVENTS, {"seq": 7}, id="ahead"),
        pytest.param(EndpointLogFailure.IS_BEHIND, {"seq": 0}, id="behind"),
    ],
)
def test_log_that_fails_sends_false_numbers_and_no_event_until_it_works_again(with_log, failure, line):
    async def scenario(harness):
        outage = asyncio.create_task(harness.server.fail(failure, SILENCE_S))
        await asyncio.sleep(0)
        connection = await harness.connect(known_sequence=1)
        first = await connection.read_line()
        await outage
        return first, await connection.read_sequences(2)

    assert with_log(scenario) == (line, [2, 2])


def test_log_that_trickles_completes_no_line_until_it_works_again(with_log):
    async def scenario(harness):
        outage = asyncio.create_task(harness.server.fail(EndpointLogFailure.TRICKLES, SILENCE_S))
        await asyncio.sleep(0)
        connection = await harness.connect(known_sequence=1)
        await outage
        return await connection.read_sequences(2)

    assert with_log(scenario) == [2, 2]


def test_log_that_flaps_refuses_connections_and_comes_back(with_log, monkeypatch):
    monkeypatch.setattr(endpoint_log, "FLAP_DOWN_S", SILENCE_S)

    async def scenario(harness):
        connection = await harness.connect(known_sequence=2)
        await connection.read_line()
        outage = asyncio.create_task(harness.server.fail(EndpointLogFailure.FLAPS, SILENCE_S))
        end = await connection.read_line()
        await outage
        connection = await harness.connect(known_sequence=1)
        return end, await connection.read_sequences(2)

    assert with_log(scenario) == (None, [2, 2])


def test_log_that_moves_while_it_refuses_connections_listens_once_it_works_again(with_log):
    async def scenario(harness):
        outage = asyncio.create_task(harness.server.fail(EndpointLogFailure.REFUSES, SILENCE_S))
        await asyncio.sleep(0)
        await harness.server.move()
        with pytest.raises(ConnectionRefusedError):
            await harness.connect()
        await outage
        return await (await harness.connect(known_sequence=1)).read_sequences(2)

    assert with_log(scenario) == [2, 2]
