"""Command ``sapphirerockctl``: settings and status for operators."""

import asyncio
import difflib
import hashlib
import secrets
import sys

import click
import orjson

from sapphirerock import __version__
from sapphirerock.commands.controlclient import ControlClient
from sapphirerock.process.settings.tree import read_tree, validate_tree

IN_FORCE_TIMEOUT_S = 4.0
KEY_BYTES = 24


@click.group()
@click.version_option(__version__)
@click.option(
    "--router",
    envvar="SAPPHIREROCK_ROUTER",
    default="http://127.0.0.1:8101",
    help="URL of any router.",
)
@click.option(
    "--token", envvar="SAPPHIREROCK_TOKEN", default="", help="The operator's token."
)
@click.pass_context
def main(context, router, token):
    """Apply settings and show their status.

    Example: sapphirerockctl --router http://127.0.0.1:8101 status
    """
    context.obj = ControlClient(router, token)


def fail(message):
    """Print an error and exit with status 1."""
    click.echo(message, err=True)
    sys.exit(1)


def unwrap_or_fail(result):
    """Return the value of a result, or print its failure and exit."""
    if result.is_error():
        fail(f"{result.error.status}: {result.error.detail}")
    return result.ok


def format_document(document):
    """Return the lines of a document as indented JSON; none if there is no document."""
    if document is None:
        return []
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    return orjson.dumps(document, option=options).decode().splitlines()


def load_valid_tree(folder):
    """Return the files of a settings tree, or print its faults and exit."""
    files = read_tree(folder)
    faults = validate_tree(files)
    for path, fault in faults:
        click.echo(f"{path}: {fault}", err=True)
    if faults:
        sys.exit(1)
    return files


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def validate(folder):
    """Validate a settings tree without contacting a router.

    Example: sapphirerockctl validate examples/telar
    """
    files = load_valid_tree(folder)
    click.echo(f"{len(files)} objects, all good")


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.pass_obj
def diff(client, folder):
    """Show how a settings tree differs from the stored settings.

    Example: sapphirerockctl diff examples/telar
    """
    files = load_valid_tree(folder)

    async def run():
        async with client:
            return [
                (item, unwrap_or_fail(await client.get(item.path))) for item in files
            ]

    changed = False
    for item, remote in asyncio.run(run()):
        lines = difflib.unified_diff(
            format_document(remote.document),
            format_document(item.document),
            f"{item.path} version {remote.version}",
            f"{item.path} in the tree",
            lineterm="",
        )
        for line in lines:
            changed = True
            click.echo(line)
    if not changed:
        click.echo("no difference")


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--wait", is_flag=True, help="Wait until every live host uses it.")
@click.pass_obj
def apply(client, folder, wait):
    """Write a settings tree to the platform, object by object.

    Example: sapphirerockctl apply --wait examples/telar
    """
    files = load_valid_tree(folder)

    async def run():
        async with client:
            version = 0
            for item in files:
                version = max(version, await apply_file(client, item))
            if wait and version:
                missing = unwrap_or_fail(
                    await client.wait_in_force(version, IN_FORCE_TIMEOUT_S)
                )
                report_rollout(version, missing)

    asyncio.run(run())


async def apply_file(client, item):
    """Write one object if it differs from the stored one, and return its version."""
    remote = unwrap_or_fail(await client.get(item.path))
    if remote.document == item.document:
        click.echo(f"{item.path}: unchanged, version {remote.version}")
        return remote.version
    version = unwrap_or_fail(await client.put(item.path, item.document, remote.version))
    click.echo(f"{item.path}: version {version}")
    return version


def report_rollout(version, missing):
    """Print that a version is in force, or print the hosts where it is not and exit."""
    if missing:
        fail(f"version {version} is not in force at: {', '.join(missing)}")
    click.echo(f"version {version} is in force on every live host")


@main.command()
@click.argument("path")
@click.pass_obj
def get(client, path):
    """Print one stored settings object.

    Example: sapphirerockctl get telar/services/critique
    """

    async def run():
        async with client:
            return unwrap_or_fail(await client.get(path))

    remote = asyncio.run(run())
    if not remote.version:
        fail(f"{path}: there is no such object")
    click.echo(f"# version {remote.version}, by {remote.operator}", err=True)
    click.echo("\n".join(format_document(remote.document)))


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
@click.pass_obj
def status(client, as_json):
    """Show a router's settings version, peers and upstreams.

    Example: sapphirerockctl status
    """

    async def run():
        async with client:
            return unwrap_or_fail(await client.read_status())

    router_status = asyncio.run(run())
    if as_json:
        click.echo("\n".join(format_document(router_status)))
        return
    click.echo(
        f"{router_status['host']} in {router_status['availability_zone']}, "
        f"settings version {router_status['settings_horizon']}, "
        f"{len(router_status['settings'])} objects, "
        f"{router_status['generations']} generations"
    )
    click.echo(f"peers: {', '.join(router_status['peers']) or 'none'}")
    for path, fault in router_status["settings_refused"].items():
        click.echo(f"refused: {path}: {fault}")
    for item in router_status["upstreams"]:
        state = "usable" if item["usable"] else "not usable"
        state = "leaving" if item["leaving"] else state
        click.echo(
            f"{item['name']:<24} {state:<10} running {item['running']:>3} "
            f"queued {item['queued']:>3} of {item['capacity']:>3}"
        )


@main.command()
@click.argument("model")
@click.option(
    "--organisation", default="", help="Organisation that sends the requests."
)
@click.pass_obj
def explain(client, model, organisation):
    """Show how requests for a model are routed.

    Example: sapphirerockctl explain pattern-critique
    """

    async def run():
        async with client:
            return unwrap_or_fail(await client.read_status())

    router_status = asyncio.run(run())
    routes = router_status["routes"].get(model, [])
    for route in routes:
        admitted = not route["organisations"] or organisation in route["organisations"]
        verdict = "taken" if admitted else f"not for {organisation or 'others'}"
        click.echo(f"{model} -> service {route['service']}: {verdict}")
        if admitted:
            for line in describe_upstreams(router_status, route["service"]):
                click.echo(line)
            return
    fail(f"{model}: no route")


def describe_upstreams(router_status, service):
    """Return one line of text for each upstream of a service."""
    names = router_status["services"].get(service, [])
    usable = {item["name"]: item["usable"] for item in router_status["upstreams"]}
    return [
        f"  {name}: {'usable' if usable.get(name) else 'not usable'}" for name in names
    ]


@main.command("make-key")
def make_key():
    """Generate a key and print it with its digest, which goes into the settings.

    Example: sapphirerockctl make-key
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    click.echo(f"key    {key}")
    click.echo(f"sha256 {hashlib.sha256(key.encode()).hexdigest()}")


@main.command("hash-key")
def hash_key():
    """Read a key from standard input and print its digest.

    Example: echo -n my-key | sapphirerockctl hash-key
    """
    key = sys.stdin.readline().strip()
    click.echo(hashlib.sha256(key.encode()).hexdigest())
