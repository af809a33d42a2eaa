"""Errors of the soak test itself; what the routers do wrong is a rule violation, not an error."""

from function_router.errors import FunctionRouterError


class SoakTestError(FunctionRouterError):
    """The soak test could not go on."""


class NoFreePortError(SoakTestError):
    """All ports of a range were handed out or are in use."""


class ProcessStartError(SoakTestError):
    """A process of the soak test ended before it said where it listens."""
