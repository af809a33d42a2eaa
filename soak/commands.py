"""Commands to a process of the soak test: JSON lines on its standard input."""

import asyncio
import sys
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec

CommandT = TypeVar("CommandT", bound=msgspec.Struct)


async def read_commands(kind: type[CommandT]) -> AsyncIterator[CommandT]:
    """The commands of this kind, until standard input ends."""
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield msgspec.json.decode(line, type=kind)
