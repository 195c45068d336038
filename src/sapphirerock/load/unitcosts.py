"""Measurements of unit costs: a generation, a load sample, a poll of an engine."""

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
from sapphirerock.process.peers.loads import LoadForwarder
from sapphirerock.process.settings.hostsettings import HostAddress
from sapphirerock.process.web import WebService
from sapphirerock.request.generation import Generation
from sapphirerock.standin.batch import EnginePerformance
from sapphirerock.standin.engine import EngineStandin
from sapphirerock.version.objects import Upstream

TOKENS_PER_GENERATION = 200
# Number of times that each engine's load is recorded.
LOAD_ROUNDS = 200
FIRST_TOKEN_ID = 1 << 20


def make_generation(number):
    """Return a generation with `TOKENS_PER_GENERATION` tokens, one per event."""
    generation = Generation(
        f"{number:016x}", None, f"key-{number}", None, "branch", [["branch", 0]]
    )
    for offset in range(TOKENS_PER_GENERATION):
        # Distinct large integers are separate objects, as when decoded from JSON.
        token = FIRST_TOKEN_ID + number * TOKENS_PER_GENERATION + offset
        generation.accept(offset, [token], f"{token:08x} ")
    return generation


@register_measurement("generations")
def measure_generations(sizes=(100, 200, 400)):
    """Measure the memory of generations in progress with 200 tokens each."""
    rows = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        generations = [make_generation(number) for number in range(size)]
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(SlopeRow(len(generations), (used_bytes,)))
    return SlopeTable("generations of 200 tokens", ("bytes",), tuple(rows))


class StubStream:
    """Peer stream within the zone that sends nothing."""

    __slots__ = ("host", "hello")

    def __init__(self, host):
        self.host = host
        self.hello = Hello(host, "zone", "region", ADDRESS, 0, 0, 0, b"")


class StubPeerTable:
    """Peer table without connections."""

    def __init__(self):
        own_address = HostAddress("own", "zone", "region", ADDRESS, 0, 0)
        self.hosts = HostTable(own_address, (), ManualClock())
        self.streams = {name: StubStream(name) for name in ("a", "b", "c")}
        self.on_connect = []

    def register_handler(self, message_type, handler):
        """Ignore the handler; no messages arrive."""


@register_measurement("loads")
def measure_loads(sizes=(25, 75, 150)):
    """Measure the cost of recording and forwarding the loads of a zone's engines."""
    rows = []
    for size in sizes:
        forwarder = LoadForwarder(
            UpstreamTable(None, None, ManualClock()), StubPeerTable(), ManualClock()
        )
        started_s = time.process_time()
        for round_number in range(1, LOAD_ROUNDS + 1):
            samples = [
                LoadSample(f"engine-{number:04d}", float(round_number), 7, 0, 8)
                for number in range(size)
            ]
            frame = encode_frame(0, LoadDigest.from_samples(samples))
            for sample in samples:
                forwarder.record(sample, "a")
        cpu_us = (time.process_time() - started_s) / LOAD_ROUNDS * 1e6
        rows.append(SlopeRow(size, (len(frame), cpu_us)))
    columns = ("bytes of a digest", "processor time of a digest, us")
    return SlopeTable("engines of a zone", columns, tuple(rows))


@register_measurement("polls")
def measure_polls(sizes=(100, 200, 400)):
    """Measure the CPU time of engine polls, including that of the stand-in."""
    rows = [SlopeRow(size, (asyncio.run(measure_poll_cpu(size)),)) for size in sizes]
    return SlopeTable("polls", ("processor time, us",), tuple(rows))


async def measure_poll_cpu(count):
    """Return the CPU time of a number of polls, in microseconds."""
    port = find_free_port()
    standin = EngineStandin("engine", ["model"], EnginePerformance())
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
