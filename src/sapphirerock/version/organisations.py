"""Organisations, packed so that tens of thousands take a few megabytes.

Each organisation is packed and is decoded only when it is looked up.
"""

import hashlib
import hmac
import struct
from array import array
from bisect import bisect_right
from dataclasses import astuple, dataclass

import msgpack

DIGEST_BYTES = 32
PLACE = struct.Struct(">HI")
ROW_BYTES = DIGEST_BYTES + PLACE.size


@dataclass(slots=True, frozen=True)
class Organisation:
    """A customer.

    Parameters
    ----------
    name : str
        Its name.
    key_sha256 : str
        SHA-256 of its key, in hexadecimal; the key itself is kept nowhere.
    weight : int
        Its share of a busy service against others'.
    requests_per_s : float or None
        Its limit over all hosts; none when None.
    """

    name: str
    key_sha256: str
    weight: int = 1
    requests_per_s: float | None = None


class PackedOrganisations:
    """The organisations of one settings object, as bytes.

    Parameters
    ----------
    organisations : iterable of Organisation
        In any order.
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
        """Return the digest of the key of one organisation."""
        start = position * DIGEST_BYTES
        return self._digests[start : start + DIGEST_BYTES]

    def decode(self, position):
        """Return one organisation."""
        start = self._ends[position - 1] if position else 0
        return Organisation(
            *msgpack.unpackb(self._packed[start : self._ends[position]])
        )


class OrganisationIndex:
    """Organisations of all groups by the digest of their key.

    Each row of the index is a digest, the number of a group and the position in
    it. The rows stand sorted in one byte string.

    Parameters
    ----------
    groups : iterable of PackedOrganisations
        Of two organisations with one key that of the later group stands.
    """

    __slots__ = ("_groups", "_rows", "_count")

    def __init__(self, groups):
        self._groups = tuple(groups)
        rows = [
            group.get_digest(position) + PLACE.pack(number, position)
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

        Digests are searched, never keys, and the last comparison takes the
        same time whatever differs.
        """
        digest = hashlib.sha256(key.encode()).digest()
        row = bisect_right(range(self._count), digest, key=self._read_digest) - 1
        if row < 0 or not hmac.compare_digest(self._read_digest(row), digest):
            return None
        place = self._rows[row * ROW_BYTES + DIGEST_BYTES : (row + 1) * ROW_BYTES]
        number, position = PLACE.unpack(place)
        return self._groups[number].decode(position)
