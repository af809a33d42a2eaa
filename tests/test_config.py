"""Tests of `function_router.config`."""

import pytest
from helpers.configuration import SETTINGS

from function_router.config import (
    ConfigurationError,
    load,
    parse_address,
    parse_config,
    parse_endpoint_list,
    parse_settings,
)
from function_router.errors import FunctionRouterError

VALID_CONFIG = {"listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "seed": "8c1f", "settings": SETTINGS}


def with_settings(**change):
    return {"settings": SETTINGS | change}


def test_absent_and_null_keys_have_their_defaults():
    config = parse_config(VALID_CONFIG | {"name": None}, {})

    assert (config.listen, config.name, config.seed) == (("127.0.0.1", 0), "", 0x8C1F)
    assert (config.memory_mb, config.max_sockets, config.initial_sequence) == (192, 1024, 0)
    assert config.transport.connection_keepalive_ms == 15_000.0


def test_environment_takes_precedence_over_listen_and_name():
    environment = {"ROUTER_LISTEN": "127.0.0.9:41", "ROUTER_NAME": "n3"}

    config = parse_config(VALID_CONFIG | {"name": None}, environment)

    assert (config.listen, config.name, config.seed) == (("127.0.0.9", 41), "n3", 0x8C1F)


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("listen", {"listen": "nowhere"}),
        ("listen", {"listen": "127.0.0.1:99999"}),
        ("listen", {"listen": "example.org:80"}),
        ("changelog", {"changelog": 5}),
        ("changelog", {"changelog": ""}),
        ("seed", {"seed": "xyz"}),
        ("limits.sockets", {"limits": {"sockets": 2}}),
        ("limits.memory_mb", {"limits": {"memory_mb": "much"}}),
        ("settings", {"settings": []}),
        ("settings.classes[0].effect", with_settings(classes=[{"name": "x", "effect": "sometimes"}])),
        ("settings.classes[0]", with_settings(classes=[{"promise": 3}])),
        ("settings.bounds.keepalive", with_settings(bounds={"keepalive": -1})),
        ("settings.family_info.load_wait", with_settings(family_info={"load_wait": "long"})),
        ("known.seq", {"known": {"seq": -1}}),
        ("settings.fleet_size", with_settings(fleet_size=0)),
    ],
)
def test_invalid_value_is_reported_with_its_key(key, change):
    with pytest.raises(ConfigurationError) as caught:
        parse_config(VALID_CONFIG | change, {})

    assert caught.value.key == key
    assert str(caught.value) == f"{key}: {caught.value.problem}"


@pytest.mark.parametrize(
    ("change", "allowed_range"),
    [
        ({"listen": "127.0.0.1:65536"}, "from 0 to 65535"),
        ({"limits": {"sockets": 2}}, ">= 32"),
        (with_settings(fleet_size=0), ">= 1"),
    ],
    ids=["port", "sockets", "routers"],
)
def test_value_out_of_range_is_reported_with_the_allowed_range(change, allowed_range):
    with pytest.raises(ConfigurationError) as caught:
        parse_config(VALID_CONFIG | change, {})

    assert allowed_range in caught.value.problem


@pytest.mark.parametrize(
    "environment",
    [{}, {"ROUTER_CONFIG": "/nonexistent/config.json"}, {"ROUTER_CONFIG": __file__}],
    ids=["not set", "no such file", "not JSON"],
)
def test_unreadable_file_is_reported_with_its_variable(environment):
    with pytest.raises(ConfigurationError, match="ROUTER_CONFIG"):
        load(None, environment)


@pytest.mark.parametrize(
    "endpoint_list",
    [None, [], {"members": [{"id": "s"}]}, {"members": [{"id": "s", "phase": "asleep"}]}],
)
def test_invalid_endpoint_list_is_reported_as_fleet(endpoint_list):
    with pytest.raises(ConfigurationError, match=r"^fleet"):
        parse_endpoint_list(endpoint_list)


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:0", ("127.0.0.1", 0)),
        ("127.0.0.1:65535", ("127.0.0.1", 65535)),
        ("[::1]:41", ("::1", 41)),
    ],
)
def test_numeric_address_and_port_are_parsed(text, address):
    assert parse_address(text, "listen") == address


def test_settings_are_converted_to_the_names_of_the_program():
    settings = parse_settings(
        {
            "bounds": {"retry_after": False, "max_retry_after": 500.0, "unknown": 1},
            "family_info": {"not_loaded": "load", "idle_life": 9000.0},
            "tenants": [{"name": "acme", "quota_rps": 5.0}, {"name": "other", "quota_rps": None}],
            "weight_source": "rough",
        }
    )

    assert settings.max_retry_after_ms == 0.0
    assert settings.starts_on_request
    assert settings.instance_keep_alive_ms == 9000.0
    assert settings.tenant_quotas_rps == {"acme": 5.0}
    assert settings.worker_sizes_known


def test_configuration_error_is_a_function_router_error_and_a_value_error():
    assert issubclass(ConfigurationError, FunctionRouterError)
    assert issubclass(ConfigurationError, ValueError)
