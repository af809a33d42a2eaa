"""Tests of the clients' connections: when one is reused, and when one is opened."""

import asyncio
import random

import pytest

from soak.client_connections import ClientConnections


@pytest.fixture
def with_connections():
    """Return a function that runs a scenario with client connections, and the port of a silent listener."""

    def run(scenario, min_per_router=1):
        async def run_in_loop():
            server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
            connections = ClientConnections(random.Random(1), min_per_router)
            try:
                return await scenario(connections, server.sockets[0].getsockname()[1])
            finally:
                connections.close()
                server.close()

        return asyncio.run(run_in_loop())

    return run


def test_open_connection_is_reused(with_connections):
    async def scenario(connections, port):
        first = await connections.acquire(port, is_new=False, is_private=False)
        return first is await connections.acquire(port, is_new=False, is_private=False)

    assert with_connections(scenario)


def test_connections_are_opened_up_to_the_minimum_per_router(with_connections):
    async def scenario(connections, port):
        acquired = [await connections.acquire(port, is_new=False, is_private=False) for _ in range(20)]
        return len({id(connection) for connection in acquired})

    assert with_connections(scenario, min_per_router=5) == 5


@pytest.mark.parametrize(("is_new", "is_private"), [(False, False), (True, False), (False, True)])
def test_no_connection_is_opened_if_connecting_is_not_allowed(with_connections, is_new, is_private):
    async def scenario(connections, port):
        with pytest.raises(ConnectionRefusedError):
            await connections.acquire(port, is_new=is_new, is_private=is_private, may_connect=False)
        opened = await connections.acquire(port, is_new=False, is_private=False)
        kept = await connections.acquire(port, is_new=is_new, is_private=is_private, may_connect=False)
        return opened is kept

    assert with_connections(scenario, min_per_router=5)
