"""Tests of the clients that withdraw requests in bulk."""

import pytest

from soak.clients import Clients
from soak.request_client import draw_request


# Guards against ids that usual and bulk requests share, which look like a request that ran twice.
@pytest.mark.parametrize("seed", [1, 245])
def test_ids_of_bulk_withdrawals_differ_from_those_of_usual_requests(seed):
    clients = Clients(None, function_count=8, seed=seed, connections_per_router=1)

    ids = [draw_request(clients._rng, ["f"], [1.0]).request_id.encode() for _ in range(4_000)]

    assert [request_id for request_id in ids if request_id in clients._withdrawn_requests] == []
