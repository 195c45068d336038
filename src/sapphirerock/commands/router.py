"""Command ``sapphirerock-router``: runs the router of a host."""

import sys

import click

from sapphirerock import __version__
from sapphirerock.commands.imports import (
    defer_croniter,
    pause_collection,
    skip_certificates,
)
from sapphirerock.platform.names import SETTINGS_VARIABLE
from sapphirerock.process.telemetry.logs import configure_logs


def prepare_router(settings_file, metrics_port, check):
    """Return the router that the host's own settings describe.

    Returns
    -------
    expression.Result of RouterService or SettingsError
    """
    # Imported here because each kind of router needs modules that the other does not;
    # loading both would take memory.
    from sapphirerock.process.router import RouterService
    from sapphirerock.process.settings.hostsettings import read_host_settings

    def prepare(settings):
        configure_logs(settings.logs.style, settings.logs.level)
        return RouterService(settings)

    return read_host_settings(settings_file).map(prepare)


def prepare_edge(settings_file, metrics_port, check):
    """Return the router that the shared platform's settings describe.

    Unless the settings are only checked, it listens for callers from now on.

    Returns
    -------
    expression.Result of Edge or SettingsError
    """
    from sapphirerock.connection.listener import open_listener
    from sapphirerock.platform.settingsfile import read_profile

    def prepare(profile):
        configure_logs("json", "INFO")
        endpoint = profile.caller_endpoint
        try:
            listening = None if check else open_listener(endpoint)
        except OSError as error:
            cause = error.strerror.lower()
            click.echo(f"callers' address {endpoint}: {cause}", err=True)
            sys.exit(1)
        # Connections wait while most modules are imported.
        from sapphirerock.process.edge import Edge

        return Edge(profile, settings_file, metrics_port, listening)

    return read_profile(settings_file).map(prepare)


@click.command()
@click.version_option(__version__)
@click.argument("settings_file", envvar=SETTINGS_VARIABLE, type=click.Path())
@click.option("--platform", is_flag=True, help="Run on the shared platform.")
@click.option("--metrics-port", default=9464, help="Port for metrics, with --platform.")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(settings_file, platform, metrics_port, check):
    """Run the router of an entry host.

    SETTINGS_FILE is the host's own settings file, in JSON. With --platform, it is
    the file that the shared platform writes and names in an environment variable.

    Example: sapphirerock-router /etc/sapphirerock/host.json
    """
    prepare = prepare_edge if platform else prepare_router
    # Hosts speak plain HTTP to callers, upstreams, peers and the store.
    with skip_certificates(), defer_croniter(), pause_collection():
        # Like most modules of the router, imported while no garbage is collected.
        from sapphirerock.commands.worker import run_service

        prepared = prepare(settings_file, metrics_port, check)
    if prepared.is_error():
        for fault in prepared.error.faults:
            click.echo(f"{settings_file}: {fault}", err=True)
        sys.exit(2)
    if check:
        click.echo(f"{settings_file}: good")
        return
    run_service(prepared.ok)


if __name__ == "__main__":
    main()
