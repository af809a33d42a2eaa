"""Reads the router's configuration and settings, checks them and fills in the defaults.

Both hosts of the decisions use this package: the simulator adapter for the settings of an instance, the
router process for its whole configuration. Unknown keys are ignored, absent and null ones keep their
defaults, and an invalid one raises `ConfigurationError`, whose text starts with the key.

`schema` holds the JSON as the operator's pages name it, `types` what the program works with, and `loader`
reads the one and makes the other.
"""

from function_router.config.loader import (
    load,
    parse_address,
    parse_config,
    parse_endpoint_list,
    parse_settings,
)
from function_router.config.schema import EndpointList, EndpointRecord
from function_router.config.types import (
    Address,
    ConfigurationError,
    RouterConfig,
    TransportSettings,
    UnreadableFileError,
)

__all__ = [
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
