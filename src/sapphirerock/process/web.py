"""An aiohttp application as a `mode` service."""

from aiohttp import web
from mode import Service

SHUTDOWN_TIMEOUT_S = 0.2
BACKLOG = 1024


class WebService(Service):
    """HTTP server that listens for as long as the service runs.

    Parameters
    ----------
    application : aiohttp.web.Application
        Application that answers the requests.
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    """

    def __init__(self, application, host, port, **kwargs):
        super().__init__(**kwargs)
        self.application = application
        self.host = host
        self.port = port
        self._runner = None

    async def on_start(self):
        """Open the port."""
        self._runner = web.AppRunner(
            self.application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port, backlog=BACKLOG)
        await site.start()

    async def on_stop(self):
        """Close the port and its open connections."""
        if self._runner is not None:
            await self._runner.cleanup()
