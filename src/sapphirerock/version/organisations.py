"""Organisations, packed so that tens of thousands take a few megabytes."""

import hashlib
import hmac
from array import array
from bisect import bisect_left
from dataclasses import astuple, dataclass

import msgpack

DIGEST_BYTES = 32


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


class OrganisationIndex:
    """Organisations by the digest of their key.

    Digests stand sorted in one byte string; each organisation is packed and is
    decoded only when it is looked up.

    Parameters
    ----------
    organisations : iterable of Organisation
        All of them; of two with one key the later stands.
    """

    __slots__ = ("_digests", "_ends", "_packed", "_count")

    def __init__(self, organisations):
        packed = {}
        for organisation in organisations:
            digest = bytes.fromhex(organisation.key_sha256)
            packed[digest] = msgpack.packb(astuple(organisation))
        ordered = sorted(packed)
        self._count = len(ordered)
        self._digests = b"".join(ordered)
        self._packed = b"".join(packed[digest] for digest in ordered)
        self._ends = array("I")
        end = 0
        for digest in ordered:
            end += len(packed[digest])
            self._ends.append(end)

    def __len__(self):
        return self._count

    def _read_digest(self, position):
        start = position * DIGEST_BYTES
        return self._digests[start : start + DIGEST_BYTES]

    def find_by_key(self, key):
        """Return the organisation with a key, or None.

        Digests are searched, never keys, and the last comparison takes the
        same time whatever differs.
        """
        digest = hashlib.sha256(key.encode()).digest()
        position = bisect_left(range(self._count), digest, key=self._read_digest)
        if position == self._count:
            return None
        if not hmac.compare_digest(self._read_digest(position), digest):
            return None
        return self._decode(position)

    def _decode(self, position):
        start = self._ends[position - 1] if position else 0
        return Organisation(
            *msgpack.unpackb(self._packed[start : self._ends[position]])
        )
