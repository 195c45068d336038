"""Rendezvous hashing (highest random weight).

All hosts with the same candidates find the same owner of a key without coordination.
"""

import xxhash


def weigh_candidate(name, key):
    """Return the weight of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode())


def rank_candidates(names, key):
    """Return the candidates by descending weight, the owner of the key first."""
    return sorted(names, key=lambda name: weigh_candidate(name, key), reverse=True)


def pick_candidate(names, key):
    """Return the owner of a key, or None if there are no candidates."""
    return max(names, key=lambda name: weigh_candidate(name, key), default=None)
