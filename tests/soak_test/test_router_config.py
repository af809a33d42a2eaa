"""Tests of the configuration that the soak test writes for a router."""

import json

import msgspec
import pytest

from function_router.config.schema import ConfigurationFile
from soak import site
from soak.endpoint_events import Endpoint, EndpointEvent, EndpointPhase
from soak.router_config import RouterConfig, make_settings

EVENT = EndpointEvent(1, (Endpoint("s-0", 0, EndpointPhase.READY, 0.0),), is_complete=True)


@pytest.fixture
def config():
    """Return the configuration of one of 4 routers, with 2 workers."""
    return RouterConfig(
        name="n0",
        port=28_000,
        seed="00",
        settings=make_settings(router_count=4, worker_count=2),
        endpoint_log_port=28_001,
        known_sequence=1,
        known_events=[EVENT.to_wire([20_000])],
        memory_mb=64,
        max_sockets=256,
    )


def test_router_reads_the_configuration(config):
    read = msgspec.json.decode(config.encode(), type=ConfigurationFile)

    assert (read.name, read.listen, read.changelog) == ("n0", "127.0.0.1:28000", "127.0.0.1:28001")
    assert read.known.seq == 1
    assert (read.limits.memory_mb, read.limits.sockets) == (64, 256)
    assert [each.effect for each in read.settings.classes] == list(site.RETRY_SAFETY_BY_CLASS.values())
    assert [each.name for each in read.settings.classes] == list(site.CLASS_SHARES)


def test_each_section_has_only_keys_that_the_router_knows(config):
    known = json.loads(msgspec.json.encode(msgspec.json.decode(config.encode(), type=ConfigurationFile)))

    written = json.loads(config.encode())

    assert written.keys() <= known.keys()
    assert written["settings"].keys() <= known["settings"].keys()
    for name in ("bounds", "family_info", "invariants", "costs"):
        assert written["settings"][name].keys() <= known["settings"][name].keys()


def test_quotas_share_the_capacity_of_all_workers(config):
    quotas = [tenant["quota_rps"] for tenant in config.settings["tenants"]]

    assert sum(quotas) == pytest.approx(2 * site.WORKER_CAPACITY_RPS)
