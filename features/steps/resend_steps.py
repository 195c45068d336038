"""Steps on calls that an HTTP client library would send again by itself."""

import asyncio
import socket
import struct

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers

from features.steps.edge_steps import list_all_runs
from features.steps.endless_steps import inject_all
from sapphirerock.connection.errors import UpstreamBroken
from sapphirerock.connection.upstream import (
    OutboundRequest,
    make_upstream_session,
    open_response,
)

# Longer than a client library needs to connect again.
RESEND_S = 0.3
# Statuses that promise that a call has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class BreakingEngine:
    """Listens, reads one request a connection, and breaks the connection.

    Parameters
    ----------
    resets : bool
        Whether the connection ends with a reset.
    refuses_next : bool
        Whether the port refuses connections afterwards.
    """

    def __init__(self, resets, refuses_next):
        self.requests = 0
        self._resets = resets
        self._refuses_next = refuses_next
        self._server = None

    async def start(self):
        """Start listening; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        if self._refuses_next:
            self._server.close()
        if self._resets:
            # A close with a linger timeout of 0 s sends a reset.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.transport.abort()
        else:
            writer.close()

    async def stop(self):
        """Stop listening."""
        self._server.close()


@given("an engine that reads a call and then {ending}")
def plan_engine(context, ending):
    context.engine = BreakingEngine(
        ending.startswith("resets"), ending.endswith("refuses new ones")
    )


@when("a {method} call is sent to it")
def send_to_breaking_engine(context, method):
    async def run():
        address = await context.engine.start()
        async with make_upstream_session("127.0.0.1") as session:
            request = OutboundRequest(method, "/stock/1", [], b"")
            context.opened = await open_response(session, "e1", address, request)
            await asyncio.sleep(RESEND_S)
        await context.engine.stop()

    context.run(run())


@then("it received the call once, and the call counts as possibly run")
def check_sent_once(context):
    assert context.engine.requests == 1, context.engine.requests
    assert isinstance(context.opened.error, UpstreamBroken), context.opened


@when("a {method} order is sent to engines that lose every answer")
def send_order(context, method):
    async def run():
        await inject_all(context, "spoil", manner="lost", amount=9)
        edge = context.world.cluster.edges["edge-0"]
        async with RawConnection(edge) as connection:
            context.response = await connection.request(
                method, "/order/1", make_headers(1)
            )

    context.run(run())


@then("it ran once, and the caller was not told that it did not run")
def check_ran_once(context):
    runs = context.run(list_all_runs(context))
    assert len(runs) == 1, len(runs)
    assert context.response.status not in NOT_RUN_STATUSES, context.response
