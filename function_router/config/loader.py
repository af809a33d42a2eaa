"""Reads the JSON of `schema`, checks it and makes of it what the program works with."""

import ipaddress
import os
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

import msgspec

from function_router.config.schema import (
    FIXED_WEIGHT_SOURCES,
    START_ON_REQUEST,
    BoundsSection,
    ClassSection,
    ConfigurationFile,
    EndpointList,
    SettingsSection,
)
from function_router.config.types import (
    Address,
    ConfigurationError,
    RouterConfig,
    TransportSettings,
    UnreadableFileError,
)
from function_router.decisions.settings import RequestClass, Settings

# Environment variables; the last two take precedence over the keys of the file.
CONFIG_VARIABLE = "ROUTER_CONFIG"
LISTEN_VARIABLE = "ROUTER_LISTEN"
NAME_VARIABLE = "ROUTER_NAME"

# Keys that error messages name.
ENDPOINT_LOG_KEY = "changelog"
FLEET_KEY = "fleet"
LISTEN_KEY = "listen"
SEED_KEY = "seed"
SETTINGS_KEY = "settings"
WHOLE_FILE = "configuration"

# What msgspec puts between the text of an error and the path of the value.
MSGSPEC_PATH_SEPARATOR = " - at `$"

MAX_PORT = 65_535
HEXADECIMAL = 16

# Values are quoted in error messages up to these lengths, so that a message stays one short line.
MAX_QUOTED_ADDRESS = 60
MAX_QUOTED_SEED = 40

SchemaT = TypeVar("SchemaT")


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> RouterConfig:
    """The configuration in the file at `path`, or where ROUTER_CONFIG says.

    Raises:
        UnreadableFileError: The file could not be read.
        ConfigurationError: There is no such file, it is not JSON, or a key in it is invalid.
    """
    place = path or environment.get(CONFIG_VARIABLE)
    if not place:
        raise ConfigurationError.at(CONFIG_VARIABLE, "not set, and no path given")
    try:
        data = msgspec.json.decode(Path(place).read_bytes())
    except OSError as error:
        text = f"{CONFIG_VARIABLE}: {error.strerror}: {place}"
        raise UnreadableFileError(text, error.errno) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigurationError.at(CONFIG_VARIABLE, f"not JSON: {error}") from None
    return parse_config(data, environment)


def parse_config(data: object, environment: Mapping[str, str]) -> RouterConfig:
    """The whole configuration, from decoded JSON and the environment.

    Raises:
        ConfigurationError: A key or a variable is invalid.
    """
    file = _convert(data, ConfigurationFile)
    listen = environment.get(LISTEN_VARIABLE) or file.listen
    return RouterConfig(
        name=environment.get(NAME_VARIABLE) or file.name,
        listen=parse_address(listen, LISTEN_KEY),
        endpoint_log=parse_address(file.changelog, ENDPOINT_LOG_KEY),
        seed=_parse_seed(file.seed),
        memory_mb=file.limits.memory_mb,
        max_sockets=file.limits.sockets,
        known_seq=file.known.seq,
        known_events=file.known.results,
        settings=_decision_settings(file.settings),
        wire=_transport_settings(file.settings),
    )


def parse_settings(config: object) -> Settings:
    """The settings of the decisions, from the decoded JSON that an instance is given.

    Raises:
        ConfigurationError: A key is invalid.
    """
    return _decision_settings(_convert(config, SettingsSection, SETTINGS_KEY))


def parse_endpoint_list(data: object) -> EndpointList:
    """The list in an event of the endpoint log.

    Raises:
        ConfigurationError: A key is invalid.
    """
    return _convert(data, EndpointList, FLEET_KEY)


def parse_address(text: str, key: str) -> Address:
    """A numeric address and port; names are not looked up, as there is no DNS.

    Raises:
        ConfigurationError: The text, which stands at `key`, is no such address.
    """
    host, _, port_text = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        port = int(port_text)
    except ValueError:
        problem = f"not an address and port: {text[:MAX_QUOTED_ADDRESS]!r}"
        raise ConfigurationError.at(key, problem) from None
    if not 0 <= port <= MAX_PORT:
        raise ConfigurationError.at(key, f"no such port: {port}")
    return host, port


def _parse_seed(seed: str | int) -> int:
    if isinstance(seed, int):
        return seed
    try:
        return int(seed, HEXADECIMAL)
    except ValueError:
        problem = f"not a hexadecimal number: {seed[:MAX_QUOTED_SEED]!r}"
        raise ConfigurationError.at(SEED_KEY, problem) from None


def _convert(data: object, schema: type[SchemaT], prefix: str = "") -> SchemaT:
    """The data as the schema has it; an error names the key, behind the prefix."""
    try:
        return msgspec.convert(_without_nulls(data), schema)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(MSGSPEC_PATH_SEPARATOR)
        key = (prefix + path.rstrip("`")).lstrip(".")
        raise ConfigurationError.at(key or WHOLE_FILE, problem) from None
    except RecursionError:
        raise ConfigurationError.at(prefix or WHOLE_FILE, "nested too deeply") from None


def _without_nulls(value: object) -> object:
    """The same JSON without keys whose value is null: they have their defaults, as absent ones."""
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def _decision_settings(section: SettingsSection) -> Settings:
    bounds = section.bounds
    family = section.family_info
    invariants = section.invariants
    quotas_rps = {tenant.name: tenant.quota_rps for tenant in section.tenants if tenant.quota_rps is not None}
    return Settings(
        classes={spec.name: _request_class(spec) for spec in section.classes},
        tenant_quotas_rps=quotas_rps,
        router_count=section.fleet_size,
        zone=section.locality,
        tick_ms=section.tick,
        worker_sizes_known=section.weight_source in FIXED_WEIGHT_SOURCES,
        can_order_starts=family.may_order,
        can_cancel=bounds.cancel,
        can_hedge=bounds.second_copies,
        max_attempts=bounds.max_attempts,
        max_retry_after_ms=_max_retry_after_ms(bounds),
        keep_alive_ms=family.idle_life,
        starts_on_request=family.not_loaded == START_ON_REQUEST,
        start_order_window_ms=family.load_window,
        start_order_burst=family.free_loads,
        start_orders_per_request=family.load_part,
        slow_start_ms=invariants.cold,
        slow_start_initial=invariants.cold_share,
        overload_window_ms=invariants.fall,
        overload_multiple=invariants.fall_multiple,
    )


def _request_class(section: ClassSection) -> RequestClass:
    return RequestClass(
        name=section.name,
        latency_objective_ms=section.promise,
        timeout_ms=section.give_up,
        retry_safety=section.effect,
        deduplication_scope=section.group,
        idempotency_window_ms=section.dedup_window,
        priority_weight=section.worth,
        late_value_share=section.late_share,
    )


def _max_retry_after_ms(bounds: BoundsSection) -> float:
    return bounds.max_retry_after if bounds.retry_after else 0.0


def _transport_settings(section: SettingsSection) -> TransportSettings:
    bounds = section.bounds
    family = section.family_info
    return TransportSettings(
        connect_timeout_ms=bounds.dial_timeout,
        keepalive_ms=bounds.keepalive,
        max_exchanges_per_connection=bounds.streams_per_conn,
        max_pending_requests=bounds.max_open,
        max_retry_after_ms=_max_retry_after_ms(bounds),
        start_order_timeout_ms=family.load_wait,
        reports_in_flight=family.notes_peers_in_hand,
        may_preconnect=section.costs.handshake == 0,
        tenants=frozenset(tenant.name for tenant in section.tenants),
    )
