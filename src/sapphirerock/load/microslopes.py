"""Costs of one unit each: a generation, a load sample, a poll of an engine."""

import asyncio
import gc
import time
import tracemalloc

from aiohttp import ClientSession

from sapphirerock.connection.engine import EngineClient
from sapphirerock.connection.messages import Hello, LoadDigest, LoadSample, encode_frame
from sapphirerock.load.slopes import (
    ADDRESS,
    SlopeRow,
    SlopeTable,
    find_free_port,
    register_measurement,
)
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.upstreams import UpstreamTable
from sapphirerock.process.peers.hosts import HostTable
from sapphirerock.process.peers.loads import LoadSpread
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.web import WebService
from sapphirerock.request.generation import Generation
from sapphirerock.standin.batch import EngineModel
from sapphirerock.standin.engine import EngineStandin
from sapphirerock.version.objects import Upstream

TOKENS_HELD = 200
ROUNDS = 200
FIRST_TOKEN = 1 << 20


def make_generation(number):
    """Return a generation with its tokens, one an event."""
    generation = Generation(
        f"{number:016x}", None, f"key-{number}", None, "branch", [["branch", 0]]
    )
    for offset in range(TOKENS_HELD):
        # Numbers of their own, as decoded from JSON.
        token = FIRST_TOKEN + number * TOKENS_HELD + offset
        generation.accept(offset, [token], f"{token:08x} ")
    return generation


@register_measurement("generations")
def measure_generations(sizes=(100, 200, 400)):
    """Measure the memory of generations under way with 200 tokens each."""
    rows = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = [make_generation(number) for number in range(size)]
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(SlopeRow(len(kept), (held_bytes,)))
    return SlopeTable("generations of 200 tokens", ("bytes",), tuple(rows))


class SilentStream:
    """Stands in for a stream within the zone."""

    __slots__ = ("host", "hello")

    def __init__(self, host):
        self.host = host
        self.hello = Hello(host, "zone", "region", ADDRESS, 0, 0, 0, b"")


class SilentPeers:
    """Stands in for the peer table where no streams are needed."""

    def __init__(self):
        own = HostAddress("own", "zone", "region", ADDRESS, 0, 0)
        self.hosts = HostTable(own, (), ManualClock())
        self.streams = {name: SilentStream(name) for name in ("a", "b", "c")}
        self.on_connect = []

    def register_handler(self, message_type, handler):
        """Take no messages."""


@register_measurement("loads")
def measure_loads(sizes=(25, 75, 150)):
    """Measure what taking and passing on the loads of a zone's engines costs."""
    rows = []
    for size in sizes:
        spread = LoadSpread(
            UpstreamTable(None, None, ManualClock()), SilentPeers(), ManualClock()
        )
        started_s = time.process_time()
        for moment in range(1, ROUNDS + 1):
            samples = [
                LoadSample(f"engine-{number:04d}", float(moment), 7, 0, 8)
                for number in range(size)
            ]
            frame = encode_frame(0, LoadDigest.from_samples(samples))
            for sample in samples:
                spread.record(sample, "a")
        cpu_us = (time.process_time() - started_s) / ROUNDS * 1e6
        rows.append(SlopeRow(size, (len(frame), cpu_us)))
    columns = ("bytes of a digest", "processor time of a digest, us")
    return SlopeTable("engines of a zone", columns, tuple(rows))


@register_measurement("polls")
def measure_polls(sizes=(100, 200, 400)):
    """Measure the time of polls of an engine, the stand-in's part included."""
    rows = [SlopeRow(size, (asyncio.run(poll_many(size)),)) for size in sizes]
    return SlopeTable("polls", ("processor time, us",), tuple(rows))


async def poll_many(count):
    """Return the processor time of some polls, in microseconds."""
    port = find_free_port()
    standin = EngineStandin("engine", ["model"], EngineModel())
    server = WebService(standin.make_application(), ADDRESS, port)
    await server.start()
    upstream = Upstream("engine", f"http://{ADDRESS}:{port}", "zone", "region")
    try:
        async with ClientSession() as session:
            client = EngineClient(session, upstream)
            started_s = time.process_time()
            for _ in range(count):
                assert (await client.read_load()).is_ok()
            return (time.process_time() - started_s) * 1e6
    finally:
        await server.stop()
