"""Commands to the processes of the soak test: JSON lines on their standard input.

A command replaces the previous one: it states everything that the receiver does from then on.
"""

import asyncio
import sys
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec
from msgspec import Struct


class ClientsCommand(Struct, frozen=True):
    """What the clients do from now on."""

    ports: list[int]  # of the routers; 0 where clients are kept away
    requests_per_s: float
    bad_clients_per_s: float = 0.0
    open_only: list[int] = []  # routers to which clients open no connection, but use those that they have


class ProxyCommand(Struct, frozen=True):
    """What the proxy does in front of a worker slot from now on."""

    worker: int
    target_port: int | None  # None: connections are reset and new ones refused
    corrupted_share: float = 0.0  # of the reads from the worker
    reset_connections: bool = False  # once, as the command arrives


CommandT = TypeVar("CommandT", ClientsCommand, ProxyCommand)


async def read_commands(kind: type[CommandT]) -> AsyncIterator[CommandT]:
    """The commands of this kind, until standard input ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line, type=kind)
