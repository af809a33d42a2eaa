"""Tests of the control of the soak test's clients: a change leaves all other settings as they were."""

import asyncio

import pytest

from soak.commands import ClientsCommand
from soak.traffic import Traffic


class FakeProcess:
    """Fakes the clients' process, and stores the commands that it receives."""

    def __init__(self):
        self.commands = []

    async def send_command(self, command):
        """Store a command."""
        self.commands.append(command)


@pytest.fixture
def command_after():
    """Return a function that starts traffic to two routers, changes it, and returns the last command."""

    def run(change):
        async def start_and_change():
            process = FakeProcess()
            traffic = Traffic(process, router_count=2)
            await traffic.start([1, 2], 50.0)
            await change(traffic)
            return process.commands[-1]

        return asyncio.run(start_and_change())

    return run


@pytest.mark.parametrize(
    ("change", "command"),
    [
        (lambda traffic: traffic.avoid_router(0), ClientsCommand([0, 2], 50.0)),
        (lambda traffic: traffic.stop_connecting_to(1), ClientsCommand([1, 2], 50.0, open_only=[1])),
        (lambda traffic: traffic.use_router(1, 3), ClientsCommand([1, 3], 50.0)),
        (lambda traffic: traffic.set_request_rate(70.0), ClientsCommand([1, 2], 70.0)),
        (lambda traffic: traffic.set_bad_client_rate(5.0), ClientsCommand([1, 2], 50.0, 5.0)),
        (
            lambda traffic: traffic.withdraw_in_bulk([1, 1]),
            ClientsCommand([1, 2], 50.0, bulk_withdrawals_at=[1, 1]),
        ),
        (lambda traffic: traffic.send_burst(1), ClientsCommand([1, 2], 50.0, bursts_at=[1])),
        (lambda traffic: traffic.stop(), ClientsCommand([1, 2], 0.0)),
    ],
    ids=[
        "avoid a router",
        "stop connecting",
        "use a router",
        "request rate",
        "bad clients",
        "bulk",
        "burst",
        "stop",
    ],
)
def test_change_leaves_all_else_as_it_was(command_after, change, command):
    assert command_after(change) == command


def test_loads_are_not_repeated_by_the_next_change(command_after):
    async def load_then_change(traffic):
        await traffic.withdraw_in_bulk([1])
        await traffic.send_burst(1)
        await traffic.set_request_rate(70.0)

    assert command_after(load_then_change) == ClientsCommand([1, 2], 70.0)


@pytest.mark.parametrize(
    "change",
    [lambda traffic: traffic.avoid_router(1), lambda traffic: traffic.use_router(1, 2)],
    ids=["avoided", "used again"],
)
def test_avoided_or_reused_router_is_removed_from_open_only(command_after, change):
    async def open_none_then_change(traffic):
        await traffic.stop_connecting_to(1)
        await change(traffic)

    assert command_after(open_none_then_change).open_only == []
