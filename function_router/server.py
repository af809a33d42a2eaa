"""Runs a router process from its configuration file and returns an exit status.

`function_router.cli` and `function_router.__main__` both use this module. It imports no command-line library,
so that `function_router.__main__` can start quickly.
"""

import gc
import signal
import sys

from function_router import config as configuration
from function_router.net.router_process import RouterProcess
from function_router.net.transient_errors import retry_at_startup

EXIT_OK = 0
EXIT_INVALID_CONFIGURATION = 2
# Prefix of messages on standard output and standard error that are not log lines.
MESSAGE_PREFIX = "function-router: "


def serve(path: str | None = None) -> int:
    """Serve until SIGTERM.

    Args:
        path: The configuration file; by default, the file that ROUTER_CONFIG names.

    Returns:
        The exit status: 0 after SIGTERM, once all admitted requests are answered; 2 if the configuration is
        invalid, in which case a message on standard error names the key.
    """
    # SIGHUP stays blocked until the event loop has installed its signal handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        router = _create_router(path)
    except configuration.ConfigurationError as error:
        print(f"{MESSAGE_PREFIX}{error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    gc.freeze()  # startup objects live until exit; exclude them from garbage collection
    router.serve()
    return EXIT_OK


def _create_router(path: str | None) -> RouterProcess:
    """Create the router process, which reloads the configuration on SIGHUP.

    Raises:
        ConfigurationError: The configuration is invalid, or its listen address cannot be bound.
    """
    config = retry_at_startup(lambda: configuration.load(path))
    try:
        return retry_at_startup(lambda: RouterProcess(config, read_config=lambda: configuration.load(path)))
    except OSError as error:
        problem = f"{error.strerror}: {config.listen}"
        raise configuration.ConfigurationError(configuration.LISTEN_KEY, problem) from None
