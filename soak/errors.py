"""Errors of the soak test itself; a router that misbehaves is a rule violation, not an error."""

from function_router.errors import FunctionRouterError


class SoakTestError(FunctionRouterError):
    """The soak test can't continue."""


class NoFreePortError(SoakTestError):
    """All ports of a range have been handed out or are in use."""


class ProcessStartError(SoakTestError):
    """A process of the soak test ended before it printed where it listens."""
