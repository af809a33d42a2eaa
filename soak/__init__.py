"""A soak test: real router processes on loopback under overlapping faults, checked by the operator's rules.

From the plan to the result of the check:

- Plan: `plan` draws the faults of a run from a seed; `site` has the figures that all parts share.
- Run: `run` starts a `cluster` and injects the faults on schedule. `faults` has one function for each kind,
  `injector` keeps exclusive ones apart. The cluster consists of `router_slot`, `worker_slot`, `endpoint_feed`
  (one `endpoint_log` for each router) and `traffic`; `run_record` has what it records about its processes.
- Processes, started by `module_process` and driven by `commands`: `clients` (`request_client` and
  `bad_clients`, over `client_connections`, `thrift_client` and `thrift_messages`), `proxy` (with a
  `frame_tap`), and `worker`. Clients and proxy write what they observe as `records`. Routers run with `shim`,
  the library of `shim.c`.
- Check: `checker` reads everything as one `history`, checks it by `request_rules`, `worker_rules` and
  `router_rules`, and counts `figures` for the report.
"""
