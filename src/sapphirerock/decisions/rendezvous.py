"""Rendezvous hashing (highest random weight).

All hosts with the same candidates find the same owner of a key without coordination.
Hosts ask many times a second for the owners of a few keys, while the candidates change
only when a host starts, stops or fails, so the latest results are kept.
"""

from functools import lru_cache

import xxhash

# Results that are kept, each with the names of its candidates.
KEPT_RESULTS = 64


def weigh_candidate(name, key):
    """Return the weight of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode())


def rank_candidates(names, key):
    """Return the candidates by descending weight, the owner of the key first."""
    return list(_rank(tuple(names), key))


@lru_cache(KEPT_RESULTS)
def _rank(names, key):
    return tuple(
        sorted(names, key=lambda name: weigh_candidate(name, key), reverse=True)
    )


def pick_candidate(names, key):
    """Return the owner of a key, or None if there are no candidates."""
    return _pick(tuple(names), key)


@lru_cache(KEPT_RESULTS)
def _pick(names, key):
    return max(names, key=lambda name: weigh_candidate(name, key), default=None)
