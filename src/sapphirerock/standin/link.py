"""Network link stand-in: forwards TCP, and drops data of chosen callers on request."""

import asyncio
from dataclasses import dataclass

from aiohttp import web
from mode import Service

from sapphirerock.process.web import WebService

READ_BYTES = 1 << 16


@dataclass(slots=True, frozen=True)
class Forward:
    """One forwarded port.

    Parameters
    ----------
    listen_address, listen_port : str, int
        Address and port that accept connections.
    destination_address, destination_port : str, int
        Address and port to which the connections are forwarded.
    """

    listen_address: str
    listen_port: int
    destination_address: str
    destination_port: int


@dataclass(slots=True, frozen=True)
class Cut:
    """Selects connections on which all data is dropped.

    Parameters
    ----------
    source, target : str
        Prefixes of the caller's address and of the listening address.
    before_connection : int or None
        Selects the connections accepted before the one with this number. None selects
        all.
    """

    source: str
    target: str
    before_connection: int | None = None

    def matches(self, source, target, connection_number):
        """Return whether this cut applies to a connection."""
        if not (source.startswith(self.source) and target.startswith(self.target)):
            return False
        return (
            self.before_connection is None or connection_number < self.before_connection
        )


class LinkStandin:
    """Forwards connections and applies cuts and delays.

    A cut link neither refuses nor resets connections. They stay open and all data
    is dropped, as by a network that drops packets.

    Attributes
    ----------
    cuts : set of Cut
        Active cuts.
    delay_s : float
        Delay of each chunk of data, in each direction.
    connection_count : int
        Number of connections accepted so far; also the number of the latest one.
    """

    def __init__(self):
        self.cuts = set()
        self.delay_s = 0.0
        self.connection_count = 0

    def make_application(self):
        """Return the HTTP application that accepts faults."""
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
            # Connections that dropped data during the cut stay silent afterwards.
            self.cuts.discard(Cut(source, target))
        elif kind == "silence":
            self.cuts.add(Cut(source, target, self.connection_count + 1))
        elif kind == "delay":
            self.delay_s = body["seconds"]
        else:
            raise web.HTTPBadRequest(text=f"unknown fault {kind!r}")
        return web.json_response({"fault": kind})

    async def forward_connection(self, reader, writer, forward):
        """Forward one connection to its destination."""
        self.connection_count += 1
        connection_number = self.connection_count
        source = writer.get_extra_info("peername")[0]
        try:
            destination_reader, destination_writer = await asyncio.open_connection(
                forward.destination_address, forward.destination_port
            )
        except OSError:
            writer.transport.abort()
            return

        def is_cut():
            return any(
                cut.matches(source, forward.listen_address, connection_number)
                for cut in self.cuts
            )

        await asyncio.gather(
            self._relay_bytes(reader, destination_writer, is_cut),
            self._relay_bytes(destination_reader, writer, is_cut),
        )

    async def _relay_bytes(self, reader, writer, is_cut):
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
    """Service that listens on the forwarded ports and the control port.

    Parameters
    ----------
    standin : LinkStandin
        The link to run.
    address, control_port : str, int
        Address and port that accept faults.
    forwards : list of Forward
        Connections to forward.
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
        """Listen on the ports of all forwards."""
        for forward in self._forwards:
            await asyncio.start_server(
                lambda reader, writer, forward=forward: (
                    self._standin.forward_connection(reader, writer, forward)
                ),
                forward.listen_address,
                forward.listen_port,
            )


def parse_forward(text):
    """Decode ``LISTEN_ADDRESS:LISTEN_PORT:ADDRESS:PORT``."""
    listen_address, listen_port, address, port = text.split(":")
    return Forward(listen_address, int(listen_port), address, int(port))
