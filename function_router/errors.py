"""The base class of the exceptions that this package raises."""


class FunctionRouterError(Exception):
    """Base class; the message of each subclass says what failed and where."""
