"""Compact index of organisations: tens of thousands take a few megabytes.

Each organisation is stored as MessagePack and decoded only when it is looked up.
"""

import hashlib
import hmac
import struct
from array import array
from bisect import bisect_right
from dataclasses import astuple, dataclass

import msgpack

DIGEST_BYTES = 32
# Location of an organisation: number of its group and position in that group.
LOCATION = struct.Struct(">HI")
ROW_BYTES = DIGEST_BYTES + LOCATION.size


@dataclass(slots=True, frozen=True)
class Organisation:
    """A customer, whose callers present its key.

    Parameters
    ----------
    name : str
        Name of the organisation.
    key_sha256 : str
        SHA-256 of its key, in hexadecimal. The key itself is never stored.
    weight : int
        Weight of its share of a busy service, relative to other organisations.
    requests_per_s : float or None
        Rate limit over all hosts together; None for no limit.
    """

    name: str
    key_sha256: str
    weight: int = 1
    requests_per_s: float | None = None


class PackedOrganisations:
    """The organisations of one settings object, packed into bytes.

    Parameters
    ----------
    organisations : iterable of Organisation
        The organisations, in any order.
    """

    __slots__ = ("_digests", "_ends", "_packed")

    def __init__(self, organisations):
        digests, parts = [], []
        self._ends = array("I")
        end = 0
        for organisation in organisations:
            digests.append(bytes.fromhex(organisation.key_sha256))
            parts.append(msgpack.packb(astuple(organisation)))
            end += len(parts[-1])
            self._ends.append(end)
        self._digests = b"".join(digests)
        self._packed = b"".join(parts)

    def __len__(self):
        return len(self._ends)

    def get_digest(self, position):
        """Return the key digest of the organisation at a position."""
        start = position * DIGEST_BYTES
        return self._digests[start : start + DIGEST_BYTES]

    def decode(self, position):
        """Return the organisation at a position."""
        start = self._ends[position - 1] if position else 0
        return Organisation(
            *msgpack.unpackb(self._packed[start : self._ends[position]])
        )


class OrganisationIndex:
    """An index of the organisations of all groups by key digest.

    Each row holds a digest, the number of a group and the position in that group.
    The rows are sorted and joined into one byte string.

    Parameters
    ----------
    groups : iterable of PackedOrganisations
        Groups in order of precedence: if two organisations have the same key, the
        one in the later group is found.
    """

    __slots__ = ("_groups", "_rows", "_count")

    def __init__(self, groups):
        self._groups = tuple(groups)
        rows = [
            group.get_digest(position) + LOCATION.pack(number, position)
            for number, group in enumerate(self._groups)
            for position in range(len(group))
        ]
        rows.sort()
        self._count = len(rows)
        self._rows = b"".join(rows)

    def __len__(self):
        return self._count

    def _read_digest(self, row):
        start = row * ROW_BYTES
        return self._rows[start : start + DIGEST_BYTES]

    def find_by_key(self, key):
        """Return the organisation with a key, or None.

        The search compares digests instead of keys, and the final comparison
        takes constant time.
        """
        digest = hashlib.sha256(key.encode()).digest()
        row = bisect_right(range(self._count), digest, key=self._read_digest) - 1
        if row < 0 or not hmac.compare_digest(self._read_digest(row), digest):
            return None
        location = self._rows[row * ROW_BYTES + DIGEST_BYTES : (row + 1) * ROW_BYTES]
        number, position = LOCATION.unpack(location)
        return self._groups[number].decode(position)
