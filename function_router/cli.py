"""The command line interface, ``function-router``."""

from typing import Annotated

import typer

from function_router import __version__, config, server

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False)
ConfigPath = Annotated[
    str | None,
    typer.Option("--config", help="Path of the JSON configuration file; defaults to $ROUTER_CONFIG."),
]


@app.command()
def serve(path: ConfigPath = None) -> None:
    """Serve until SIGTERM, then complete the admitted requests and exit."""
    raise typer.Exit(server.serve(path))


@app.command("check-config")
def check_config(path: ConfigPath = None) -> None:
    """Validate the configuration and print a summary."""
    try:
        router_config = config.load(path)
    except config.ConfigurationError as error:
        typer.echo(f"{server.MESSAGE_PREFIX}{error}", err=True)
        raise typer.Exit(server.EXIT_INVALID_CONFIGURATION) from None
    name = router_config.name or "no name"
    host, port = router_config.listen
    class_names = ", ".join(router_config.settings.classes) or "none"
    typer.echo(f"{server.MESSAGE_PREFIX}good: {name} on {host}:{port}, classes: {class_names}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"function_router {__version__}")
