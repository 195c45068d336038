"""Runs one `mode` service as a process until a signal stops it."""

import asyncio

from mode import Worker

# A cancelled task ends within one iteration of the event loop unless it is faulty.
CANCELLED_TASKS_TIMEOUT_S = 0.1


class FastExitWorker(Worker):
    """A worker that exits as soon as its service has stopped.

    The library waits one to two seconds for tasks that may still run. The services
    here have ended their own tasks by then, and the wait would count towards the
    time that the process takes to stop.
    """

    def _gather_all(self):
        """Cancel the remaining tasks without waiting for them first."""
        remaining = asyncio.all_tasks(self.loop)
        for task in remaining:
            task.cancel()
        if remaining:
            self.loop.run_until_complete(
                asyncio.wait(remaining, timeout=CANCELLED_TASKS_TIMEOUT_S)
            )

    async def _sentinel_task(self):
        """Run one more loop iteration for the callbacks of closed connections."""
        await asyncio.sleep(0)


def run_service(service):
    """Run a service until SIGINT or SIGTERM, stop it and exit the process.

    Parameters
    ----------
    service : mode.Service
        The service. Its `on_stop` must wait until all work in progress is done.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    worker = FastExitWorker(
        service,
        loop=loop,
        override_logging=False,
        redirect_stdouts=False,
        daemon=True,
    )
    worker.execute_from_commandline()
