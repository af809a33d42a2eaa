"""Fixtures of the tests of leases."""

import pytest
from helpers.lease_harness import LeaseHarness


@pytest.fixture
def harness():
    """A router whose endpoint list is current."""
    return LeaseHarness()


@pytest.fixture
def checking(harness):
    """The same router when the list has expired and its warm worker has just been asked for a request."""
    harness.let_list_expire()
    harness.request("r1")
    return harness
