"""Tests of `hashing`."""

import pytest

from function_router.hashing import hash64, mix64, rendezvous_rank

MAX_64_BITS = 2**64 - 1


@pytest.mark.parametrize(
    ("bits", "mixed"),
    [
        (0, 0),
        (1, 0x5692161D100B05E5),
        (0x9E3779B97F4A7C15, 0xE220A8397B1DCDAF),  # first output of splitmix64 for the seed 0
        (MAX_64_BITS, 0xB4D055FCF2CBBD7B),
    ],
)
def test_mix64_is_the_finalizer_of_splitmix64(bits, mixed):
    assert mix64(bits) == mixed


@pytest.mark.parametrize(
    ("name", "expected"),
    [("", 0xE4A6A0577479B2B4), ("view", 0x2C622AF1D043F3AF), ("s-00c41f7a", 0xE11642F087C84F23)],
)
def test_hash64_is_the_same_in_every_process(name, expected):
    assert hash64(name) == expected


def first_node(key, weights):
    """Return the node with the lowest rank for a key, from a dict of nodes and their weights."""
    return min(weights, key=lambda node: rendezvous_rank(key, node, weights[node]))


@pytest.fixture(scope="module")
def keys():
    return [hash64(f"key-{number}") for number in range(4000)]


@pytest.fixture(scope="module")
def weights():
    return {hash64(f"node-{number}"): weight for number, weight in enumerate([1.0, 1.0, 2.0, 4.0])}


def test_rendezvous_rank_gives_each_node_its_share_by_weight(keys, weights):
    first = [first_node(key, weights) for key in keys]

    shares = [first.count(node) / len(keys) for node in weights]
    assert shares == pytest.approx([0.125, 0.125, 0.25, 0.5], abs=0.03)


def test_removing_a_node_moves_only_its_own_keys(keys, weights):
    removed, *_ = weights
    remaining = {node: weight for node, weight in weights.items() if node != removed}

    before = [first_node(key, weights) for key in keys]
    after = [first_node(key, remaining) for key in keys]

    assert removed in before
    assert [node for node in after if node == removed] == []
    assert [new for old, new in zip(before, after, strict=True) if old != removed] == [
        old for old in before if old != removed
    ]


def test_raising_a_weight_takes_keys_from_others_only(keys, weights):
    [raised, *_] = weights
    before = [first_node(key, weights) for key in keys]
    after = [first_node(key, weights | {raised: 3.0}) for key in keys]

    moved = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
    assert moved
    assert {new for _, new in moved} == {raised}


def test_rendezvous_rank_is_in_inverse_proportion_to_weight():
    rank = rendezvous_rank(1, 2, 1.0)

    assert rank == pytest.approx(2.133182986417702)
    assert rendezvous_rank(1, 2, 2.0) == rank / 2
