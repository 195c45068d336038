"""A network link stand-in: forwards TCP and can be cut by the caller's address."""

import asyncio

from aiohttp import web
from mode import Service

from sapphirerock.process.web import WebService

READ_BYTES = 1 << 16


class LinkStandin:
    """Forwards of one link.

    A cut link neither refuses nor resets: connections stay open and carry
    nothing, as when a network drops packets.

    Parameters
    ----------
    address : str
        IP number to listen on and to forward to.
    """

    def __init__(self, address):
        self.address = address
        self.cut_prefixes = set()
        self.generation = 0
        self.delay_s = 0.0
        self._cut_before = {}

    def make_application(self):
        """Return the HTTP application that takes faults."""
        application = web.Application()
        application.add_routes([web.post("/faults", self._handle_fault)])
        return application

    async def _handle_fault(self, request):
        body = await request.json()
        kind, source = body["kind"], body.get("source", "")
        if kind == "cut":
            self.cut_prefixes.add(source)
        elif kind == "heal":
            # What was open during the cut stays silent for good.
            self.cut_prefixes.discard(source)
        elif kind == "silence":
            self.generation += 1
            self._cut_before[source] = self.generation
        elif kind == "delay":
            self.delay_s = body["seconds"]
        else:
            raise web.HTTPBadRequest(text=f"unknown fault {kind!r}")
        return web.json_response({"fault": kind})

    def is_cut(self, source, generation):
        """Return whether bytes of a connection are dropped."""
        if any(source.startswith(prefix) for prefix in self.cut_prefixes):
            return True
        return any(
            source.startswith(prefix) and generation < before
            for prefix, before in self._cut_before.items()
        )

    async def forward(self, reader, writer, port):
        """Carry one connection to a port."""
        source = writer.get_extra_info("peername")[0]
        generation = self.generation
        try:
            to_reader, to_writer = await asyncio.open_connection(self.address, port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, to_writer, source, generation),
            self._pump(to_reader, writer, source, generation),
        )

    async def _pump(self, reader, writer, source, generation):
        was_cut = False
        try:
            while data := await reader.read(READ_BYTES):
                was_cut = was_cut or self.is_cut(source, generation)
                if was_cut:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            if not was_cut and not self.is_cut(source, generation):
                writer.close()
        except OSError:
            writer.transport.abort()


class LinkService(Service):
    """The link stand-in as a process.

    Parameters
    ----------
    standin : LinkStandin
        Its state.
    control_port : int
        Where it takes faults.
    forwards : list of (int, int)
        Ports to listen on and to forward to.
    """

    def __init__(self, standin, control_port, forwards, **kwargs):
        super().__init__(**kwargs)
        self._standin = standin
        self._forwards = forwards
        self._web = WebService(
            standin.make_application(), standin.address, control_port
        )

    def on_init_dependencies(self):
        """Return the web server."""
        return [self._web]

    async def on_start(self):
        """Open all ports."""
        for listen_port, port in self._forwards:
            await asyncio.start_server(
                lambda reader, writer, port=port: self._standin.forward(
                    reader, writer, port
                ),
                self._standin.address,
                listen_port,
            )
