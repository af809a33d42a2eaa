"""Tests of `close_reason`."""

import io as text

from fakes import SETTINGS

from function_router.decisions.types import Outcome
from function_router.net.close_reason import CloseReason, outcome_of
from function_router.net.endpoint_registry import worker_id_of
from function_router.net.log import LINES_A_SECOND, RateLimitedLog


class Hands:
    def __init__(self):
        self.steady, self.wall = 1000.0, 1_700_000_000_000.0

    def step(self, ms):
        self.steady += ms
        self.wall += ms


PROOFS = {Outcome.NOT_SENT, Outcome.CONNECT_FAILED}


GOOD = {"listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "seed": "8c1f", "settings": SETTINGS}


def test_every_end_is_told_and_only_the_unsent_are_proofs():
    for end in CloseReason:
        assert outcome_of(end, begun=True) not in PROOFS
        if end is not CloseReason.CANCELLED:
            assert outcome_of(end, begun=False) in PROOFS


def test_scorers_have_the_same_numbers_everywhere():
    assert worker_id_of("s-00c41f7a") == 3020732781


def test_the_log_leaves_floods_out_and_counts_them():
    out, at = text.StringIO(), [0.0]
    log = RateLimitedLog("n1", out, lambda: at[0])
    for _ in range(1000):
        log("x\ny" * 1000)
    at[0] = 1000.0
    log("after")
    lines = out.getvalue().splitlines()
    assert len(lines) == LINES_A_SECOND + 2
    assert lines[-2:] == ["n1: 980 lines left out", "n1: after"]


def test_a_flood_from_one_source_hides_no_other():
    out = text.StringIO()
    log = RateLimitedLog("n1", out, lambda: 0.0)
    for _ in range(1000):
        log("noise", "clients")
    log("news")
    assert "n1: news" in out.getvalue()
