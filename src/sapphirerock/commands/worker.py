"""Run one `mode` service as a process until a signal ends it."""

import asyncio

from mode import Worker


def run_service(service):
    """Start a service, wait for SIGINT or SIGTERM, stop it and exit.

    Parameters
    ----------
    service : mode.Service
        Its `on_stop` finishes whatever is still under way.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    worker = Worker(
        service,
        loop=loop,
        override_logging=False,
        redirect_stdouts=False,
        daemon=True,
    )
    worker.execute_from_commandline()
