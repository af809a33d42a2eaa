"""A soak test: real router processes on loopback under overlapping faults, checked by the operator's rules.

From the plan to the verdict:

- `plan` draws the faults of a run from a seed; `run` starts a `cluster`, injects them on schedule
  (`injector`, `faults`), and returns what the run itself has recorded (`run_record`).
- `clients`, `proxy` and `worker` are processes of their own, started as a `module_process`; clients and proxy
  take `commands` and write what they observe as `records`.
- `checker` reads all records as one `history`, and checks it by the `rules`.
"""
