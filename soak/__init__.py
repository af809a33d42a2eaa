"""A soak test: real router processes on loopback under overlapping faults, judged by invariants."""
