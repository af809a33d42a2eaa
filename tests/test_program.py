"""Tests of `program`."""

import os
import resource
import signal
import socket
import tempfile
import time
from pathlib import Path

import msgspec
from fakes import (
    SETTINGS,
    FakeClient,
    FakeEndpointLog,
    FakeWorker,
)

ROOT = Path(__file__).parent.parent


NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}


LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}


PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


def test_sigterm_lets_late_arrivals_in_answers_all_and_exits_0(cleanups, programs):
    worker = FakeWorker()
    cleanups.callback(worker.close)
    program = programs.launch(programs.config(worker.record()))
    line = program.stderr.readline()
    host, port = line.rsplit(" ", 1)[1].strip().split(":")
    client = FakeClient((host, int(port)))
    client.status()
    programs.pump(client, lambda: client.answers, worker)
    assert client.answers[0][1:] == ("answer", {1: b"", 2: {}, 3: True})
    client.call()
    programs.pump(client, lambda: worker.requests, worker)
    program.send_signal(signal.SIGTERM)
    assert "leaving" in program.stderr.readline()
    late = FakeClient((host, int(port)))
    late.call(call="ff" * 8)
    worker.answer(worker.requests[0], body=b"one")
    programs.pump(late, lambda: len(worker.requests) == 2, worker)
    worker.answer(worker.requests[1], body=b"two")
    programs.pump(late, lambda: late.answers, worker)
    programs.pump(client, lambda: 1 in client.answer_kinds(), worker)
    assert (client.answer_kinds()[1], late.answer_kinds()) == ("answer", {1: "answer"})
    assert program.wait(20) == 0
    for peer in (client, late):
        peer.sock.close()


def feed(path, config):
    """Write the configuration into the pipe that the program opens whenever it reads it."""
    for _ in range(2000):
        try:
            pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            break
        except OSError:  # nobody reads it yet
            time.sleep(0.01)
    os.write(pipe, config if isinstance(config, bytes) else msgspec.json.encode(config))
    os.close(pipe)


def test_sighup_even_at_the_start_moves_the_change_log_and_a_bad_file_changes_nothing(programs):
    with tempfile.TemporaryDirectory() as folder:
        path, first = os.path.join(folder, "pipe"), programs.config()
        second = programs.config()
        os.mkfifo(path)
        program = programs.launch(first, "serve", "--config", path)
        pipe = os.open(path, os.O_WRONLY)  # returns once the program reads its configuration
        program.send_signal(signal.SIGHUP)
        os.write(pipe, msgspec.json.encode(first))
        os.close(pipe)
        assert "serving" in program.stderr.readline()
        feed(path, second)
        assert "read again" in program.stderr.readline()
        faulty = [(b"{", "JSON"), (b"[" * 50_000, "JSON"), ({}, "settings")]
        for bad, key in [*faulty, ({**first, "changelog": "x"}, "changelog")]:
            program.send_signal(signal.SIGHUP)
            feed(path, bad)
            line = program.stderr.readline()
            assert "not taken over" in line
            assert key in line
        while not programs.endpoint_log.queries():
            programs.endpoint_log.pump()
        assert programs.endpoint_log.queries() == [["since", "1"]]
        program.send_signal(signal.SIGTERM)
        assert program.wait(20) == 0


def test_the_other_commands(programs):
    cases = [
        (["version"], 0, "function_router 0.2.0"),
        (["check-config"], 0, "classes: view, save, settle"),
        (["unheard-of"], 2, "unheard-of"),
        (["serve", "--config", "/nonexistent"], 2, "ROUTER_CONFIG"),
    ]
    for words, status, text in cases:
        program = programs.launch(programs.config(), *words)
        out, errors = program.communicate(timeout=20)
        assert program.returncode == status
        assert text in out + errors


def test_an_address_in_use_is_said_so(programs):
    with socket.create_server(("127.0.0.1", 0)) as other:
        program = programs.launch(programs.config(listen=f"127.0.0.1:{other.getsockname()[1]}"))
        _, errors = program.communicate(timeout=20)
    assert program.returncode == 2
    assert "listen" in errors


def test_a_faulty_configuration_ends_the_program_with_the_keys_name(programs):
    cases = [
        ("limits.sockets", {"limits": {"sockets": "many"}}),
        ("listen", {"listen": "here"}),
        ("known.results", {"known": {"seq": 1, "results": [{"seq": 1, "fleet": 5}]}}),
    ]
    for key, more in cases:
        program = programs.launch(programs.config(**more))
        _, errors = program.communicate(timeout=20)
        assert program.returncode == 2
        assert key in errors
        assert "Traceback" not in errors


def test_idle_clients_that_fill_them_while_the_list_is_away_keep_nobody_out(cleanups, programs):
    worker = FakeWorker()
    cleanups.callback(worker.close)
    program = programs.launch(programs.config(limits={"sockets": 64}))
    host, port = program.stderr.readline().rsplit(" ", 1)[1].strip().split(":")
    resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (64, 64))
    crowd = [client(cleanups, host, port) for _ in range(1)]
    programs.pump(crowd[0], programs.endpoint_log.queries, programs.endpoint_log)
    log_port = int(programs.endpoint_log.host_port.split(":")[1])
    programs.endpoint_log.close()
    for n in range(80):
        crowd.append(client(cleanups, host, port))
        if n % 2:  # it says something, gets its answer and stays
            crowd[-1].status()
            programs.pump(crowd[-1], lambda: crowd[-1].answers)
    programs.endpoint_log = FakeEndpointLog(log_port)
    cleanups.callback(programs.endpoint_log.close)
    programs.pump(crowd[-1], programs.endpoint_log.queries, programs.endpoint_log)
    programs.endpoint_log.send_line({"seq": 2, "fleet": {"members": [worker.record()]}})
    usual = client(cleanups, host, port)
    usual.call()
    programs.pump(usual, lambda: worker.requests, worker, programs.endpoint_log)
    worker.answer(worker.requests[0], body=b"served")
    programs.pump(usual, lambda: usual.answers)
    assert usual.answers[0][1:] == ("answer", {1: b"served", 2: {}, 3: True})


def client(cleanups, host, port):
    client = FakeClient((host, int(port)))
    cleanups.callback(client.sock.close)
    return client
