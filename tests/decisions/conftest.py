"""Fixtures for the tests of leases."""

import pytest
from helpers.lease_harness import LeaseHarness


@pytest.fixture
def harness():
    """A router whose endpoint list is current."""
    return LeaseHarness()


@pytest.fixture
def checking(harness):
    """The router after its list has expired, while the health check of its warm worker is pending."""
    harness.let_list_expire()
    harness.request("r1")
    return harness
