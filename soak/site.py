"""Parameters of the simulated site: request classes, workers and limits.

Some of these parameters are in the routers' configuration, others determine how the simulated workers behave.
The checker verifies that routers respect the limits among them.
"""

from function_router.decisions.types import RetrySafety

RETRY_SAFETY_BY_CLASS = {
    "view": RetrySafety.IDEMPOTENT,
    "save": RetrySafety.IDEMPOTENCY_KEY,
    "settle": RetrySafety.AT_MOST_ONCE,
}
CLASS_SHARES = {"view": 0.6, "save": 0.3, "settle": 0.1}  # share of the requests, by class
LATENCY_OBJECTIVE_MS = 500.0
MAX_TIMEOUT_MS = 2_000.0
IDEMPOTENCY_WINDOW_MS = 1_500.0
MAX_ATTEMPTS = 4

# The workers of a cell share idempotency keys. A worker slot starts in the cell of its number, and a worker
# with a new name is in the next cell.
CELL_COUNT = 4
REPLACEMENT_ERROR_SHARE = 0.1  # share of the requests that a worker with a new name fails after a run
TENANTS = ("north", "south")

WORKER_CONCURRENCY = 2  # concurrent requests per instance
WORKER_CORES = 2  # only for the nominal capacity; the simulated workers have no limit on cores
MEAN_RUN_TIME_S = 0.04  # mean time that a request runs
COLD_START_S = 0.25  # mean duration of a cold start
WORKER_CAPACITY_RPS = WORKER_CORES / MEAN_RUN_TIME_S

SILENT_FUNCTION_PREFIX = "dead"  # workers answer nothing about functions whose names begin with it

SLOW_START_S = 5.0
SLOW_START_INITIAL_SHARE = 0.1  # share of its capacity that a worker may get right after its start
OVERLOAD_WINDOW_S = 1.0
OVERLOAD_MULTIPLE = 1.5  # more than this multiple of the slow start share of the capacity is an overload

START_ORDER_WINDOW_S = 5.0
START_ORDER_BURST = 2  # start orders that a window allows without any requests
START_ORDERS_PER_REQUEST = 0.3  # start orders that a window allows for each request in it


def first_cell(slot: int) -> int:
    """Return the cell of the first worker in a slot."""
    return 1 + slot % CELL_COUNT


def next_cell(cell: int) -> int:
    """Return the cell of a worker with a new name, which takes over the address of one in `cell`."""
    return 1 + cell % CELL_COUNT
