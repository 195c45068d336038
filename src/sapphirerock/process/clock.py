"""The clock, passed in wherever time matters so that tests can set it."""

import asyncio
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime


class Clock(ABC):
    """Source of monotonic time, wall time and sleep."""

    __slots__ = ()

    @abstractmethod
    def monotonic(self):
        """Return seconds that never go back, as a float."""

    @abstractmethod
    def now(self):
        """Return the wall time as an aware datetime in UTC."""

    @abstractmethod
    async def sleep(self, seconds):
        """Wait for a number of seconds."""


class SystemClock(Clock):
    """The operating system's clock."""

    __slots__ = ()

    def monotonic(self):
        """Return `time.monotonic`."""
        return time.monotonic()

    def now(self):
        """Return the current time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, seconds):
        """Wait on the event loop."""
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """A clock that moves only when told to.

    Parameters
    ----------
    start_s : float
        First monotonic reading, in seconds.
    """

    __slots__ = ("_monotonic_s",)

    def __init__(self, start_s=0.0):
        self._monotonic_s = start_s

    def monotonic(self):
        """Return the reading set last."""
        return self._monotonic_s

    def now(self):
        """Return the reading as a time since the epoch."""
        return datetime.fromtimestamp(self._monotonic_s, UTC)

    def advance(self, seconds):
        """Move the clock forward."""
        self._monotonic_s += seconds

    async def sleep(self, seconds):
        """Advance by the time asked for and yield once."""
        self.advance(seconds)
        await asyncio.sleep(0)
