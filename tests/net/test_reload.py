"""Tests of `reload`: switching to a new endpoint log, ignored changes, and files that fail to load."""

import errno
from unittest import mock

import msgspec
import pytest
from helpers.fake_endpoint_log import FakeEndpointLog

from function_router.config import ConfigurationError, UnreadableFileError
from function_router.net.reload import RETRY_MS, ConfigurationReload


@pytest.fixture
def make_reload(harness):
    """Create a reload of the router's configuration, given a function that reads the new configuration."""

    def make(read_config):
        process = harness.router_process
        return ConfigurationReload(
            process.config, read_config, process.loop, process.endpoint_watch, process.log
        )

    return make


def configuration_lines(harness):
    return [line for line in harness.log_lines if line.startswith("configuration ")]


def test_reload_moves_to_the_new_endpoint_log(harness, make_reload):
    moved = FakeEndpointLog()
    harness.add_listener(moved)
    new_config = msgspec.structs.replace(harness.router_process.config, endpoint_log=moved.address)

    make_reload(lambda: new_config).run()
    harness.run_until(moved.requests, "the new endpoint log receives a request")

    host, port = moved.address
    assert moved.requests() == [["since", "1"]]
    assert configuration_lines(harness) == [f"configuration reloaded: endpoint log at {host}:{port}"]


def test_reload_logs_the_changed_keys_that_take_effect_only_at_startup(harness, make_reload):
    config = harness.router_process.config
    settings = msgspec.structs.replace(config.settings, zone="other")
    transport = msgspec.structs.replace(config.transport, connection_keepalive_ms=1.0)
    new_config = msgspec.structs.replace(
        config, name="other", memory_mb=1, settings=settings, transport=transport
    )

    make_reload(lambda: new_config).run()

    host, port = config.endpoint_log
    assert configuration_lines(harness) == [
        f"configuration reloaded: endpoint log at {host}:{port}; "
        "changes that need a restart: name, limits.memory_mb, settings"
    ]
    assert harness.router_process.config is config


def test_reload_of_an_invalid_configuration_changes_nothing(harness, make_reload):
    client = harness.router_process.endpoint_watch.client
    connection = client._connection

    make_reload(mock.Mock(side_effect=ConfigurationError("listen", "missing"))).run()

    assert configuration_lines(harness) == ["configuration not reloaded: listen: missing"]
    assert client._connection is connection


def test_reload_is_retried_after_a_transient_read_error(harness, make_reload):
    config = harness.router_process.config
    error = UnreadableFileError("ROUTER_CONFIG", "too many open files", errno.EMFILE)
    read_config = mock.Mock(side_effect=[error, error, config])

    make_reload(read_config).run()
    harness.run_until(lambda: configuration_lines(harness), "the configuration is reloaded")

    assert read_config.call_count == 3
    [line] = configuration_lines(harness)
    assert line.startswith("configuration reloaded: ")


@pytest.mark.parametrize(
    ("error_number", "is_retried"),
    [(errno.EACCES, False), (errno.EMFILE, True)],
    ids=["at once", "after a while"],
)
def test_file_that_stays_unreadable_is_reported(harness, make_reload, error_number, is_retried):
    error = UnreadableFileError("ROUTER_CONFIG", "unreadable", error_number)
    read_config = mock.Mock(side_effect=error)
    reload = make_reload(read_config)

    reload.run()
    if is_retried:
        assert configuration_lines(harness) == []
        reload._retry_until_ms -= RETRY_MS + 1
    harness.run_until(lambda: configuration_lines(harness), "the error is reported")

    assert read_config.call_count == 1 + is_retried
    assert configuration_lines(harness) == ["configuration not reloaded: ROUTER_CONFIG: unreadable"]
