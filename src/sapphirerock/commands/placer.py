"""Command ``sapphirerock-placer``: runs the placer of a host."""

import sys

import click

from sapphirerock import __version__
from sapphirerock.commands.worker import run_service
from sapphirerock.process.orders.placer import PlacerService
from sapphirerock.process.settings.hostsettings import read_host_settings
from sapphirerock.process.telemetry.logs import configure_logs


@click.command()
@click.version_option(__version__)
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def main(settings_file):
    """Run the placer of an entry host.

    SETTINGS_FILE is the host's own settings file, the same as for the router.

    Example: sapphirerock-placer /etc/sapphirerock/host.json
    """
    result = read_host_settings(settings_file)
    if result.is_error():
        for fault in result.error.faults:
            click.echo(f"{settings_file}: {fault}", err=True)
        sys.exit(2)
    settings = result.ok
    configure_logs(settings.logs.style, settings.logs.level)
    run_service(PlacerService(settings))
