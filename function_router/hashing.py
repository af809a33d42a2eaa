"""Hash functions with the same result in every process, and weighted rendezvous hashing."""

import hashlib
import math


def mix64(bits: int) -> int:
    """Mix the bits of a 64-bit number by the finalizer of splitmix64 (Steele, Lea, Flood 2014)."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def hash_name(name: str, size: int) -> int:
    """Return the BLAKE2b hash of a name. The hash has `size` bytes and is the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=size).digest(), "big")


def hash64(name: str) -> int:
    """Return a 64-bit hash of a name, which is the same in every process."""
    return hash_name(name, size=8)


def rendezvous_rank(key: int, node: int, weight: float) -> float:
    """Return the rank of a node for a key. Both are 64-bit hashes. The node with the lowest rank comes first.

    By weighted rendezvous hashing, a node comes first for a share of the keys that is proportional to its
    weight (Schindelhauer, Schomaker 2005).
    """
    return -math.log((mix64(key ^ node) + 1) / 2**64) / weight
