"""Waits for sockets to become readable."""

import selectors

WAIT_TIMEOUT_S = 20.0  # default timeout of all waits: many times what they take on a loaded machine


def wait_readable(sock, timeout_s=WAIT_TIMEOUT_S):
    """Wait until a socket has data or has reached end of file; return whether it has before the timeout."""
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        return bool(selector.select(timeout_s))
