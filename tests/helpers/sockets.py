"""Waits for sockets."""

import selectors

WAIT_TIMEOUT_S = 20.0  # for anything that a test waits for: many times what it takes on a loaded machine


def wait_readable(sock, timeout_s=WAIT_TIMEOUT_S):
    """Wait until a socket has something to read or has reached its end; return whether it has."""
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        return bool(selector.select(timeout_s))
