"""Reads the configuration from its file and the environment."""

import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from function_router.config.conversion import decision_settings, transport_settings
from function_router.config.errors import ConfigurationError, UnreadableFileError
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

# Environment variables: the path of the file, and what takes precedence over the keys in it.
CONFIG_VARIABLE = "ROUTER_CONFIG"
LISTEN_VARIABLE = "ROUTER_LISTEN"
NAME_VARIABLE = "ROUTER_NAME"


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> RouterConfig:
    """Load the configuration from the file at `path`, or else from the one that ROUTER_CONFIG names.

    Raises:
        UnreadableFileError: The file could not be read.
        ConfigurationError: No file is named, it is not JSON, or a key in it is invalid.
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
    """Build the whole configuration from decoded JSON and the environment.

    Raises:
        ConfigurationError: A key or an environment variable is invalid.
    """
    file = parse_section(data, ConfigurationFile)
    listen = environment.get(LISTEN_VARIABLE) or file.listen
    return RouterConfig(
        name=environment.get(NAME_VARIABLE) or file.name,
        listen=parse_address(listen, LISTEN_KEY),
        endpoint_log=parse_address(file.changelog, ENDPOINT_LOG_KEY),
        seed=parse_seed(file.seed),
        memory_mb=file.limits.memory_mb,
        max_sockets=file.limits.sockets,
        initial_sequence=file.known.seq,
        initial_events=file.known.results,
        settings=decision_settings(file.settings),
        transport=transport_settings(file.settings),
    )


def parse_settings(data: object) -> Settings:
    """Build the settings of the decisions from decoded JSON, as the simulator hands them to each router.

    Raises:
        ConfigurationError: A key is invalid.
    """
    return decision_settings(parse_section(data, SettingsSection, SETTINGS_KEY))


def parse_endpoint_list(data: object) -> EndpointList:
    """Build the endpoint list from the decoded JSON of an event of the endpoint log.

    Raises:
        ConfigurationError: A key is invalid.
    """
    return parse_section(data, EndpointList, ENDPOINT_LIST_KEY)
