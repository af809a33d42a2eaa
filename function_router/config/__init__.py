"""Reads the router's configuration, checks it and fills in the defaults.

Both hosts of the decisions use this package: the router process for its whole configuration, the simulator
adapter for the settings of each simulated router. Unknown keys are ignored, absent and null ones have their
defaults, and an invalid one raises `ConfigurationError`, whose text starts with the key.

`schema` describes the JSON in the words of the operator's pages, `types` the configuration in the program's.
`loader` reads the file and the environment, `parsing` checks values, and `conversion` gets from one to the
other. The modules outside this package import from here.
"""

from function_router.config.errors import ConfigurationError, UnreadableFileError
from function_router.config.loader import load, parse_config, parse_endpoint_list, parse_settings
from function_router.config.parsing import parse_address
from function_router.config.schema import (
    INITIAL_EVENTS_KEY,
    LISTEN_KEY,
    EndpointList,
    EndpointRecord,
)
from function_router.config.types import Address, RouterConfig, TransportSettings

__all__ = [
    "INITIAL_EVENTS_KEY",
    "LISTEN_KEY",
    "Address",
    "ConfigurationError",
    "EndpointList",
    "EndpointRecord",
    "RouterConfig",
    "TransportSettings",
    "UnreadableFileError",
    "load",
    "parse_address",
    "parse_config",
    "parse_endpoint_list",
    "parse_settings",
]
