"""Serves from a configuration file to an exit status, for the command line and the direct entry point."""

import gc
import signal
import sys

from function_router import config as configuration
from function_router.config.loader import LISTEN_KEY
from function_router.net.router_process import RouterProcess
from function_router.net.transient_errors import retry_at_start

EXIT_OK = 0
EXIT_INVALID_CONFIGURATION = 2


def serve(path: str | None = None) -> int:
    """Serve until SIGTERM, from the file at `path` or where ROUTER_CONFIG says.

    Returns:
        The exit status: 0 when all that was admitted is answered, 2 when the configuration is invalid, in
        which case its key is named on standard error.
    """
    # SIGHUP stays blocked until the event loop has its handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        router = _create_router(path)
    except configuration.ConfigurationError as error:
        print(f"function-router: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    gc.freeze()  # what the start has made stays: no collection needs to walk it
    router.serve()
    return EXIT_OK


def _create_router(path: str | None) -> RouterProcess:
    """The router process, which reads the configuration again on SIGHUP.

    Raises:
        ConfigurationError: The configuration is invalid, or its listen address can't be bound.
    """
    config = retry_at_start(lambda: configuration.load(path))
    try:
        return retry_at_start(lambda: RouterProcess(config, reread=lambda: configuration.load(path)))
    except OSError as error:
        problem = f"{error.strerror}: {config.listen}"
        raise configuration.ConfigurationError.at(LISTEN_KEY, problem) from None
