"""Run one `mode` service as a process until a signal ends it."""

import asyncio

from mode import Worker

# A task that is cancelled ends within one turn of the loop, unless it is at fault.
LEFT_TASKS_S = 0.1


class PromptWorker(Worker):
    """A worker that ends its process as soon as its service has stopped.

    The library waits one to two seconds for tasks that may be left. A service here
    has ended its own by then, and whoever stops the process counts this time.
    """

    def _gather_all(self):
        """Cancel tasks that are left, without waiting for them first."""
        left = asyncio.all_tasks(self.loop)
        for task in left:
            task.cancel()
        if left:
            self.loop.run_until_complete(asyncio.wait(left, timeout=LEFT_TASKS_S))

    async def _sentinel_task(self):
        """Let callbacks that closed connections run once more."""
        await asyncio.sleep(0)


def run_service(service):
    """Start a service, wait for SIGINT or SIGTERM, stop it and exit.

    Parameters
    ----------
    service : mode.Service
        Its `on_stop` finishes whatever is still under way.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    worker = PromptWorker(
        service,
        loop=loop,
        override_logging=False,
        redirect_stdouts=False,
        daemon=True,
    )
    worker.execute_from_commandline()
