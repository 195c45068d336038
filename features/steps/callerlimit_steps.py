"""Steps on callers' connections that stay open while the limits change."""

import asyncio
import time

from behave import then, when
from tools.rawclient import RawConnection, encode_request
from tools.sharedcaller import make_headers
from tools.sharedcluster import make_configuration

TARGET = "/stock/1"
LARGE_HEADER = ("X-Note", "n" * 7_000)
HEAD_PAUSE_S = 1.2
IDLE_S = 3.0


@when("{limit} is raised from {old:d} to {new:d} while a connection is open")
@when("{limit} is lowered from {old:d} to {new:d} while a connection is open")
def change_limit(context, limit, old, new):
    cluster = context.world.cluster

    async def put_limit(version, value):
        await cluster.put_configuration(
            make_configuration(version=version, **{limit: value})
        )

        async def is_in_force():
            return any(
                line["event"] == "configuration in force" and line["version"] == version
                for line in cluster.read_log_entries("edge-0")
            )

        await context.world.wait_until(is_in_force, f"version {version}")

    async def run():
        await put_limit(2, old)
        context.connection = await RawConnection(cluster.edges["edge-0"]).__aenter__()
        context.sent_at_s = time.monotonic()
        response = await context.connection.request("GET", TARGET, make_headers(1))
        assert response.status == 200, response
        context.served_at_s = time.monotonic()
        await put_limit(3, new)

    context.run(run())


async def send_in_halves(connection):
    request = encode_request("GET", TARGET, make_headers(2))
    half = len(request) // 2
    connection.writer.write(request[:half])
    await asyncio.sleep(HEAD_PAUSE_S)
    connection.writer.write(request[half:])
    return await connection.read_response()


async def send_after_pause(connection):
    await asyncio.sleep(IDLE_S)
    return await connection.request("GET", TARGET, make_headers(3))


async def send_large_header(connection):
    return await connection.request("GET", TARGET, make_headers(4, 0, LARGE_HEADER))


REQUESTS = {
    "a head that takes 1.2 s": send_in_halves,
    "a request after 3 s without any": send_after_pause,
    "a request with a 7,000 byte header": send_large_header,
}
STATUSES = {"served": 200, "refused with 431": 431}


@then("{request} on the open connection is {result}")
def check_request(context, request, result):
    response = context.run(REQUESTS[request](context.connection))
    assert response.status == STATUSES[result], response


@then("the open connection is closed {low:g} to {high:g} s after its last request")
def check_closed(context, low, high):
    async def run():
        async with asyncio.timeout(high + 1.0):
            assert await context.connection.reader.read() == b""
        return time.monotonic()

    closed_at_s = context.run(run())
    # The edge counts from the end of its response, which is between these two times.
    assert closed_at_s - context.sent_at_s >= low, closed_at_s - context.sent_at_s
    assert closed_at_s - context.served_at_s <= high, closed_at_s - context.served_at_s
