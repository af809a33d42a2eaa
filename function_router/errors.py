"""The base class of the exceptions that this package raises."""


class FunctionRouterError(Exception):
    """An exception of this package. The message says what failed and where."""
