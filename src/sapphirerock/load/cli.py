"""Command ``sapphirerock-load``: calls, experiments, measurements and replays."""

import asyncio
import hashlib
import sys

import click
import orjson
from aiohttp import ClientSession, ClientTimeout

from sapphirerock import __version__
from sapphirerock.load import unitcosts  # noqa: F401 (registers measurements)
from sapphirerock.load.caller import Caller
from sapphirerock.load.capacity import FleetSize, format_capacity, read_unit_costs
from sapphirerock.load.experiment import read_plan, run_plan
from sapphirerock.load.replay.patterns import PATTERNS
from sapphirerock.load.replay.policies import POLICIES
from sapphirerock.load.replay.report import (
    draw_plot,
    format_table,
    summarise_replays,
)
from sapphirerock.load.replay.simulation import replay as replay_pattern
from sapphirerock.load.report import format_report
from sapphirerock.load.slopes import MEASUREMENTS, format_slopes
from sapphirerock.process.telemetry.logs import configure_logs

CALL_TIMEOUT_S = 10.0


@click.group()
@click.version_option(__version__)
def main():
    """Generate load, inject faults into stand-ins and measure costs.

    Example: sapphirerock-load generate --router http://127.0.0.1:8101 --key K
    --model quote --tokens 100
    """


def add_caller_options(command):
    """Add the options shared by commands that call routers."""
    command = click.option("--key", required=True, help="API key of the organisation.")(
        command
    )
    return click.option(
        "--router", "routers", multiple=True, required=True, help="Address of a router."
    )(command)


@main.command()
@add_caller_options
@click.option("--model", required=True, help="Name of the model.")
@click.option("--prompt", default="a long pattern archive", help="The prompt.")
@click.option("--tokens", default=100, help="Number of tokens to generate.")
def generate(routers, key, model, prompt, tokens):
    """Read one generation and check that it is complete and correct.

    Example: sapphirerock-load generate --router http://127.0.0.1:8101 --key K
    --model quote --tokens 100
    """

    async def run():
        async with ClientSession() as session:
            return await Caller(session, routers, key, model).generate(prompt, tokens)

    record = asyncio.run(run())
    longest_ms = 1000 * record.longest_gap_s
    click.echo(
        f"{len(record.tokens)} tokens, whole: {record.is_whole}, "
        f"connections: {len(record.router_urls)}, longest gap: {longest_ms:.0f} ms"
    )
    if record.problem:
        click.echo(orjson.dumps(record.problem).decode())
    sys.exit(0 if record.is_whole else 1)


@main.command()
@add_caller_options
@click.option("--service", required=True, help="Name of a plain service.")
@click.option("--path", required=True, help="Path of the call.")
@click.option("--idempotency-key", required=True, help="Idempotency key of the order.")
@click.option("--body", default="{}", help="Request body.")
def order(routers, key, service, path, idempotency_key, body):
    """Send the same order, with one idempotency key, through each router given.

    Example: sapphirerock-load order --router http://127.0.0.1:8101 --key K
    --service stock --path orders/fleece --idempotency-key purchase-1
    """

    async def run():
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        headers = {
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": idempotency_key,
        }
        async with ClientSession(timeout=timeout, headers=headers) as session:
            for url in routers:
                call_url = f"{url}/v1/services/{service}/{path}"
                async with session.post(call_url, data=body) as response:
                    outcome = response.headers.get("Sapphirerock-Outcome", "")
                    click.echo(f"{url}: status {response.status}, outcome {outcome}")

    asyncio.run(run())


@main.command()
@click.argument("plan_file", type=click.Path(exists=True, dir_okay=False))
@click.option("--seed", default=1, help="Seed of arrivals, prompts and faults.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def run(plan_file, seed, as_json):
    """Run an experiment against running routers and stand-ins.

    PLAN_FILE is a JSON file with the routers, engines, traffic and faults.

    Example: sapphirerock-load run plan.json --seed 7
    """
    plan = read_plan(plan_file)
    report = asyncio.run(run_plan(plan, seed))
    click.echo(orjson.dumps(report).decode() if as_json else format_report(report))


@main.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(MEASUREMENTS)))
def slopes(names):
    """Measure how memory, time and bytes grow with the size of the fleet.

    Example: sapphirerock-load slopes organisations peers
    """
    configure_logs(level="ERROR")
    chosen = names or sorted(MEASUREMENTS)
    for name in chosen:
        click.echo(format_slopes(name, MEASUREMENTS[name]()))


@main.command()
@click.argument("measured_file", type=click.Path(exists=True, dir_okay=False))
def capacity(measured_file):
    """Estimate the resources of a fleet of the planned size from measured costs.

    Example: sapphirerock-load capacity docs/measured.json
    """
    click.echo(format_capacity(FleetSize(), read_unit_costs(measured_file)))


@main.command()
@click.argument("patterns", nargs=-1, type=click.Choice(sorted(PATTERNS)))
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(sorted(POLICIES)),
    help="A policy to compare; all policies by default.",
)
@click.option(
    "--seeds", default=6, help="Replays of each pattern and policy, with seeds from 0."
)
@click.option("--plot", type=click.Path(dir_okay=False), help="SVG file to write.")
def replay(patterns, policies, seeds, plot):
    """Replay load patterns in simulated time and compare decision policies.

    Example: sapphirerock-load replay overload --policy "no admission"
    --policy least-prompt-tokens --plot overload.svg
    """
    if seeds < 1:
        raise click.BadParameter("at least 1 is needed", param_hint="--seeds")
    configure_logs(level="ERROR")
    summaries = [
        summarise_replays(
            pattern, policy, replay_pattern(pattern, POLICIES[policy], range(seeds))
        )
        for pattern in patterns or sorted(PATTERNS)
        for policy in policies or sorted(POLICIES)
    ]
    click.echo(format_table(summaries))
    if plot is None:
        return
    try:
        draw_plot(summaries, plot)
    except ImportError as error:
        raise click.ClickException(
            "plots need the extra 'plots': pip install 'sapphirerock[plots]'"
        ) from error


@main.command("hash")
@click.argument("text")
def hash_text(text):
    """Print the SHA-256 of a text, the form in which settings store keys."""
    click.echo(hashlib.sha256(text.encode()).hexdigest())
