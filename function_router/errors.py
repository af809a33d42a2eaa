"""The root of the errors that this package raises on purpose."""


class FunctionRouterError(Exception):
    """An error whose text says what went wrong and where."""
