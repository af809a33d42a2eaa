"""Tests of the soak test's shim: its control file, its compilation without warnings, and its faults."""

import os
import re
import shutil
import subprocess
import sys
import time
from dataclasses import fields
from struct import unpack

import pytest

from soak.shim import CONTROL_VARIABLE, SOURCE, ShimControl, build_shim

HOUR_S = 3600.0
needs_compiler = pytest.mark.skipif(shutil.which("cc") is None, reason="no C compiler on this machine")
STRICT_FLAGS = ["-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-Werror"]


def test_control_has_the_fields_of_the_struct_in_its_order():
    struct_body = re.search(r"struct control \{(.*?)\n\};", SOURCE.read_text(), re.DOTALL)[1]

    names = re.findall(r"double (\w+);", struct_body)

    assert names == [field.name for field in fields(ShimControl)]


def test_shim_reads_the_variable_that_names_the_control_file():
    assert f'#define CONTROL_VARIABLE "{CONTROL_VARIABLE}"' in SOURCE.read_text()


def test_control_is_rewritten_in_place(tmp_path):
    path = tmp_path / "control"
    ShimControl().write(path)
    inode = path.stat().st_ino

    ShimControl(offset_before_s=5.0, open_failures=0.5).write(path)

    values = unpack(f"@{len(fields(ShimControl))}d", path.read_bytes())
    assert path.stat().st_ino == inode
    assert (values[0], values[-1], sum(values)) == (5.0, 0.5, 5.5)


@needs_compiler
def test_shim_compiles_without_warnings(tmp_path):
    command = ["cc", *STRICT_FLAGS, "-o", str(tmp_path / "strict.so"), str(SOURCE), "-ldl"]

    strict = subprocess.run(command, capture_output=True, text=True, check=False)

    assert strict.returncode == 0, strict.stderr
    assert build_shim(tmp_path).exists()


# --- injected faults: each program runs with the shim, makes a call, and prints its outcome

PRELUDE = """
import errno, select, socket, sys, time

def outcome(call):
    try:
        return call()
    except OSError as error:
        return errno.errorcode[error.errno]

def connected():
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    return listener, client, listener.accept()[0]
"""
# "send" and "receive" print True for a short transfer, and False for a whole one; 512 is MAX_SHORT_BYTES of
# shim.c.
PROGRAMS = {
    "socket": "print(outcome(lambda: socket.socket().family.name))",
    "unix socket": "print(outcome(lambda: socket.socket(socket.AF_UNIX).family.name))",
    "accept": """
listener = socket.create_server(("127.0.0.1", 0))
listener.setblocking(False)
print(outcome(listener.accept))
""",
    "connect": """
listener = socket.create_server(("127.0.0.1", 0))
client = socket.socket()
client.setblocking(False)
print(errno.errorcode[client.connect_ex(listener.getsockname())])
""",
    "register": "print(outcome(lambda: select.epoll().register(socket.socket())))",
    "send": """
listener, client, accepted = connected()
print(outcome(lambda: client.sendmsg([b"x" * 1000, b"y" * 1000]) <= 512))
""",
    "receive": """
listener, client, accepted = connected()
client.sendall(b"x" * 2000)
time.sleep(0.05)
print(outcome(lambda: 0 < len(accepted.recvmsg(4096)[0]) <= 512))
""",
    "peek": """
listener, client, accepted = connected()
client.sendall(b"x")
print(outcome(lambda: accepted.recv(1, socket.MSG_PEEK)))
""",
    "send from accepted": """
listener, client, accepted = connected()
print(outcome(lambda: accepted.sendmsg([b"x"])))
""",
    "open config": "print(outcome(lambda: open('router-0-config.json').read()))",
    "open other": "print(outcome(lambda: open('other.json').read()))",
    "wall clock": "print(time.time())",
    "monotonic clock": "print(time.monotonic())",
    "timestamp": """
listener, client, accepted = connected()
accepted.setsockopt(socket.SOL_SOCKET, 35, 1)  # SO_TIMESTAMPNS
ancillary = []
end_s = time.monotonic() + 10.0
# The kernel starts to timestamp packets shortly after the first socket enables it.
while not ancillary and time.monotonic() < end_s:
    client.sendall(b"x")
    ancillary = accepted.recvmsg(10, 100)[1]
print(int.from_bytes(ancillary[0][2][:8], sys.byteorder))
""",
}


@pytest.fixture(scope="module")
def shim(tmp_path_factory):
    """Return the path of the compiled library."""
    return build_shim(tmp_path_factory.mktemp("shim"))


@pytest.fixture
def run_with_shim(shim, tmp_path):
    """Return a function that runs one of `PROGRAMS` with the shim, and returns its output."""
    (tmp_path / "router-0-config.json").write_text("config")
    (tmp_path / "other.json").write_text("other")

    def run(program, **control):
        path = tmp_path / "control"
        ShimControl(**control).write(path)
        run = subprocess.run(
            [sys.executable, "-c", PRELUDE + PROGRAMS[program]],
            env={**os.environ, "LD_PRELOAD": str(shim), CONTROL_VARIABLE: str(path)},
            cwd=tmp_path,
            capture_output=True,
            text=True,
            check=True,
            timeout=30,
        )
        return run.stdout.strip()

    return run


@needs_compiler
@pytest.mark.parametrize(
    ("fault", "program", "outcomes"),
    [
        ("socket_failures", "socket", {"ENFILE", "ENOBUFS", "ENOMEM"}),
        ("socket_failures", "unix socket", {"AF_UNIX"}),
        ("accept_failures", "accept", {"ECONNABORTED", "ENFILE", "ENOBUFS", "EPROTO"}),
        ("connect_failures", "connect", {"EADDRNOTAVAIL", "ENETUNREACH", "EAGAIN"}),
        ("interrupted_calls", "connect", {"EINTR"}),
        ("register_failures", "register", {"ENOMEM", "ENOSPC"}),
        ("short_transfers", "send", {"True"}),
        ("short_transfers", "receive", {"True"}),
        ("buffer_failures", "send", {"ENOMEM", "ENOBUFS"}),
        ("buffer_failures", "receive", {"ENOMEM", "ENOBUFS"}),
        ("buffer_failures", "peek", {"ENOMEM", "ENOBUFS"}),
        ("broken_connections", "send", {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"}),
        ("broken_connections", "send from accepted", {"1"}),
        ("open_failures", "open config", {"ENFILE", "EMFILE", "ENOMEM"}),
        ("open_failures", "open other", {"other"}),
    ],
)
def test_call_fails_only_as_its_man_page_documents(run_with_shim, fault, program, outcomes):
    assert run_with_shim(program, **{fault: 1.0}) in outcomes


@needs_compiler
@pytest.mark.parametrize(
    ("program", "outcome"),
    [
        ("socket", "AF_INET"),
        ("accept", "EAGAIN"),
        ("connect", "EINPROGRESS"),
        ("register", "None"),
        ("send", "False"),
        ("receive", "False"),
        ("peek", "b'x'"),
        ("open config", "config"),
    ],
)
def test_no_call_fails_without_a_fault(run_with_shim, program, outcome):
    assert run_with_shim(program) == outcome


@needs_compiler
@pytest.mark.parametrize("program", ["wall clock", "timestamp"])
@pytest.mark.parametrize(
    ("step_in_s", "offset_s"), [(-HOUR_S, -2 * HOUR_S), (HOUR_S, HOUR_S)], ids=["after the step", "before it"]
)
def test_wall_clock_and_receive_timestamps_step_alike(run_with_shim, program, step_in_s, offset_s):
    now = time.time()
    control = {"offset_before_s": HOUR_S, "offset_after_s": -2 * HOUR_S, "step_at_unix_s": now + step_in_s}

    seen = float(run_with_shim(program, **control))

    assert seen - now == pytest.approx(offset_s, abs=60.0)


@needs_compiler
def test_monotonic_clock_does_not_step(run_with_shim):
    before = time.monotonic()

    seen = float(run_with_shim("monotonic clock", offset_before_s=HOUR_S, offset_after_s=HOUR_S))

    assert before <= seen <= time.monotonic()
