"""Steps on settings."""

import asyncio
import json
import os
import subprocess
import uuid

from aiohttp import ClientError
from behave import given, then, when
from tools.localcluster import BIN, ROOT_TOKEN, hash_key
from yarl import URL

FAULTS = {}
ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
SETTINGS_PATH = "team/services/extra"
POLL_INTERVAL_S = 0.05


def register_fault(text):
    """Register a coroutine function under the text of its fault in the feature."""

    def register(function):
        FAULTS[text] = function
        return function

    return register


def make_service(name="extra", timeout_s=1.0):
    """Return the settings of a plain service without upstreams."""
    return {
        "kind": "service",
        "name": name,
        "type": "plain",
        "upstreams": [],
        "call_timeout_s": timeout_s,
    }


@given("two linked zones with {routers:d} router each")
@given("two linked zones with {routers:d} routers each")
def start_linked(context, routers):
    hosts = [(f"r{number + 1}", *ZONES[number % 2]) for number in range(2 * routers)]
    engines = [(f"e{number + 1}", *zone, {}) for number, zone in enumerate(ZONES)]
    context.run(context.world.start(hosts, engines, linked=True))
    context.versions_by_host = {}
    context.accepted_version = 0


@given(
    "operator {first} of the subtree {subtree} and operator {second} of the subtree "
    "{other}"
)
def declare_operators(context, first, subtree, second, other):
    document = {
        "kind": "operators",
        "operators": [
            {"name": name, "token_sha256": hash_key(name), "subtree": path}
            for name, path in ((first, subtree), (second, other))
        ],
    }
    cluster = context.world.cluster

    async def run():
        status, response = await cluster.put_settings("telar/operators", document)
        assert status == 200, response
        assert not await cluster.wait_in_force(response["version"])

    context.run(run())


@then("these writes are answered with these statuses")
def check_writes(context):
    for row in context.table:
        status = context.run(put_at_raw_path(context, row["path"], row["token"]))
        assert str(status) == row["status"], (row, status)


async def put_at_raw_path(context, path, token):
    """Write settings to a path as given, without URL normalisation by the client.

    Returns the HTTP status.
    """
    world = context.world
    url = URL(f"{world.cluster.urls['r1']}/admin/settings/{path}", encoded=True)
    headers = {"Authorization": f"Bearer {token}"}
    document = make_service(f"x-{uuid.uuid4().hex[:6]}")
    async with world.session.put(url, json=document, headers=headers) as response:
        return response.status


@then("routing to a service that does not exist is refused and not applied")
def check_missing_service(context):
    cluster = context.world.cluster
    document = {"kind": "routing", "routes": [{"model": "m", "service": "nowhere"}]}
    status, response = context.run(cluster.put_settings("team/routing/m", document))
    assert status == 422 and "nowhere" in response["detail"], response
    status_after = context.run(cluster.read_status("r1"))
    assert "settings/team/routing/m" not in status_after["settings"]


@when("two operators change one object {rounds:d} times at the same moment")
def send_conflicting_changes(context, rounds):
    cluster = context.world.cluster

    async def run():
        context.conflicts = []
        version = 0
        for number in range(rounds):
            responses = await asyncio.gather(
                *(
                    cluster.put_settings(
                        SETTINGS_PATH,
                        make_service(timeout_s=1.0 + number + extra_s),
                        version,
                        host=host,
                    )
                    for host, extra_s in (("r1", 0.1), ("r2", 0.2))
                )
            )
            context.conflicts.append(responses)
            version = max(response.get("version", 0) for _, response in responses)

    context.run(run())


@then("each time one change was accepted and the other got a version conflict")
def check_conflicts(context):
    for responses in context.conflicts:
        assert sorted(status for status, _ in responses) == [200, 409], responses
        refused = next(response for status, response in responses if status == 409)
        assert refused["type"].endswith("version-conflict"), refused
        assert "version" in refused["detail"] or "meanwhile" in refused["detail"]


async def put_change(context, change_id):
    """Write the service under a change id; return the status and decoded body."""
    world = context.world
    headers = {"Authorization": f"Bearer {ROOT_TOKEN}", "Change-Id": change_id}
    url = world.cluster.urls["r1"] + f"/admin/settings/{SETTINGS_PATH}"
    async with world.session.put(url, json=make_service(), headers=headers) as response:
        return response.status, await response.json(content_type=None)


@when("a change is sent and the platform loses its response")
def send_change_with_lost_response(context):
    async def run():
        await context.world.cluster.inject("platform", "lose-answer", amount=1)
        context.first_response = await put_change(context, "change-1")

    context.run(run())


@when("the same change is sent again with the same change id")
def resend_change(context):
    context.second_response = context.run(put_change(context, "change-1"))


@then("the object was written once")
def check_written_once(context):
    assert context.first_response[0] == context.second_response[0] == 200, (
        context.first_response,
        context.second_response,
    )
    assert context.first_response[1]["version"] == context.second_response[1]["version"]


@register_fault("none")
async def inject_no_fault(context):
    return


@register_fault("the open store watches go silent")
async def silence_watches(context):
    await context.world.cluster.inject("link", "silence", target="127.0.0.9")


@register_fault("a host was just restarted")
async def restart_host(context):
    context.world.cluster.processes["r4"].kill()
    context.world.cluster.start_router("r4")


@register_fault("the platform's reads are a second old")
async def make_reads_stale(context):
    await context.world.cluster.inject("platform", "stale", seconds=1)


@register_fault("the platform's reads are an hour old")
async def make_reads_an_hour_old(context):
    await context.world.cluster.inject("platform", "stale", seconds=3600)


@register_fault("zone-b is cut off from the platform")
async def cut_platform(context):
    await context.world.cluster.switch_platform_links("cut", "zone-b")


@register_fault("zone-a and zone-b are cut off from each other")
async def cut_zones(context):
    await context.world.cluster.switch_zone_links("cut", "zone-a", "zone-b")


@register_fault("zone-b is cut off from everything")
async def cut_zone_from_everything(context):
    await cut_platform(context)
    await cut_zones(context)


@register_fault("a host is paused")
async def pause_host(context):
    context.world.cluster.processes["r4"].pause()


@register_fault("the platform is down")
async def stop_platform(context):
    await context.world.cluster.inject("platform", "down", seconds=600)


@when("this fault occurs: {fault}")
def inject_fault(context, fault):
    context.run(FAULTS[fault](context))


@when("the cuts are healed")
def heal_cuts(context):
    async def run():
        await context.world.cluster.switch_platform_links("heal", "zone-b")
        await context.world.cluster.switch_zone_links("heal", "zone-a", "zone-b")

    context.run(run())


@when("a change is accepted")
def accept_change(context):
    cluster = context.world.cluster

    async def run():
        context.version_recorder = asyncio.ensure_future(record_versions(context))
        context.world.background_tasks.append(context.version_recorder)
        status, response = await cluster.put_settings(SETTINGS_PATH, make_service())
        assert status == 200, response
        context.accepted_version = response["version"]

    context.run(run())


async def record_versions(context):
    """Poll each host's incarnation and settings version until the task is cancelled.

    Hosts that don't respond within 0.3 s are skipped.
    """
    cluster = context.world.cluster
    while True:
        for host in cluster.list_routers():
            try:
                async with asyncio.timeout(0.3):
                    status = await cluster.read_status(host)
            except (ClientError, TimeoutError, OSError):
                continue
            versions = context.versions_by_host.setdefault(host, [])
            versions.append((status["incarnation"], status["settings_horizon"]))
        await asyncio.sleep(POLL_INTERVAL_S)


@when("{host} is killed and started again")
def kill_and_restart(context, host):
    cluster = context.world.cluster

    async def run():
        cluster.processes[host].kill()
        cluster.start_router(host)
        await cluster.wait_ready(host)

    context.run(run())


@then("it is in force within {seconds:d} seconds on {hosts}")
def check_in_force(context, seconds, hosts):
    cluster = context.world.cluster
    names = {
        "every host": cluster.list_routers(),
        "all but r4": ["r1", "r2", "r3"],
        "the hosts of zone-a": ["r1", "r3"],
    }[hosts]

    async def run():
        await cluster.wait_ready(*names)
        return await cluster.wait_in_force(
            context.accepted_version, names, timeout_s=seconds
        )

    missing = context.run(run())
    assert not missing, missing


@then("no host ever had an older version after a newer one")
def check_monotonic(context):
    async def run():
        await asyncio.sleep(0.5)
        context.version_recorder.cancel()

    context.run(run())
    context.world.background_tasks.clear()
    assert context.versions_by_host
    for host, versions in context.versions_by_host.items():
        for before, after in zip(versions, versions[1:], strict=False):
            same_process = before[0] == after[0]
            assert not same_process or after[1] >= before[1], (host, before, after)


@then("the hosts of zone-b serve with the previous version")
def check_cut_zone(context):
    async def run():
        for host in ("r2", "r4"):
            status = await context.world.cluster.read_status(host)
            assert status["settings_horizon"] < context.accepted_version
            record = await context.world.make_caller(host).generate("cut off", 5)
            assert record.is_whole, (host, record.problem)

    context.run(run())


@then("every host serves a generation")
def check_serving(context):
    async def run():
        for host in context.world.cluster.list_routers():
            record = await context.world.make_caller(host).generate("still here", 5)
            assert record.is_whole, (host, record.problem)

    context.run(run())


@then("applying a tree with --wait fails and names r4")
def check_apply_wait(context):
    cluster = context.world.cluster
    folder = cluster.folder / "tree" / "team" / "services"
    folder.mkdir(parents=True)
    (folder / "extra.json").write_text(json.dumps(make_service()))
    run = subprocess.run(
        [BIN / "sapphirerockctl", "apply", "--wait", cluster.folder / "tree"],
        capture_output=True,
        text=True,
        check=False,
        env={
            **os.environ,
            "SAPPHIREROCK_ROUTER": cluster.urls["r1"],
            "SAPPHIREROCK_TOKEN": ROOT_TOKEN,
        },
    )
    assert run.returncode == 1, run
    assert cluster.urls["r4"] in run.stderr, run.stderr
    assert cluster.urls["r2"] not in run.stderr, run.stderr
