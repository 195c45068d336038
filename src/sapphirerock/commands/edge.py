"""Command of an entry host's router on the shared platform."""

import sys

import click

from sapphirerock.commands.worker import run_service
from sapphirerock.platform.names import SETTINGS_VARIABLE
from sapphirerock.platform.settingsfile import read_profile
from sapphirerock.process.edge import Edge
from sapphirerock.process.telemetry.logs import configure_logs


@click.command()
@click.argument("settings_file", envvar=SETTINGS_VARIABLE)
def main(settings_file):
    """Run the router of an entry host on the shared platform."""
    read = read_profile(settings_file)
    if read.is_error():
        click.echo(f"{settings_file}: {read.error}", err=True)
        sys.exit(2)
    configure_logs("json", "INFO")
    run_service(Edge(read.ok))


if __name__ == "__main__":
    main()
