"""Exceptions for an invalid configuration. Each names the key with the invalid value."""

from function_router.errors import FunctionRouterError


class ConfigurationError(FunctionRouterError, ValueError):
    """The configuration is invalid. The message has the form "KEY: PROBLEM".

    Attributes:
        key: The path of the key in the JSON, or the name of the environment variable.
        problem: Why the value is invalid, with the allowed range if there is one.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class UnreadableFileError(ConfigurationError):
    """The configuration file could not be read. Reading it later may succeed.

    Attributes:
        errno: The error number of the failed system call. The attribute has the same name as that of OSError,
            so that callers can handle both exceptions alike.
    """

    def __init__(self, key: str, problem: str, error_number: int | None) -> None:
        super().__init__(key, problem)
        self.errno = error_number
