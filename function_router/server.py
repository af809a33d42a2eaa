"""Serving from a configuration file to an exit status, for the command line and the fast way in."""

import gc
import signal
import sys

from function_router import config as configuration
from function_router.net.router_process import RouterProcess


def serve(path: str | None = None) -> int:
    """Serve until SIGTERM; 0 when all that was admitted is answered, 2 with the key's name on a bad start."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # until the loop has its handlers
    try:
        router = _bound(configuration.load(path), path)
    except configuration.ConfigurationError as error:
        print(f"function-router: {error}", file=sys.stderr)
        return 2
    gc.freeze()  # what the start has made stays: no collection needs to walk it
    router.serve()
    return 0


def _bound(config: configuration.RouterConfig, path: str | None) -> RouterProcess:
    try:
        return RouterProcess(config, reread=lambda: configuration.load(path))
    except OSError as error:
        raise configuration.ConfigurationError(f"listen: {error.strerror}: {config.listen}") from None
