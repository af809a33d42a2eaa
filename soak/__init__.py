"""A soak test: real router processes on loopback under overlapping troubles, judged by invariants."""
