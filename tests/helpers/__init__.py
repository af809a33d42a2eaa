"""What the tests share: stand-ins for the router's peers, and harnesses that drive the router.

Which one to use:

- What the router decides: `decision_harness.DecisionHarness`, a `Router` of the decision module that the
  test feeds with events. There are no sockets, and the test moves the clock.
- One part of `net/` by itself: the fixtures of `tests/net/conftest.py`, an event loop and accepted sockets
  with their peers. `tcp_connections` has what they need, and `pending_requests` makes requests that no client
  waits for.
- How the parts of `net/` work together: `process_harness.ProcessHarness`, a whole router process in the
  thread of the test, with real loopback sockets. The fixtures `worker`, `harness` and `client` are one
  worker, a router that knows it and a client that the router has accepted; `start_router` makes any other
  router.
  `exchanges` builds what a test hands to the worker pool without the decision module.
- The program from the outside (its commands, signals and exit statuses): `program_launcher.ProgramLauncher`,
  which starts processes. The fixture `launcher` is one.

The peers of the last two are `fake_client.FakeClient`, `fake_worker.FakeWorker` and
`fake_endpoint_log.FakeEndpointLog`. They never wait: they receive what has come when the test, or its
harness, calls `receive`. `serving_worker.ServingWorker` answers all that it gets, and
`faulty_endpoint_log.FaultyEndpointLog` sends heartbeats and fails in several ways. `client_messages` builds
and parses what clients send and receive; `configuration` builds configurations and events of the endpoint
log.

`fake_clock` stands in for the monotonic clock, `sockets` waits for a socket, `readers` feeds a parser in
chunks, `repository` knows the files of the repository, and `known_red` reads KNOWN-RED.txt.
"""
