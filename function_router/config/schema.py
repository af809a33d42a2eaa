"""Schema of the JSON in the configuration file, the simulator's settings and the endpoint log.

Each attribute has the name of its JSON key, which the operator defines; msgspec ignores other keys.
`function_router.config.conversion` maps the keys to the program's own names. `limits.cores` and
`fleet.revision` are validated but not used. Times are milliseconds.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from function_router.decisions.types import DeduplicationScope, RetrySafety

NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Milliseconds = NonNegativeFloat

# Keys that appear in error messages.
ENDPOINT_LIST_KEY = "fleet"
ENDPOINT_LOG_KEY = "changelog"
INITIAL_EVENTS_KEY = "known.results"
LISTEN_KEY = "listen"
SEED_KEY = "seed"
SETTINGS_KEY = "settings"
WHOLE_FILE_KEY = "configuration"  # not a key of the JSON: stands for the file as a whole in error messages

# With fewer sockets, neither the connections to workers nor those of clients would get a useful share.
MIN_SOCKETS = 32

# Values of `weight_source` with which the size of an endpoint is that of its machine and never changes.
FIXED_WEIGHT_SOURCES = ("nominal", "rough")

# Value of `not_loaded` with which a worker starts an instance if a request finds none.
START_ON_REQUEST = "load"


class ClassSection(Struct):
    """A request class (an element of `settings.classes`)."""

    name: str
    promise: Milliseconds = 1000.0
    give_up: Milliseconds = 2500.0
    effect: RetrySafety = RetrySafety.AT_MOST_ONCE
    group: DeduplicationScope = DeduplicationScope.ALL
    dedup_window: Milliseconds = 0.0
    worth: float = 1.0
    late_share: float = 0.0


class TenantSection(Struct):
    """A tenant (an element of `settings.tenants`)."""

    name: str
    quota_rps: NonNegativeFloat | None = None  # requests/s, shared by all routers; None: no quota


class RoutingLimitsSection(Struct):
    """Limits for attempts, retries, connections and pending requests (`settings.bounds`)."""

    cancel: bool = True
    second_copies: bool = True
    max_attempts: PositiveInt = 1
    retry_after: bool = False
    max_retry_after: Milliseconds = 0.0
    dial_timeout: Milliseconds = 250.0
    keepalive: Milliseconds = 15_000.0
    streams_per_conn: PositiveInt = 32
    max_open: PositiveInt = 20_000


class InstanceLifecycleSection(Struct):
    """How workers start and stop instances of functions (`settings.family_info`)."""

    may_order: bool = True
    idle_life: Milliseconds = 10_000.0
    load_window: Milliseconds = 0.0
    free_loads: NonNegativeFloat = 0.0
    load_part: NonNegativeFloat = 0.0
    load_wait: Milliseconds = 10_000.0
    not_loaded: str = "miss"
    notes_peers_in_hand: bool = False


class InvariantsSection(Struct):
    """Rules for workers that drain or are in slow start (`settings.invariants`)."""

    drain_grace: Milliseconds = 1_000.0
    cold: Milliseconds = 10_000.0
    cold_share: NonNegativeFloat = 0.2
    fall: Milliseconds = 1_000.0
    fall_multiple: NonNegativeFloat = 2.0


class CostsSection(Struct):
    """Costs of operations that the operator charges for (`settings.costs`)."""

    handshake: NonNegativeFloat = 0.0  # cost of a connection to a worker
    probe: NonNegativeFloat = 0.0  # cost of a probe or a health check for each request


class SettingsSection(Struct):
    """The settings of a router (`settings` in the file, `config` in messages of the simulator)."""

    classes: list[ClassSection] = []
    tenants: list[TenantSection] = []
    bounds: RoutingLimitsSection = msgspec.field(default_factory=RoutingLimitsSection)
    family_info: InstanceLifecycleSection = msgspec.field(default_factory=InstanceLifecycleSection)
    invariants: InvariantsSection = msgspec.field(default_factory=InvariantsSection)
    costs: CostsSection = msgspec.field(default_factory=CostsSection)
    fleet_size: PositiveInt = 1
    locality: str = ""
    tick: Milliseconds = 1.0
    weight_source: str = "none"


class ResourceLimitsSection(Struct):
    """Resources of the machine that the process may use (`limits`)."""

    cores: NonNegativeFloat = 1.0
    memory_mb: PositiveInt = 192
    sockets: Annotated[int, Meta(ge=MIN_SOCKETS)] = 1024


class InitialEventsSection(Struct):
    """The events of the endpoint log that are known at startup (`known`)."""

    seq: NonNegativeInt = 0
    results: list[dict[str, Any]] = []


class ConfigurationFile(Struct):
    """The whole configuration file."""

    settings: SettingsSection
    changelog: str
    name: str = ""
    listen: str = ""
    seed: str | int = 0
    limits: ResourceLimitsSection = msgspec.field(default_factory=ResourceLimitsSection)
    known: InitialEventsSection = msgspec.field(default_factory=InitialEventsSection)


class EndpointRecord(Struct, frozen=True):
    """A worker in an event of the endpoint log (an element of `fleet.members`)."""

    id: str
    phase: Literal["in_service", "terminating", "terminated"]
    host_port: str = ""
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    size: float = 1.0
    up_since_ms: float = 0.0  # Unix time of the start if it was recent; 0: started long ago


class EndpointList(Struct, frozen=True):
    """The endpoint list, or the changes to it, in an event of the endpoint log (`fleet`)."""

    members: list[EndpointRecord]
    complete: bool = False  # False: `members` has only the endpoints that changed
    revision: int = 0
