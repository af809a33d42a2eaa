"""Entry point of ``python -m function_router``."""

import signal
import sys


def main() -> int:
    """Run the command line interface; `serve` without options bypasses it.

    Returns:
        The exit status.
    """
    if sys.argv[1:] == ["serve"]:
        # SIGHUP requests a reload, but terminates a process that has no handler for it yet. Block it before
        # any slow import.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        # Importing the command-line library takes longer than everything else, and serving does not need it.
        # Without that import, the router is ready sooner after a restart.
        from function_router.server import serve  # noqa: PLC0415 (import only after SIGHUP is blocked)

        return serve()
    from function_router.cli import app  # noqa: PLC0415 (slow import that `serve` does not need)

    app(prog_name="function_router")  # raises SystemExit with the exit status of the command
    return 0


if __name__ == "__main__":
    sys.exit(main())
