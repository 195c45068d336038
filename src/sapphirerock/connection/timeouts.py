"""Timeouts of waits for other hosts, which an event loop that was busy doesn't end.

When a process stands still or its event loop is busy, its timers are due before it has
read what arrived meanwhile.
"""

import asyncio
from contextlib import asynccontextmanager

from sapphirerock.process.clock import MAX_TIMER_DELAY_S


@asynccontextmanager
async def limit_wait(timeout_s):
    """Limit the time of a block, as `asyncio.timeout` does.

    A timer that fires late is started once more.

    Parameters
    ----------
    timeout_s : float
        Time limit in seconds.

    Raises
    ------
    TimeoutError
        If the block has not ended in time.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + timeout_s

    def expire():
        is_late = loop.time() - due_s > MAX_TIMER_DELAY_S
        timeout.reschedule(loop.time() + timeout_s if is_late else loop.time())

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_at(due_s, expire)
        try:
            yield
        finally:
            timer.cancel()
