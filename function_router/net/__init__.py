"""The network layer of the router: sockets, protocols and timers around the decision module."""
