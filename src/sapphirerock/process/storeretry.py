"""Store calls that are repeated until they succeed."""

from loguru import logger

MIN_RETRY_PAUSE_S = 0.3
MAX_RETRY_PAUSE_S = 5.0
RETRY_GROWTH = 1.5


async def retry_store_call(call, clock, failure_event, **fields):
    """Repeat a call to the store until it succeeds.

    Parameters
    ----------
    call : callable
        Makes the call; returns an awaitable of an expression.Result.
    clock : Clock
        Source of time.
    failure_event : str
        Log event of a failed call.
    fields : dict
        Fields of that log event.

    Returns
    -------
    object
        Value of the successful call.
    """
    pause_s = MIN_RETRY_PAUSE_S
    while True:
        result = await call()
        if result.is_ok():
            return result.ok
        logger.bind(**fields, cause=repr(result.error)).info(failure_event)
        await clock.sleep(pause_s)
        pause_s = min(MAX_RETRY_PAUSE_S, pause_s * RETRY_GROWTH)
