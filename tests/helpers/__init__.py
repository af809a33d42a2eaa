"""Shared test helpers: fakes of the router's peers, and harnesses that run the router.

Choose the harness by what the test is about:

- Decisions of the router: `decision_harness.DecisionHarness` passes events to the `Router` of the decision
  module. It uses no sockets, and the test advances the clock.
- A single module of `net/`: the fixtures of `tests/net/conftest.py` provide an event loop and accepted
  sockets with their peers. `tcp_connections` has the classes of handlers and peers, and `pending_requests`
  builds requests without a client.
- Several modules of `net/` together: `process_harness.ProcessHarness` runs a complete router process in the
  thread of the test, with real loopback sockets. The fixtures `worker`, `harness` and `client` provide one
  worker, a router that knows it, and a client that the router has accepted. The fixture `start_router` starts
  routers with other workers or settings. `exchanges` builds exchanges that a test passes directly to the
  worker pool, without the decision module.
- The program as a whole, with its commands, signals and exit statuses: `program_launcher.ProgramLauncher`,
  also available as the fixture `launcher`, starts it in separate processes.

`ProcessHarness` and `ProgramLauncher` use the fake peers `fake_client.FakeClient`, `fake_worker.FakeWorker`
and `fake_endpoint_log.FakeEndpointLog`. A fake peer never blocks: when the test or its harness calls
`receive`, the peer reads the bytes that have arrived. `serving_worker.ServingWorker` answers all requests,
and `faulty_endpoint_log.FaultyEndpointLog` sends heartbeats and can fail in several ways;
`serving_cluster.ServingCluster` runs a router process between them and a client. `client_messages` encodes
and decodes the messages of clients. `configuration` builds configurations and events of the endpoint log.

`function_calls` measures work by the number of calls, `fake_clock` replaces the monotonic clock, `sockets`
waits for a socket to become readable, `readers` passes data to a parser in chunks, `repository` has the paths
of the source folders and finds the imports of a module, and `known_red` reads KNOWN-RED.txt.
"""
