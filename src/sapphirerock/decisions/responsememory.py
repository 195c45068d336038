"""Which upstreams' responses a process may hold in memory at the same time.

Handles faulty upstreams that send bodies without end, in response to many calls at
once. Small responses are never held up. A larger one is given all the memory that it
may need before it is read on, so that large responses don't wait for each other with a
part of their memory each. No upstream gets more than a share, so that the responses of
sound ones don't wait for those of a faulty one.
"""

from collections import Counter, deque
from dataclasses import dataclass

# Of a body, this much is read before memory is asked for. Most responses have a few
# kilobytes.
FREE_RESPONSE_BYTES = 32 << 10
# Share of the process's memory for large responses.
RESPONSE_MEMORY_SHARE = 1 / 32
# Upstreams that can use up the memory together.
UPSTREAM_SHARES = 2


def choose_response_memory(memory_mb, largest_bytes):
    """Return the memory for large responses in bytes, enough for one of each share.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the process; None if it is not known.
    largest_bytes : int
        Largest response.
    """
    allowed_bytes = int((memory_mb or 0.0) * RESPONSE_MEMORY_SHARE * (1 << 20))
    return max(allowed_bytes, UPSTREAM_SHARES * largest_bytes)


def choose_reservation(stated_bytes, limit_bytes):
    """Return the memory that a response needs, in bytes; 0 if it is free.

    Parameters
    ----------
    stated_bytes : int or None
        Length that the response states; None if it states none.
    limit_bytes : int
        Largest allowed length.
    """
    needed_bytes = limit_bytes if stated_bytes is None else stated_bytes
    return 0 if needed_bytes <= FREE_RESPONSE_BYTES else needed_bytes


@dataclass(slots=True, frozen=True, eq=False)
class MemoryRequest:
    """A response that waits for memory."""

    upstream: str
    size: int


class ResponseBudget:
    """Memory of large responses, and those that wait for it.

    Parameters
    ----------
    limit_bytes : int
        Memory for all responses together.

    Attributes
    ----------
    reserved_bytes : int
        Memory that responses have.
    """

    __slots__ = ("reserved_bytes", "_limit_bytes", "_by_upstream", "_waiting")

    def __init__(self, limit_bytes):
        self.reserved_bytes = 0
        self._limit_bytes = limit_bytes
        self._by_upstream = Counter()
        self._waiting = deque()

    @property
    def waiting(self):
        """Number of responses that wait."""
        return len(self._waiting)

    def add(self, request):
        """Add a request, and return those that are granted now."""
        self._waiting.append(request)
        return self._grant()

    def cancel(self, request):
        """Withdraw a request that waits, and return those that are granted now."""
        self._waiting.remove(request)
        return self._grant()

    def release(self, request):
        """Return the memory of a granted request, and the requests granted now."""
        self.reserved_bytes -= request.size
        self._by_upstream[request.upstream] -= request.size
        if not self._by_upstream[request.upstream]:
            del self._by_upstream[request.upstream]
        return self._grant()

    def _grant(self):
        """Grant requests in their order; those beyond an upstream's share wait."""
        granted, left = [], deque()
        share_bytes = self._limit_bytes // UPSTREAM_SHARES
        is_full = False
        for request in self._waiting:
            used_bytes = self._by_upstream[request.upstream]
            is_beyond_share = used_bytes and used_bytes + request.size > share_bytes
            if not is_beyond_share and not is_full:
                is_full = self.reserved_bytes + request.size > self._limit_bytes
            if is_beyond_share or is_full:
                left.append(request)
                continue
            self.reserved_bytes += request.size
            self._by_upstream[request.upstream] += request.size
            granted.append(request)
        self._waiting = left
        return granted
