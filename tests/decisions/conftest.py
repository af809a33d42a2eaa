"""Fixtures for the tests of leases."""

import pytest
from helpers.lease_harness import LeaseHarness


@pytest.fixture
def harness():
    """Return a router whose endpoint list is current."""
    return LeaseHarness()


@pytest.fixture
def stale_harness(harness):
    """Return a router whose list has expired, and which has a health check of its warm worker pending."""
    harness.expire_list()
    harness.request("r1")
    return harness
