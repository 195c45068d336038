"""Background tasks on the event loop."""

import asyncio

from loguru import logger


class BackgroundTasks:
    """Keeps references to tasks until they end and logs their failures."""

    __slots__ = ("_tasks",)

    def __init__(self):
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine as a background task and return the task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("background task failed")

    def cancel(self):
        """Cancel all tasks that are still running."""
        for task in list(self._tasks):
            task.cancel()
