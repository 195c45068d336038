"""The data that a host must load before it can serve requests."""

import asyncio

from loguru import logger
from mode import Service

from sapphirerock.decisions.startup import choose_start_wait

# Short against the time in which a host loads its data.
CHECK_INTERVAL_S = 0.02


class StartData(Service):
    """Lets requests wait until the host has loaded its data.

    Parameters
    ----------
    is_complete : callable
        Returns whether the host has all data.
    clock : Clock
        Source of time.
    """

    def __init__(self, is_complete, clock, **kwargs):
        super().__init__(**kwargs)
        self._is_complete = is_complete
        self._clock = clock
        self._started_s = clock.monotonic()
        self._completed = asyncio.Event()
        self._waiting = 0

    @Service.task
    async def _wait_until_complete(self):
        while not self._is_complete():
            await self._clock.sleep(CHECK_INTERVAL_S)
        self._completed.set()
        logger.bind(
            after_s=round(self._clock.monotonic() - self._started_s, 3),
            requests=self._waiting,
        ).info("data of host complete")

    async def wait(self, remaining_s):
        """Wait until the data is complete, as long as a request may.

        Parameters
        ----------
        remaining_s : float
            Time until the deadline of the request, in seconds.
        """
        if self._completed.is_set():
            return
        uptime_s = self._clock.monotonic() - self._started_s
        self._waiting += 1
        try:
            async with asyncio.timeout(choose_start_wait(uptime_s, remaining_s)):
                await self._completed.wait()
        except TimeoutError:
            # Without a configuration or an engine the request is refused at once.
            pass
        finally:
            self._waiting -= 1
