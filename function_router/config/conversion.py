"""Converts sections of the configuration, with the operator's key names, to the program's settings."""

import msgspec

from function_router.config.memory import MemoryPlan
from function_router.config.schema import (
    FIXED_WEIGHT_SOURCES,
    START_ON_REQUEST,
    ClassSection,
    RoutingLimitsSection,
    SettingsSection,
)
from function_router.config.types import TransportSettings
from function_router.decisions.settings import RequestClass, Settings


def decision_settings(section: SettingsSection) -> Settings:
    """Build the settings of the decision module."""
    bounds = section.bounds
    family = section.family_info
    invariants = section.invariants
    quotas_rps = {tenant.name: tenant.quota_rps for tenant in section.tenants if tenant.quota_rps is not None}
    return Settings(
        classes={class_.name: _request_class(class_) for class_ in section.classes},
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
        instance_keep_alive_ms=family.idle_life,
        starts_on_request=family.not_loaded == START_ON_REQUEST,
        start_order_window_ms=family.load_window,
        start_order_burst=family.free_loads,
        start_orders_per_request=family.load_part,
        drain_grace_ms=invariants.drain_grace,
        slow_start_ms=invariants.cold,
        slow_start_initial=invariants.cold_share,
        overload_window_ms=invariants.fall,
        overload_multiple=invariants.fall_multiple,
        health_check_cost=section.costs.probe,
    )


def with_memory_limits(settings: Settings, memory: MemoryPlan) -> Settings:
    """Return the settings of the decision module with tables that fit into the memory of the process."""
    return msgspec.structs.replace(
        settings, functions_bytes=memory.functions_bytes, max_pending_probes=memory.max_pending_probes
    )


def transport_settings(section: SettingsSection) -> TransportSettings:
    """Build the settings of the network code."""
    bounds = section.bounds
    family = section.family_info
    return TransportSettings(
        connect_timeout_ms=bounds.dial_timeout,
        connection_keepalive_ms=bounds.keepalive,
        max_exchanges_per_connection=bounds.streams_per_conn,
        max_pending_requests=bounds.max_open,
        max_retry_after_ms=_max_retry_after_ms(bounds),
        start_order_timeout_ms=family.load_wait,
        workers_report_in_flight=family.notes_peers_in_hand,
        may_preconnect=section.costs.handshake == 0,
        tenants=frozenset(tenant.name for tenant in section.tenants),
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


def _max_retry_after_ms(bounds: RoutingLimitsSection) -> float:
    return bounds.max_retry_after if bounds.retry_after else 0.0
