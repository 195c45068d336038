"""Command ``sapphirerock-standin``: runs a stand-in for an external system."""

import click

from sapphirerock import __version__
from sapphirerock.commands.worker import run_service
from sapphirerock.process.telemetry.logs import configure_logs
from sapphirerock.process.web import WebService
from sapphirerock.standin import brokenresponses  # noqa: F401 (registers faults)
from sapphirerock.standin.batch import EnginePerformance
from sapphirerock.standin.engine import EngineService, EngineStandin
from sapphirerock.standin.link import LinkService, LinkStandin, parse_forward
from sapphirerock.standin.platform import PlatformStandin
from sapphirerock.standin.service import ServiceStandin
from sapphirerock.standin.sharedengine import (
    EngineTraits,
    SharedEngineService,
    SharedEngineStandin,
)


@click.group()
@click.version_option(__version__)
def main():
    """Run a stand-in for an external system.

    Example: sapphirerock-standin engine --name e1 --port 9101 --model quote
    """
    configure_logs(level="WARNING")


def add_listen_options(command):
    """Add the ``--host`` and ``--port`` options, common to all stand-ins."""
    command = click.option("--port", type=int, required=True, help="TCP port.")(command)
    return click.option("--host", default="127.0.0.1", help="IP number.")(command)


@main.command()
@add_listen_options
@click.option("--name", required=True, help="Name of the upstream.")
@click.option("--model", "models", multiple=True, help="A model loaded at the start.")
@click.option("--capacity", default=16, help="Generations in one batch.")
@click.option("--token-interval", default=0.02, help="Seconds for one token.")
@click.option("--report-lag", default=0.0, help="Age of load reports, in seconds.")
@click.option("--crash-marker", default="", help="Prompts with it kill the engine.")
@click.option("--order-delay", default=0.0, help="Seconds that an order takes.")
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option("--salt", type=int, help="What decides the tokens; drawn by default.")
def engine(
    host,
    port,
    name,
    models,
    capacity,
    token_interval,
    report_lag,
    crash_marker,
    order_delay,
    checks_fencing,
    salt,
):
    """Run a model engine."""
    performance = EnginePerformance(capacity=capacity, token_interval_s=token_interval)
    standin = EngineStandin(
        name,
        models,
        performance,
        checks_fencing,
        report_lag,
        crash_marker,
        order_delay,
        salt,
    )
    run_service(EngineService(standin, host, port))


@main.command()
@add_listen_options
@click.option("--name", required=True, help="Name of the upstream.")
@click.option("--delay", default=0.0, help="Seconds that a call takes.")
def service(host, port, name, delay):
    """Run an upstream of a plain service."""
    standin = ServiceStandin(name, delay)
    run_service(WebService(standin.make_application(), host, port))


@main.command("shared-engine")
@add_listen_options
@click.option("--store", "store_url", required=True, help="URL of the platform.")
@click.option("--service", required=True, help="What it serves.")
@click.option("--zone", required=True, help="Availability zone.")
@click.option("--slots", default=16, help="Calls at once.")
@click.option("--event", "event_s", default=0.02, help="Seconds between events.")
@click.option("--prompt", "prompt_s", default=0.1, help="Seconds to read a prompt.")
@click.option("--work", "work_s", default=0.01, help="Seconds of a plain call.")
@click.option("--poison", default="", help="Requests with it crash the engine.")
@click.option("--silence", "silence_s", default=0.0, help="Seconds before it is back.")
@click.option("--version", default="v1", help="Software version that it registers.")
def shared_engine(
    host,
    port,
    store_url,
    service,
    zone,
    slots,
    event_s,
    prompt_s,
    work_s,
    poison,
    silence_s,
    version,
):
    """Run an engine of the shared platform."""
    traits = EngineTraits(
        service,
        zone,
        slots,
        event_s,
        prompt_s,
        work_s,
        poison=poison,
        version=version,
        silence_s=silence_s,
    )
    standin = SharedEngineStandin(traits)
    run_service(SharedEngineService(standin, host, port, store_url))


@main.command()
@add_listen_options
@click.option("--delay", default=0.001, help="Seconds that a call takes.")
@click.option("--write-rate", type=float, help="Writes a second, at most.")
@click.option("--history", default=10_000, help="Changes that watches can go back.")
def platform(host, port, delay, write_rate, history):
    """Run the platform's store."""
    standin = PlatformStandin(delay, write_rate, history)
    run_service(WebService(standin.make_application(), host, port))


@main.command()
@add_listen_options
@click.option(
    "--forward", "forwards", multiple=True, help="LISTEN_ADDRESS:PORT:ADDRESS:PORT."
)
def link(host, port, forwards):
    """Run a network link that can be cut. --port accepts the faults."""
    parsed = [parse_forward(text) for text in forwards]
    run_service(LinkService(LinkStandin(), host, port, parsed))
