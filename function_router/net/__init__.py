"""The network side of the router: sockets, protocols and timers around the decision module."""
