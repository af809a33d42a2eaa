"""The program: ``python -m function_router``."""

import signal
import sys


def main() -> int:
    """Run the command line, or serve directly where that is all that is asked for."""
    if sys.argv[1:] == ["serve"]:
        # SIGHUP, which asks for a reload, ends a program that has no handler yet: block it first of all.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        # The libraries of the command line take longer to import than all the rest, and serving needs none
        # of them: without them, the router is ready sooner after a restart.
        from function_router.server import serve  # noqa: PLC0415 (imported once SIGHUP is blocked)

        return serve()
    from function_router.cli import app  # noqa: PLC0415 (see above)

    app(prog_name="function_router")  # ends the process by SystemExit, with the status of the command
    return 0


if __name__ == "__main__":
    sys.exit(main())
