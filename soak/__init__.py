"""Soak test of the router: real processes on loopback, overlapping faults, and checks of rules.

A run has these stages:

- Plan: `plan` draws the faults of a run from a seed. `site` defines the parameters that all modules share.
- Run: `run` starts a `cluster` and injects the faults on schedule. `faults` has a function for each kind of
  fault, and `injector` prevents exclusive faults from overlapping on a target. The cluster manages routers
  (`router_slot`), workers (`worker_slot`), an endpoint log for each router (`endpoint_feed`, `endpoint_log`)
  and the clients (`traffic`). `run_record` holds what the cluster records about its processes.
- Processes: `module_process` starts the clients, the proxy and the workers. The first two are controlled by
  `commands`, and write their observations as `records`. `clients` sends requests (`request_client`, over
  `client_connections` and `thrift_client`) and protocol violations (`bad_clients`), which `thrift_messages`
  encodes. `proxy` observes frames with a `frame_tap`. `worker` simulates function instances. Routers run
  with the library of `shim.c`, which `shim` compiles and controls.
- Check: `checker` loads all records as a `history`, checks it with `request_rules`, `worker_rules` and
  `router_rules`, and counts `figures` for the report.
"""
