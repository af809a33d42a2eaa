"""The base class of the errors that this package raises."""


class FunctionRouterError(Exception):
    """An error whose text says what went wrong and where."""
