"""Rendezvous hashing: who is responsible for a key, without a coordinator."""

import xxhash


def weigh_candidate(name, key):
    """Return the weight of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{name}\0{key}".encode())


def rank_candidates(names, key):
    """Return candidates for a key, the responsible one first."""
    return sorted(names, key=lambda name: weigh_candidate(name, key), reverse=True)


def pick_candidate(names, key):
    """Return the responsible candidate, or None where there is none."""
    return max(names, key=lambda name: weigh_candidate(name, key), default=None)
