"""Errors of the soak test itself. Misbehaviour of a router is a rule violation, not an error."""

from function_router.errors import FunctionRouterError


class SoakTestError(FunctionRouterError):
    """The soak test can't continue."""


class NoFreePortError(SoakTestError):
    """All ports of a range are allocated or in use."""


class ProcessStartError(SoakTestError):
    """A process of the soak test exited before it printed its ports; the message names its module."""
