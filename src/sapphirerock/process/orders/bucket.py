"""Buckets of claims: each is one platform object with the entries of many keys."""

import hashlib
from dataclasses import astuple, dataclass

import orjson

CLAIMED = "claimed"
DONE = "done"
RELEASED = "released"


@dataclass(slots=True, frozen=True)
class LedgerEntry:
    """The ledger's entry for one key.

    Parameters
    ----------
    key : str
        Hexadecimal digest of service, organisation and idempotency key.
    claimant : str
        Random id of the attempt that may send the call.
    body_digest : str
        Digest of the call's method, path, query and body.
    state : {"claimed", "done", "released"}
        `released` withdraws a claim whose call was never sent.
    status : int
        HTTP status of the answer; 0 if there is none.
    content_type, body : str
        The answer, if it was short enough to keep.
    at_s : float
        Wall time of the claim, in seconds since the epoch; used only for pruning.
    """

    key: str
    claimant: str
    body_digest: str
    state: str = CLAIMED
    status: int = 0
    content_type: str = ""
    body: str = ""
    at_s: float = 0.0


def make_entry_key(service, organisation, key):
    """Return the entry key of a caller's idempotency key."""
    text = "\0".join((service, organisation, key))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


@dataclass(slots=True, frozen=True)
class Bucket:
    """A bucket as stored.

    Parameters
    ----------
    entries : dict of str to LedgerEntry
        Entries by key.
    is_split : bool
        Whether its entries have moved to two buckets whose paths have one more bit.
    parent_version : int
        Version of the bucket that this one was split from.
    """

    entries: dict
    is_split: bool = False
    parent_version: int = 0

    def encode(self):
        """Return the bucket as JSON."""
        return orjson.dumps(
            {
                "entries": [astuple(entry) for entry in self.entries.values()],
                "is_split": self.is_split,
                "parent_version": self.parent_version,
            }
        )


def decode_bucket(value):
    """Return a bucket from JSON; an empty value is an empty bucket."""
    if not value:
        return Bucket({})
    document = orjson.loads(value)
    entries = [LedgerEntry(*item) for item in document["entries"]]
    return Bucket(
        {entry.key: entry for entry in entries},
        document["is_split"],
        document["parent_version"],
    )


def apply_entry(entries, entry):
    """Apply a claim, an outcome or a release to a bucket's entries.

    Parameters
    ----------
    entries : dict of str to LedgerEntry
        Changed in place.
    entry : LedgerEntry
        A claim is applied only if the key has no entry. An outcome or a release is
        applied only if the key's entry has the same claimant.
    """
    current = entries.get(entry.key)
    if entry.state == CLAIMED:
        if current is None:
            entries[entry.key] = entry
    elif current is not None and current.claimant == entry.claimant:
        if entry.state == RELEASED:
            del entries[entry.key]
        else:
            entries[entry.key] = entry


def prune_entries(entries, oldest_s):
    """Return the entries that were claimed at or after `oldest_s`, a wall time."""
    return {key: entry for key, entry in entries.items() if entry.at_s >= oldest_s}


def choose_child(path, key):
    """Return the path of the bucket that a key moves to when its bucket is split."""
    bits = path.rsplit("/", 1)[1]
    return path + format_bits(key)[len(bits)]


def format_bits(key):
    """Return an entry key's bits as a text of zeros and ones."""
    return f"{int(key, 16):0{len(key) * 4}b}"
