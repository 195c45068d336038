"""Experiments with seeded traffic and faults injected into stand-ins."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from sapphirerock.load.caller import Caller
from sapphirerock.load.report import Report, summarise

REQUEST_TIMEOUT_S = 2.0
GOODPUT_BUCKET_S = 1.0
# Shorter gaps are normal token pacing of an engine.
MIN_INTERRUPTION_S = 0.1
# Tokens sent before a failure may arrive this much later.
IN_FLIGHT_S = 0.1
# Metrics of routers whose increase during an experiment is reported.
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
    """A fault injected into a stand-in during an experiment.

    Parameters
    ----------
    at_s : float
        Seconds after the start of the experiment.
    target : str
        Address of the stand-in.
    kind : str
        Name of the fault.
    fields : dict
        Further fields of the request to the stand-in.
    """

    at_s: float
    target: str
    kind: str
    fields: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Plan:
    """Configuration of an experiment.

    Parameters
    ----------
    name : str
        Name of the experiment, shown in the report.
    routers, engines : tuple of str
        Addresses of the routers and of the engine stand-ins.
    key, model : str
        API key of the organisation, and name of the model.
    rate_per_s : float
        Mean arrival rate of the Poisson process.
    duration_s : float
        Time during which requests arrive, in seconds.
    tokens : tuple of (int, int)
        Smallest and largest number of tokens of a generation.
    start_timeout_s : float
        Time that each request allows for its first token, in seconds.
    resends_lost : bool
        Whether a caller restarts a lost generation from its beginning, as callers
        of the naive policy do.
    prompt_chars : int
        Number of random characters of a prompt.
    faults : tuple of PlannedFault
        Faults to inject.
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
    """Return the plan described by a JSON object."""
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
        Configuration of the run.
    seed : int
        Seed of arrivals, lengths and prompts.
    """

    def __init__(self, plan, seed):
        self._plan = plan
        self._seed = seed
        self._random = random.Random(seed)
        self._records = []
        self._attempts_per_call = []
        self._fault_times_s = []
        self._session = None

    async def run(self):
        """Run until all generations have ended.

        Returns
        -------
        Report
        """
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as self._session:
            before = await self._read_counters()
            started_s = time.monotonic()
            faults = [
                asyncio.ensure_future(self._inject_fault(item, started_s))
                for item in self._plan.faults
            ]
            await self._run_traffic(started_s)
            await asyncio.gather(*faults)
            after = await self._read_counters()
        return self._make_report(started_s, before, after)

    async def _run_traffic(self, started_s):
        """Start calls as a Poisson process and wait until all have ended."""
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
            calls.append(asyncio.ensure_future(self._run_call(prompt, tokens, number)))
            number += 1
        await asyncio.gather(*calls)

    def _make_prompt(self, number):
        letters = "abcdefghijklmnopqrstuvwxyz "
        length = self._plan.prompt_chars
        return f"{number} " + "".join(self._random.choices(letters, k=length))

    async def _run_call(self, prompt, tokens, number):
        """Read one generation; restart a lost one if the plan says so."""
        plan = self._plan
        caller = Caller(self._session, plan.routers, plan.key, plan.model)
        attempts = []
        while True:
            record = await caller.generate(
                prompt,
                tokens,
                first_router=number,
                start_timeout_s=plan.start_timeout_s,
            )
            attempts.append(record)
            is_lost = record.problem and record.problem["type"].endswith(
                "generation-lost"
            )
            if not (is_lost and plan.resends_lost):
                break
        self._attempts_per_call.append(attempts)
        self._records.append(record)

    async def _inject_fault(self, fault, started_s):
        """Inject a fault at its time, which is recorded even if the request fails."""
        await asyncio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
        self._fault_times_s.append(time.monotonic())
        try:
            async with self._session.post(
                fault.target + "/faults",
                json={"kind": fault.kind, **fault.fields},
                timeout=ClientTimeout(total=REQUEST_TIMEOUT_S),
            ):
                return
        except (ClientError, TimeoutError, OSError):
            return

    async def _read_counters(self):
        """Return the counters summed over all engines and over all routers."""
        totals = Counter()
        for url in self._plan.engines:
            document = await self._fetch(url + "/v1/counters")
            if document:
                counters = orjson.loads(document)
                totals["decoded"] += counters["decoded_tokens"]
                totals["prefilled"] += counters["prefilled_tokens"]
        for url in self._plan.routers:
            document = await self._fetch(url + "/metrics")
            for line in (document or b"").decode().splitlines():
                name = line.split("{")[0].split(" ")[0]
                if name in ROUTER_METRICS:
                    label = line.rsplit(" ", 1)[0].removeprefix("sapphirerock_")
                    totals[label] += float(line.rsplit(" ", 1)[1])
        return totals

    async def _fetch(self, url):
        """Return the body of a response; None if the request fails."""
        try:
            async with self._session.get(
                url, timeout=ClientTimeout(total=REQUEST_TIMEOUT_S)
            ) as response:
                return await response.read()
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
        """Return the seconds until each interrupted generation resumed."""
        latencies = []
        for attempts in self._attempts_per_call:
            for fault_s in self._fault_times_s:
                latency_s = find_resume_latency(attempts, fault_s)
                if latency_s is not None:
                    latencies.append(latency_s)
        return latencies

    def _measure_goodput(self, started_s):
        """Return the number of tokens received by callers in each second."""
        tokens_by_second = Counter()
        for attempts in self._attempts_per_call:
            for record in attempts:
                previous = 0
                for at_s, count in record.arrivals:
                    tokens_by_second[int((at_s - started_s) / GOODPUT_BUCKET_S)] += (
                        count - previous
                    )
                    previous = count
        return [
            tokens_by_second[second]
            for second in range(max(tokens_by_second, default=0) + 1)
        ]


def is_refused(record):
    """Return whether a generation ended with an error before its first token."""
    return not record.tokens and record.problem is not None


def list_gaps(record):
    """Return the seconds between successive events of a generation."""
    times = [at_s for at_s, _ in record.arrivals]
    return [after - before for before, after in zip(times, times[1:], strict=False)]


def find_resume_latency(attempts, fault_s):
    """Return the seconds from a fault to the next new token of a generation.

    Tokens in flight still arrive shortly after the fault, so the interruption is the
    first long gap that starts near the fault. When a lost generation is restarted,
    its tokens are new only beyond the offset that earlier attempts reached.

    Parameters
    ----------
    attempts : list of CallRecord
        All attempts of one call, in order.
    fault_s : float
        Monotonic time of the fault.

    Returns
    -------
    float or None
        None if the generation was not in progress or not interrupted.
    """
    received_tokens, received_s = 0, None
    for record in attempts:
        for at_s, count in record.arrivals:
            if count <= received_tokens:
                continue
            if received_s is not None and at_s > fault_s:
                if received_s > fault_s + IN_FLIGHT_S:
                    return None
                if at_s - max(received_s, fault_s) > MIN_INTERRUPTION_S:
                    return at_s - fault_s
            received_tokens, received_s = count, at_s
    return None


async def run_plan(plan, seed):
    """Run a plan once; return the report as a JSON object."""
    report = await Experiment(plan, seed).run()
    return report.to_document()
