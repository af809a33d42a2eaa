"""Loads and validates the router's configuration, and applies the defaults.

The router process uses this package for its whole configuration, the simulator adapter for the settings of
each simulated router. Unknown keys are ignored, and absent or null keys take their defaults. A key with an
invalid value raises `ConfigurationError`, whose message starts with the key.

`schema` describes the JSON with the operator's key names, and `types` the configuration with the program's
own names. `loader` reads the file and the environment variables, `parsing` validates values, and `conversion`
maps the JSON to the types. Modules outside this package import its names from here.
"""

from function_router.config.errors import ConfigurationError, UnreadableFileError
from function_router.config.loader import load, parse_config, parse_endpoint_list, parse_settings
from function_router.config.memory import MEBIBYTE, MemoryPlan
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
    "MEBIBYTE",
    "Address",
    "ConfigurationError",
    "EndpointList",
    "EndpointRecord",
    "MemoryPlan",
    "RouterConfig",
    "TransportSettings",
    "UnreadableFileError",
    "load",
    "parse_address",
    "parse_config",
    "parse_endpoint_list",
    "parse_settings",
]
