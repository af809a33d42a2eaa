"""The decision module: events in, actions out; no clock, randomness or sockets."""

from function_router.decisions.router import Router

__all__ = ["Router"]
