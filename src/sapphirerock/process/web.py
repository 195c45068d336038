"""An aiohttp application as a `mode` service."""

import socket

from aiohttp import web
from mode import Service

from sapphirerock.connection.ingress import ACCEPTS_PER_TURN, CallerServer

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
        self._runner = self._make_runner()
        await self._runner.setup()
        await self._make_site().start()

    def _make_runner(self):
        return web.AppRunner(
            self.application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    def _make_site(self):
        return web.TCPSite(self._runner, self.host, self.port, backlog=BACKLOG)

    async def on_stop(self):
        """Close the port and its open connections."""
        if self._runner is not None:
            await self._runner.cleanup()


class CallerRunner(web.AppRunner):
    """Runs an application behind the limits on callers' connections.

    Parameters
    ----------
    application : aiohttp.web.Application
        Application that answers the requests.
    read_limits : callable
        Returns the current `CallerLimits`.
    load : CallerLoad
        Memory and number of the connections.
    """

    __slots__ = ("_read_limits", "_load")

    def __init__(self, application, read_limits, load):
        super().__init__(application, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._read_limits = read_limits
        self._load = load

    async def _make_server(self):
        # Starts the application, too.
        await super()._make_server()
        return CallerServer(
            self.app._handle,
            self._read_limits,
            self._load,
            self.app._make_request,
            cancels_handlers=False,
        )


class CallerSite(web.SockSite):
    """Accepts connections of callers, few at a time."""

    __slots__ = ()

    async def start(self):
        """Accept connections."""
        await super().start()
        # asyncio accepts as many connections at once as may wait.
        self._sock.listen(BACKLOG)


class CallerWebService(WebService):
    """HTTP server for callers, within what their connections may hold.

    Parameters
    ----------
    application : aiohttp.web.Application
        Application that answers the requests.
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    read_limits : callable
        Returns the current `CallerLimits`.
    load : CallerLoad
        Memory and number of the connections.
    """

    def __init__(self, application, host, port, read_limits, load, **kwargs):
        super().__init__(application, host, port, **kwargs)
        self._read_limits = read_limits
        self._load = load

    def _make_runner(self):
        return CallerRunner(self.application, self._read_limits, self._load)

    def _make_site(self):
        listening = socket.create_server((self.host, self.port), backlog=BACKLOG)
        return CallerSite(self._runner, listening, backlog=ACCEPTS_PER_TURN)
