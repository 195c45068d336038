"""Experiments: seeded traffic, faults at stand-ins, figures."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from sapphirerock.load.caller import Caller
from sapphirerock.load.report import Report, summarise

FAULT_BOUND_S = 2.0
GOODPUT_BUCKET_S = 1.0
# Shorter gaps are an engine's ordinary rhythm.
BREAK_S = 0.1
# Time within which tokens arrive that were sent before a loss.
FLIGHT_S = 0.1
ROUTER_METRICS = (
    "sapphirerock_recoveries_total",
    "sapphirerock_tokens_prefilled_again_total",
    "sapphirerock_tokens_unprotected_total",
    "sapphirerock_tokens_dropped_total",
    "sapphirerock_tokens_total",
    "sapphirerock_peer_bytes_total",
    "sapphirerock_upstream_bytes_total",
    "sapphirerock_resume_latency_seconds_sum",
    "sapphirerock_resume_latency_seconds_count",
    "sapphirerock_refusals_total",
)


@dataclass(slots=True, frozen=True)
class PlannedFault:
    """A fault at a time after the start.

    Parameters
    ----------
    at_s : float
        Seconds after the start.
    target : str
        Address of a stand-in.
    kind : str
        Name of the fault.
    fields : dict
        Its further fields.
    """

    at_s: float
    target: str
    kind: str
    fields: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Plan:
    """An experiment.

    Parameters
    ----------
    routers, engines : tuple of str
        Addresses.
    key, model : str
        The organisation's key and the model to ask for.
    rate_per_s : float
        Mean arrivals a second, as a Poisson process.
    duration_s : float
        Time over which requests arrive.
    tokens : tuple of (int, int)
        Fewest and most tokens of a generation.
    start_timeout_s : float
        Deadline of the first token.
    resends_lost : bool
        Whether a caller whose generation was lost asks again from the start,
        as callers of the naive policy do.
    """

    name: str
    routers: tuple
    engines: tuple
    key: str
    model: str
    rate_per_s: float
    duration_s: float
    tokens: tuple = (100, 200)
    start_timeout_s: float = 30.0
    resends_lost: bool = False
    prompt_chars: int = 400
    faults: tuple = ()


def read_plan(path):
    """Read a plan from a JSON file."""
    with open(path, "rb") as stream:
        return decode_plan(orjson.loads(stream.read()))


def decode_plan(document):
    """Return the plan that a JSON object describes."""
    values = dict(document)
    values["faults"] = tuple(PlannedFault(**item) for item in values.get("faults", ()))
    for name in ("routers", "engines", "tokens"):
        if name in values:
            values[name] = tuple(values[name])
    return Plan(**values)


class Experiment:
    """One run of a plan.

    Parameters
    ----------
    plan : Plan
        What to do.
    seed : int
        Seed of arrivals, lengths and prompts.
    """

    def __init__(self, plan, seed):
        self._plan = plan
        self._seed = seed
        self._random = random.Random(seed)
        self._records = []
        self._chains = []
        self._faulted_at_s = []
        self._session = None

    async def run(self):
        """Run to the end of all generations.

        Returns
        -------
        Report
        """
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as self._session:
            before = await self._read_counters()
            started_s = time.monotonic()
            faults = [
                asyncio.ensure_future(self._inject(item, started_s))
                for item in self._plan.faults
            ]
            await self._arrive(started_s)
            await asyncio.gather(*faults)
            after = await self._read_counters()
        return self._make_report(started_s, before, after)

    async def _arrive(self, started_s):
        calls = []
        at_s = 0.0
        number = 0
        while True:
            at_s += self._random.expovariate(self._plan.rate_per_s)
            if at_s > self._plan.duration_s:
                break
            tokens = self._random.randint(*self._plan.tokens)
            prompt = self._make_prompt(number)
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            calls.append(asyncio.ensure_future(self._call(prompt, tokens, number)))
            number += 1
        await asyncio.gather(*calls)

    def _make_prompt(self, number):
        letters = "abcdefghijklmnopqrstuvwxyz "
        length = self._plan.prompt_chars
        return f"{number} " + "".join(self._random.choices(letters, k=length))

    async def _call(self, prompt, tokens, number):
        """Read one generation; ask again from the start where that is planned."""
        plan = self._plan
        caller = Caller(self._session, plan.routers, plan.key, plan.model)
        chain = []
        while True:
            record = await caller.generate(
                prompt, tokens, first=number, start_timeout_s=plan.start_timeout_s
            )
            chain.append(record)
            lost = record.problem and record.problem["type"].endswith("generation-lost")
            if not (lost and plan.resends_lost):
                break
        self._chains.append(chain)
        self._records.append(record)

    async def _inject(self, fault, started_s):
        await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
        self._faulted_at_s.append(time.monotonic())
        try:
            async with self._session.post(
                fault.target + "/faults",
                json={"kind": fault.kind, **fault.fields},
                timeout=ClientTimeout(total=FAULT_BOUND_S),
            ):
                return
        except (ClientError, TimeoutError, OSError):
            return

    async def _read_counters(self):
        """Return the sums of what engines and routers count."""
        totals = Counter()
        for url in self._plan.engines:
            document = await self._get(url + "/v1/counters")
            if document:
                counters = orjson.loads(document)
                totals["decoded"] += counters["decoded_tokens"]
                totals["prefilled"] += counters["prefilled_tokens"]
        for url in self._plan.routers:
            document = await self._get(url + "/metrics")
            for line in (document or b"").decode().splitlines():
                name = line.split("{")[0].split(" ")[0]
                if name in ROUTER_METRICS:
                    label = line.rsplit(" ", 1)[0].removeprefix("sapphirerock_")
                    totals[label] += float(line.rsplit(" ", 1)[1])
        return totals

    async def _get(self, url):
        try:
            async with self._session.get(
                url, timeout=ClientTimeout(total=FAULT_BOUND_S)
            ) as answer:
                return await answer.read()
        except (ClientError, TimeoutError, OSError):
            return None

    def _make_report(self, started_s, before, after):
        whole = [record for record in self._records if record.is_whole]
        refused = [record for record in self._records if is_refused(record)]
        report = Report(self._plan.name, self._seed)
        report.whole = len(whole)
        report.refused = len(refused)
        report.broken = len(self._records) - len(whole) - len(refused)
        report.refused_in_s = summarise(
            record.ended_s - record.started_s for record in refused
        )
        report.first_token_s = summarise(
            record.first_token_s for record in whole if record.arrivals
        )
        report.gap_s = summarise(gap for record in whole for gap in list_gaps(record))
        report.resume_latency_s = summarise(self._list_resume_latencies())
        report.goodput_tokens_per_s = self._measure_goodput(started_s)
        report.tokens_delivered = sum(len(record.tokens) for record in whole)
        report.tokens_decoded = after["decoded"] - before["decoded"]
        report.tokens_prefilled = after["prefilled"] - before["prefilled"]
        report.router_metrics = {
            name: after[name] - before[name]
            for name in sorted(after)
            if name not in ("decoded", "prefilled") and after[name] != before[name]
        }
        return report

    def _list_resume_latencies(self):
        """Return for each broken generation the time until it went further."""
        latencies = []
        for chain in self._chains:
            for moment_s in self._faulted_at_s:
                latency_s = find_resume_latency(chain, moment_s)
                if latency_s is not None:
                    latencies.append(latency_s)
        return latencies

    def _measure_goodput(self, started_s):
        """Return tokens that reached callers in each second."""
        seconds = Counter()
        for chain in self._chains:
            for record in chain:
                previous = 0
                for at_s, count in record.arrivals:
                    seconds[int((at_s - started_s) / GOODPUT_BUCKET_S)] += (
                        count - previous
                    )
                    previous = count
        return [seconds[second] for second in range(max(seconds, default=0) + 1)]


def is_refused(record):
    """Return whether a generation was refused before its first token."""
    return not record.tokens and record.problem is not None


def list_gaps(record):
    """Return the times between the events of a generation."""
    times = [at_s for at_s, _ in record.arrivals]
    return [after - before for before, after in zip(times, times[1:], strict=False)]


def find_resume_latency(chain, moment_s):
    """Return the time from a loss until a generation went further than before.

    Tokens that were on their way arrive shortly after the loss, so the break is
    the first long gap that begins around it. With a policy that starts again the
    new answer has to pass the offset that the old one had reached. None for a
    generation that was not under way, or went on without a break of note.
    """
    reached, reached_s = 0, None
    for record in chain:
        for at_s, count in record.arrivals:
            if count <= reached:
                continue
            if reached_s is not None and at_s > moment_s:
                if reached_s > moment_s + FLIGHT_S:
                    return None
                if at_s - max(reached_s, moment_s) > BREAK_S:
                    return at_s - moment_s
            reached, reached_s = count, at_s
    return None


async def run_plan(plan, seed):
    """Run a plan once; return the report as a JSON object."""
    report = await Experiment(plan, seed).run()
    return report.to_document()
