"""Errors of the configuration. Each names the key whose value is invalid."""

from function_router.errors import FunctionRouterError


class ConfigurationError(FunctionRouterError, ValueError):
    """An invalid configuration. The text is the key, a colon and the problem.

    Attributes:
        key: the path of the key in the JSON, or the environment variable.
        problem: what is wrong with its value, with the allowed range where there is one.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class UnreadableFileError(ConfigurationError):
    """The configuration file could not be read; a later attempt may succeed.

    Attributes:
        errno: the error number of the system call that failed, under the name that it has in an OSError.
    """

    def __init__(self, key: str, problem: str, error_number: int | None) -> None:
        super().__init__(key, problem)
        self.errno = error_number
