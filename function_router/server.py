"""Runs one router, from its configuration file to an exit status.

Both `function_router.cli` and `function_router.__main__` use it; it imports no command-line library.
"""

import gc
import signal
import sys

from function_router import config as configuration
from function_router.net.router_process import RouterProcess
from function_router.net.transient_errors import retry_at_startup

EXIT_OK = 0
EXIT_INVALID_CONFIGURATION = 2


def serve(path: str | None = None) -> int:
    """Serve until SIGTERM, configured by the file at `path` or else the one that ROUTER_CONFIG names.

    Returns:
        The exit status: 0 once all admitted requests are answered, 2 if the configuration is invalid; the
        key is then named on standard error.
    """
    # SIGHUP stays blocked until the event loop has its handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        router = _create_router(path)
    except configuration.ConfigurationError as error:
        print(f"function-router: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    gc.freeze()  # the objects made so far are never freed, so the garbage collector need not visit them
    router.serve()
    return EXIT_OK


def _create_router(path: str | None) -> RouterProcess:
    """Create the router process, which reads the configuration again at SIGHUP.

    Raises:
        ConfigurationError: The configuration is invalid, or its listen address can't be bound.
    """
    config = retry_at_startup(lambda: configuration.load(path))
    try:
        return retry_at_startup(lambda: RouterProcess(config, read_config=lambda: configuration.load(path)))
    except OSError as error:
        problem = f"{error.strerror}: {config.listen}"
        raise configuration.ConfigurationError(configuration.LISTEN_KEY, problem) from None
