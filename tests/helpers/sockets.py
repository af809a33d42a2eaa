"""Waiting for sockets."""

import selectors

PATIENCE_S = 20.0


def wait_readable(sock, timeout_s=PATIENCE_S):
    """Wait until a socket has something to read; whether it has."""
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        return bool(selector.select(timeout_s))
