"""A network link stand-in: forwards TCP and can be cut by the caller's address."""

import asyncio
from dataclasses import dataclass

from aiohttp import web
from mode import Service

from sapphirerock.process.web import WebService

READ_BYTES = 1 << 16


@dataclass(slots=True, frozen=True)
class Forward:
    """Where connections are taken and where they go."""

    listen_address: str
    listen_port: int
    address: str
    port: int


@dataclass(slots=True, frozen=True)
class Cut:
    """Which connections carry nothing.

    Parameters
    ----------
    source, target : str
        Prefixes of the caller's and of the listening address.
    before : int or None
        Connections with a lower number; all when None.
    """

    source: str
    target: str
    before: int | None = None

    def covers(self, source, target, number):
        """Return whether a connection is cut."""
        if not (source.startswith(self.source) and target.startswith(self.target)):
            return False
        return self.before is None or number < self.before


class LinkStandin:
    """Forwards of a network.

    A cut link neither refuses nor resets: connections stay open and carry
    nothing, as when a network drops packets.
    """

    def __init__(self):
        self.cuts = set()
        self.delay_s = 0.0
        self.connection_count = 0

    def make_application(self):
        """Return the HTTP application that takes faults."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/cuts", self._list_cuts),
                web.post("/faults", self._handle_fault),
            ]
        )
        return application

    async def _list_cuts(self, request):
        return web.json_response([[cut.source, cut.target] for cut in self.cuts])

    async def _handle_fault(self, request):
        body = await request.json()
        kind = body["kind"]
        source, target = body.get("source", ""), body.get("target", "")
        if kind == "cut":
            self.cuts.add(Cut(source, target))
        elif kind == "heal":
            # What was open during the cut stays silent for good.
            self.cuts.discard(Cut(source, target))
        elif kind == "silence":
            self.cuts.add(Cut(source, target, self.connection_count + 1))
        elif kind == "delay":
            self.delay_s = body["seconds"]
        else:
            raise web.HTTPBadRequest(text=f"unknown fault {kind!r}")
        return web.json_response({"fault": kind})

    async def carry(self, reader, writer, forward):
        """Carry one connection to where it goes."""
        self.connection_count += 1
        number = self.connection_count
        source = writer.get_extra_info("peername")[0]
        try:
            to_reader, to_writer = await asyncio.open_connection(
                forward.address, forward.port
            )
        except OSError:
            writer.transport.abort()
            return

        def is_cut():
            return any(
                cut.covers(source, forward.listen_address, number) for cut in self.cuts
            )

        await asyncio.gather(
            self._pump(reader, to_writer, is_cut), self._pump(to_reader, writer, is_cut)
        )

    async def _pump(self, reader, writer, is_cut):
        was_cut = False
        try:
            while data := await reader.read(READ_BYTES):
                was_cut = was_cut or is_cut()
                if was_cut:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            if not was_cut and not is_cut():
                writer.close()
        except OSError:
            if not is_cut():
                writer.transport.abort()


class LinkService(Service):
    """The link stand-in as a process.

    Parameters
    ----------
    standin : LinkStandin
        Its state.
    address, control_port : str, int
        Where it takes faults.
    forwards : list of Forward
        What it carries.
    """

    def __init__(self, standin, address, control_port, forwards, **kwargs):
        super().__init__(**kwargs)
        self._standin = standin
        self._forwards = forwards
        self._web = WebService(standin.make_application(), address, control_port)

    def on_init_dependencies(self):
        """Return the web server."""
        return [self._web]

    async def on_start(self):
        """Open all ports."""
        for forward in self._forwards:
            await asyncio.start_server(
                lambda reader, writer, forward=forward: self._standin.carry(
                    reader, writer, forward
                ),
                forward.listen_address,
                forward.listen_port,
            )


def parse_forward(text):
    """Decode ``LISTEN_ADDRESS:LISTEN_PORT:ADDRESS:PORT``."""
    listen_address, listen_port, address, port = text.split(":")
    return Forward(listen_address, int(listen_port), address, int(port))
