"""Clocks, passed to every part that uses time so that tests can control it."""

import asyncio
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime

# A timer that fires later than this after its time shows that the event loop was busy:
# messages and answers may have arrived unread.
MAX_TIMER_DELAY_S = 0.02


class Clock(ABC):
    """Source of monotonic time, wall time and sleep."""

    __slots__ = ()

    @abstractmethod
    def monotonic(self):
        """Return a time in seconds that never decreases, as a float."""

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
    """Clock that moves only by `advance` and `sleep`, for tests and simulations.

    Parameters
    ----------
    start_s : float
        First monotonic reading, in seconds.
    """

    __slots__ = ("_monotonic_s",)

    def __init__(self, start_s=0.0):
        self._monotonic_s = start_s

    def monotonic(self):
        """Return the current reading, in seconds."""
        return self._monotonic_s

    def now(self):
        """Return the reading, in seconds since the epoch, as a datetime in UTC."""
        return datetime.fromtimestamp(self._monotonic_s, UTC)

    def advance(self, seconds):
        """Move the clock forward by a number of seconds."""
        self._monotonic_s += seconds

    async def sleep(self, seconds):
        """Advance the clock and yield to the event loop once."""
        self.advance(seconds)
        await asyncio.sleep(0)
