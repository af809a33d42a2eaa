"""The network code of the router: sockets, protocols and timers around the decision module."""
