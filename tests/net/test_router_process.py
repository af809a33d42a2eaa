"""Tests of `router_process`; `test_drain` and `test_reload` test its shutdown and its reload."""

import signal
from unittest import mock


def test_router_that_cannot_read_its_configuration_again_ignores_sighup(harness):
    process = harness.router_process
    process.loop.stop()
    with (
        mock.patch.object(process.loop, "handle_signals") as handle_signals,
        mock.patch.object(process, "close"),
    ):
        process.serve()
    [handlers] = handle_signals.call_args.args
    connection = process.endpoint_watch.client._connection

    handlers[signal.SIGHUP]()

    assert process.endpoint_watch.client._connection is connection
