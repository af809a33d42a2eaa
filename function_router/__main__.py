"""The program: ``python -m function_router``."""

import signal
import sys


def main() -> int:
    """Run the command line; `serve` without options is run directly."""
    if sys.argv[1:] == ["serve"]:
        # SIGHUP, which requests a reload, kills a process that has no handler yet: block it before the rest.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        # The command-line library takes longer to import than everything else, and serving does not need it:
        # without it, the router is ready sooner after a restart.
        from function_router.server import serve  # noqa: PLC0415 (imported once SIGHUP is blocked)

        return serve()
    from function_router.cli import app  # noqa: PLC0415 (see above)

    app(prog_name="function_router")  # ends the process by SystemExit, with the status of the command
    return 0


if __name__ == "__main__":
    sys.exit(main())
