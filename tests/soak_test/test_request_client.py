"""Tests of the random requests of the soak test's clients."""

import random

import pytest

from soak import site
from soak.request_client import GeneratedRequest, draw_request

REQUEST_ID = "ab" * 8


@pytest.mark.parametrize(("class_name", "has_key"), [("view", False), ("save", True), ("settle", False)])
def test_only_a_class_that_is_deduplicated_has_an_idempotency_key(class_name, has_key):
    request = GeneratedRequest(REQUEST_ID, class_name, 1_500, "north", "f")

    assert ("dedupe" in request.fields) == has_key
    assert (request.fields["op"], request.fields["ttl"]) == (class_name, "1500")
    assert request.timeout_s == 1.5


def test_drawn_requests_have_the_parameters_of_the_site():
    rng = random.Random(1)

    requests = [draw_request(rng, ["f", "g"], [1.0, 0.5]) for _ in range(200)]

    assert {request.class_name for request in requests} == set(site.CLASS_SHARES)
    assert {request.tenant for request in requests} == set(site.TENANTS)
    assert {request.function for request in requests} == {"f", "g"}
    assert all(site.MAX_TIMEOUT_MS / 2 <= request.timeout_ms <= site.MAX_TIMEOUT_MS for request in requests)
    assert len({request.request_id for request in requests}) == 200


def test_same_seed_draws_the_same_request():
    requests = [draw_request(random.Random(seed), ["f", "g"], [1.0, 0.5]) for seed in (3, 3, 4)]

    assert requests[0] == requests[1] != requests[2]
