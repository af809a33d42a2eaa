"""Loads the configuration from its file and from environment variables."""

import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from function_router.config.conversion import decision_settings, transport_settings, with_memory_limits
from function_router.config.errors import ConfigurationError, UnreadableFileError
from function_router.config.memory import MemoryPlan
from function_router.config.parsing import parse_address, parse_section, parse_seed
from function_router.config.schema import (
    ENDPOINT_LIST_KEY,
    ENDPOINT_LOG_KEY,
    LISTEN_KEY,
    SETTINGS_KEY,
    ConfigurationFile,
    EndpointList,
    SettingsSection,
)
from function_router.config.types import RouterConfig
from function_router.decisions.settings import Settings

CONFIG_VARIABLE = "ROUTER_CONFIG"  # environment variable: path of the configuration file
# Environment variables that override the keys `listen` and `name` of the file.
LISTEN_VARIABLE = "ROUTER_LISTEN"
NAME_VARIABLE = "ROUTER_NAME"


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> RouterConfig:
    """Load the configuration from a file and from environment variables.

    Args:
        path: The file; by default, the one that ROUTER_CONFIG names.
        environment: The environment variables.

    Raises:
        UnreadableFileError: The file could not be read.
        ConfigurationError: No file is named, the file is not valid JSON, or the value of a key is invalid.
    """
    file_path = path or environment.get(CONFIG_VARIABLE)
    if not file_path:
        raise ConfigurationError(CONFIG_VARIABLE, "not set, and no path given")
    try:
        data = msgspec.json.decode(Path(file_path).read_bytes())
    except OSError as error:
        problem = f"{error.strerror}: {file_path}"
        raise UnreadableFileError(CONFIG_VARIABLE, problem, error.errno) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError(CONFIG_VARIABLE, f"not JSON: {error}") from None
    return parse_config(data, environment)


def parse_config(data: object, environment: Mapping[str, str]) -> RouterConfig:
    """Build the whole configuration from decoded JSON and environment variables.

    Raises:
        ConfigurationError: The value of a key or of an environment variable is invalid.
    """
    file = parse_section(data, ConfigurationFile)
    listen = environment.get(LISTEN_VARIABLE) or file.listen
    memory = MemoryPlan.for_limits(file.limits.memory_mb, file.limits.sockets)
    return RouterConfig(
        name=environment.get(NAME_VARIABLE) or file.name,
        listen=parse_address(listen, LISTEN_KEY),
        endpoint_log=parse_address(file.changelog, ENDPOINT_LOG_KEY),
        seed=parse_seed(file.seed),
        memory_mb=file.limits.memory_mb,
        max_sockets=file.limits.sockets,
        initial_sequence=file.known.seq,
        initial_events=file.known.results,
        settings=with_memory_limits(decision_settings(file.settings), memory),
        transport=transport_settings(file.settings),
    )


def parse_settings(data: object) -> Settings:
    """Build the settings of the decision module from the decoded JSON that the simulator sends for a router.

    Raises:
        ConfigurationError: The value of a key is invalid.
    """
    return decision_settings(parse_section(data, SettingsSection, SETTINGS_KEY))


def parse_endpoint_list(data: object) -> EndpointList:
    """Build the endpoint list from the decoded JSON in an event of the endpoint log.

    Raises:
        ConfigurationError: The value of a key is invalid.
    """
    return parse_section(data, EndpointList, ENDPOINT_LIST_KEY)
