"""Waits of large responses for a part of the memory that all of them share."""

import asyncio

from loguru import logger

from sapphirerock.decisions.responsememory import MemoryRequest, ResponseBudget


class ResponseMemory:
    """Memory of a process for large responses of upstreams.

    Parameters
    ----------
    limit_bytes : int
        Memory for all responses together.
    """

    __slots__ = ("_budget", "_granted")

    def __init__(self, limit_bytes):
        self._budget = ResponseBudget(limit_bytes)
        # Future of each request that waits.
        self._granted = {}

    @property
    def reserved_bytes(self):
        """Memory that responses have."""
        return self._budget.reserved_bytes

    def open_hold(self, upstream):
        """Return the hold of a response, which has no memory yet."""
        return ResponseHold(self, upstream)

    async def reserve(self, request):
        """Wait until a request is granted."""
        granted = asyncio.get_running_loop().create_future()
        self._granted[request] = granted
        self._notify(self._budget.add(request))
        if granted.done():
            return
        logger.bind(
            upstream=request.upstream,
            size=request.size,
            reserved=self._budget.reserved_bytes,
            waiting=self._budget.waiting,
        ).info("large response waits for memory")
        try:
            await granted
        except asyncio.CancelledError:
            if not granted.cancelled():
                self.release(request)
            elif self._granted.pop(request, None) is not None:
                self._notify(self._budget.cancel(request))
            raise

    def release(self, request):
        """Return the memory of a granted request."""
        self._notify(self._budget.release(request))

    def _notify(self, requests):
        for request in requests:
            granted = self._granted.pop(request)
            if granted.cancelled():
                # Its task has not run since it was cancelled.
                self.release(request)
            else:
                granted.set_result(None)


class ResponseHold:
    """Memory that one response has, until it was sent on or has failed.

    Parameters
    ----------
    memory : ResponseMemory
        Memory that all responses share.
    upstream : str
        Name of the upstream that sends the response.
    """

    __slots__ = ("_memory", "_upstream", "_request")

    def __init__(self, memory, upstream):
        self._memory = memory
        self._upstream = upstream
        self._request = None

    async def reserve(self, size):
        """Wait for memory, unless the hold has some or none is needed."""
        if size and self._request is None:
            request = MemoryRequest(self._upstream, size)
            await self._memory.reserve(request)
            self._request = request

    def release(self):
        """Return the memory; further calls have no effect."""
        request, self._request = self._request, None
        if request is not None:
            self._memory.release(request)
