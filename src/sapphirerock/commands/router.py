"""Command ``sapphirerock-router``."""

import sys

import click

from sapphirerock import __version__
from sapphirerock.commands.worker import run_service
from sapphirerock.process.router import RouterService
from sapphirerock.process.settings.hostsettings import read_host_settings
from sapphirerock.process.telemetry.logs import configure_logs


@click.command()
@click.version_option(__version__)
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(settings_file, check):
    """Run the router of an entry host.

    SETTINGS_FILE is the host's own settings, in JSON.

    Example: sapphirerock-router /etc/sapphirerock/host.json
    """
    read = read_host_settings(settings_file)
    if read.is_error():
        for fault in read.error.faults:
            click.echo(f"{settings_file}: {fault}", err=True)
        sys.exit(2)
    if check:
        click.echo(f"{settings_file}: good")
        return
    settings = read.ok
    configure_logs(settings.logs.style, settings.logs.level)
    run_service(RouterService(settings))
