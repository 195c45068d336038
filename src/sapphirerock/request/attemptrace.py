"""Attempts at one call that run side by side while an engine is silent.

A silent engine may be dead or may go on after a moment. Its attempt is kept, and
another one is started beside it. The first to bring something new for the caller wins.
"""

import asyncio


class AttemptRace:
    """The tasks of one call, each of which runs an attempt."""

    __slots__ = ("_tasks", "_silence", "_unreported_silences")

    def __init__(self):
        self._tasks = set()
        self._silence = None
        self._unreported_silences = 0

    @property
    def task_count(self):
        """Number of tasks whose results `wait` has not returned."""
        return len(self._tasks)

    def start(self, coroutine):
        """Run a coroutine beside the others; return its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        return task

    def drop(self, task):
        """Cancel one task, unless its result has been returned."""
        if task in self._tasks:
            self._tasks.discard(task)
            task.cancel()

    def report_silence(self):
        """Make `wait` return because the engine of an attempt is silent."""
        self._unreported_silences += 1
        if self._silence is not None and not self._silence.done():
            self._silence.set_result(None)

    async def wait(self):
        """Wait until a task has ended or the engine of an attempt is silent.

        Returns
        -------
        object
            Result of the task; None for a silent engine.

        Raises
        ------
        RuntimeError
            When there is no task to wait for.
        """
        while not self._unreported_silences:
            ended = next((task for task in self._tasks if task.done()), None)
            if ended is not None:
                self._tasks.discard(ended)
                return ended.result()
            if not self._tasks:
                raise RuntimeError("no attempt is running")
            self._silence = asyncio.get_running_loop().create_future()
            await asyncio.wait(
                (*self._tasks, self._silence), return_when=asyncio.FIRST_COMPLETED
            )
        self._unreported_silences -= 1
        return None

    def win(self):
        """Cancel all tasks but the current one; return their number."""
        current = asyncio.current_task()
        losers = [task for task in self._tasks if task is not current]
        for task in losers:
            task.cancel()
            self._tasks.discard(task)
        self._unreported_silences = 0
        return len(losers)

    def cancel(self):
        """Cancel all tasks that are still running."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
