"""Tests of `exchange_queue`."""

import pytest
from helpers.exchanges import start_order

from function_router.net.close_reason import CloseReason
from function_router.net.exchange_queue import ExchangeQueue


@pytest.fixture
def exchanges(results):
    """Three exchanges that deliver their results to the same list."""
    return [start_order(worker_id, results) for worker_id in range(3)]


@pytest.fixture
def queue(exchanges):
    queue = ExchangeQueue()
    for exchange in exchanges:
        queue.append(exchange)
    return queue


def test_aborted_exchange_leaves_the_queue(queue, exchanges, results):
    exchanges[1].abort(CloseReason.CANCELLED)

    assert list(queue) == [exchanges[0], exchanges[2]]
    assert results == [(CloseReason.CANCELLED, False)]


def test_exchanges_are_taken_out_oldest_first(queue, exchanges):
    taken = queue.take_all()

    assert list(taken) == exchanges
    assert len(queue) == 0


def test_exchange_that_was_taken_out_may_still_be_aborted(queue, exchanges, results):
    queue.take_all()

    exchanges[0].abort(CloseReason.CANCELLED)

    assert results == [(CloseReason.CANCELLED, False)]
