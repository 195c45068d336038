"""Tasks that run beside what started them."""

import asyncio

from loguru import logger


class BackgroundTasks:
    """Tasks that are kept until they end, with their failures logged."""

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine on its own and return its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("a task failed")

    def cancel(self):
        """Cancel all that still run."""
        for task in list(self._tasks):
            task.cancel()
