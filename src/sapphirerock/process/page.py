"""An HTTP server of one page as a `mode` service.

It does without aiohttp's applications, whose routes and static files a start would have
to import.
"""

import asyncio

from aiohttp.web_exceptions import HTTPMethodNotAllowed, HTTPNotFound
from aiohttp.web_server import Server
from mode import Service

METHODS = ("GET", "HEAD")
SHUTDOWN_TIMEOUT_S = 0.2
BACKLOG = 1024


class PageService(Service):
    """HTTP server that answers one path for as long as the service runs.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    path : str
        Path of the page.
    answer : coroutine function
        Takes a request and returns its response.
    """

    def __init__(self, address, port, path, answer, **kwargs):
        super().__init__(**kwargs)
        self._address = address
        self._port = port
        self._path = path
        self._answer = answer
        self._listener = None
        self._server = None

    async def on_start(self):
        """Open the port."""
        self._server = Server(self._handle, access_log=None)
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, self._address, self._port, backlog=BACKLOG
        )

    async def _handle(self, request):
        if request.path != self._path:
            raise HTTPNotFound()
        if request.method not in METHODS:
            raise HTTPMethodNotAllowed(request.method, METHODS)
        return await self._answer(request)

    async def on_stop(self):
        """Close the port and its open connections."""
        if self._listener is not None:
            self._listener.close()
            # Connections that were accepted until now begin to be handled.
            await asyncio.sleep(0)
            self._server.pre_shutdown()
            await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
