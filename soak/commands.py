"""Commands to the clients and the proxy, sent as JSON lines on their standard input.

A command is the complete desired state of the receiver, and replaces the previous command.
"""

import asyncio
import sys
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec
from msgspec import Struct


class ClientsCommand(Struct, frozen=True):
    """The desired state of the clients."""

    ports: list[int]  # of the routers, by number; 0 for a router that clients avoid
    requests_per_s: float
    bad_clients_per_s: float = 0.0
    open_only: list[int] = []  # routers to which clients make no new connections, but use existing ones
    bulk_withdrawals_at: list[int] = []  # routers for `run_bulk_client`, once, when the command arrives
    bursts_at: list[int] = []  # routers for a burst of requests, once, when the command arrives


class ProxyCommand(Struct, frozen=True):
    """The desired state of the proxy for one worker slot."""

    worker: int
    target_port: int | None  # of the worker; None to reset connections and refuse new ones
    corrupted_share: float = 0.0  # share of the reads from the worker that are corrupted
    reset_connections: bool = False  # whether to reset open connections once, when the command arrives


CommandT = TypeVar("CommandT", ClientsCommand, ProxyCommand)


async def read_commands(kind: type[CommandT]) -> AsyncIterator[CommandT]:
    """Yield the commands of this type until standard input ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line, type=kind)
