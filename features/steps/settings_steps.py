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

TROUBLES = {}
ZONES = (("zone-a", "region-a"), ("zone-b", "region-a"))
OBJECT = "team/services/extra"
WATCH_PERIOD_S = 0.05


def register_trouble(text):
    def register(function):
        TROUBLES[text] = function
        return function

    return register


def make_service(name="extra", timeout_s=1.0):
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
    engines = [(f"e{number + 1}", *place, {}) for number, place in enumerate(ZONES)]
    context.run(context.world.start(hosts, engines, linked=True))
    context.seen = {}
    context.accepted = 0


@given("operators {first} below {subtree} and {second} below {other}")
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
        status, answer = await cluster.put_settings("telar/operators", document)
        assert status == 200, answer
        assert not await cluster.wait_in_force(answer["version"])

    context.run(run())


@then("these writes are answered")
def check_writes(context):
    for row in context.table:
        status = context.run(put_raw(context, row["path"], row["token"]))
        assert str(status) == row["status"], (row, status)


async def put_raw(context, path, token):
    """Write to a path as it stands, without any tidying by the client."""
    world = context.world
    url = URL(f"{world.cluster.urls['r1']}/admin/settings/{path}", encoded=True)
    headers = {"Authorization": f"Bearer {token}"}
    document = make_service(f"x-{uuid.uuid4().hex[:6]}")
    async with world.session.put(url, json=document, headers=headers) as answer:
        return answer.status


@then("a service that routing refers to nowhere is refused, and nothing is applied")
def check_dangling(context):
    cluster = context.world.cluster
    document = {"kind": "routing", "routes": [{"model": "m", "service": "nowhere"}]}
    status, answer = context.run(cluster.put_settings("team/routing/m", document))
    assert status == 422 and "nowhere" in answer["detail"], answer
    found = context.run(cluster.read_status("r1"))
    assert "settings/team/routing/m" not in found["settings"]


@when("two operators change one object {rounds:d} times at the same moment")
def race(context, rounds):
    cluster = context.world.cluster

    async def run():
        context.races = []
        version = 0
        for number in range(rounds):
            answers = await asyncio.gather(
                *(
                    cluster.put_settings(
                        OBJECT,
                        make_service(timeout_s=1.0 + number + share),
                        version,
                        host=host,
                    )
                    for host, share in (("r1", 0.1), ("r2", 0.2))
                )
            )
            context.races.append(answers)
            version = max(answer.get("version", 0) for _, answer in answers)

    context.run(run())


@then("each time one change was accepted and the other was told the version")
def check_race(context):
    for answers in context.races:
        assert sorted(status for status, _ in answers) == [200, 409], answers
        refused = next(answer for status, answer in answers if status == 409)
        assert refused["type"].endswith("version-conflict"), refused
        assert "version" in refused["detail"] or "meanwhile" in refused["detail"]


async def put_change(context, change):
    world = context.world
    headers = {"Authorization": f"Bearer {ROOT_TOKEN}", "Change-Id": change}
    url = world.cluster.urls["r1"] + f"/admin/settings/{OBJECT}"
    async with world.session.put(url, json=make_service(), headers=headers) as answer:
        return answer.status, await answer.json(content_type=None)


@when("a change is sent whose answer the platform loses")
def send_lost_change(context):
    async def run():
        await context.world.cluster.inject("platform", "lose-answer", amount=1)
        context.first = await put_change(context, "change-1")

    context.run(run())


@when("the same change is sent again under its id")
def resend_change(context):
    context.second = context.run(put_change(context, "change-1"))


@then("the object was written once")
def check_written_once(context):
    assert context.first[0] == context.second[0] == 200, (context.first, context.second)
    assert context.first[1]["version"] == context.second[1]["version"]


@register_trouble("none")
async def do_nothing(context):
    return


@register_trouble("the open watches go silent")
async def silence_watches(context):
    await context.world.cluster.inject("link", "silence", target="127.0.0.9")


@register_trouble("a host was just restarted")
async def restart_host(context):
    context.world.cluster.processes["r4"].kill()
    context.world.cluster.start_router("r4")


@register_trouble("the platform answers stale reads of a second")
async def make_stale(context):
    await context.world.cluster.inject("platform", "stale", seconds=1)


@register_trouble("the platform answers stale reads of an hour")
async def make_very_stale(context):
    await context.world.cluster.inject("platform", "stale", seconds=3600)


@register_trouble("zone-b is cut off from the platform")
async def cut_platform(context):
    await context.world.cluster.cut_platform("cut", "zone-b")


@register_trouble("zone-a and zone-b are cut off from each other")
async def cut_zones(context):
    await context.world.cluster.cut_zones("cut", "zone-a", "zone-b")


@register_trouble("zone-b is cut off from everything")
async def cut_all(context):
    await cut_platform(context)
    await cut_zones(context)


@register_trouble("a host is paused")
async def pause_host(context):
    context.world.cluster.processes["r4"].pause()


@register_trouble("the platform is down")
async def stop_platform(context):
    await context.world.cluster.inject("platform", "down", seconds=600)


@when("there is this trouble: {trouble}")
def make_trouble(context, trouble):
    context.run(TROUBLES[trouble](context))


@when("the cuts are healed")
def heal(context):
    async def run():
        await context.world.cluster.cut_platform("heal", "zone-b")
        await context.world.cluster.cut_zones("heal", "zone-a", "zone-b")

    context.run(run())


@when("a change is accepted")
def accept_change(context):
    cluster = context.world.cluster

    async def run():
        context.watching = asyncio.ensure_future(watch_versions(context))
        context.world.calls.append(context.watching)
        status, answer = await cluster.put_settings(OBJECT, make_service())
        assert status == 200, answer
        context.accepted = answer["version"]

    context.run(run())


async def watch_versions(context):
    """Note each host's versions for as long as the scenario runs."""
    cluster = context.world.cluster
    while True:
        for host in cluster.list_routers():
            try:
                async with asyncio.timeout(0.3):
                    status = await cluster.read_status(host)
            except (ClientError, TimeoutError, OSError):
                continue
            versions = context.seen.setdefault(host, [])
            versions.append((status["incarnation"], status["settings_horizon"]))
        await asyncio.sleep(WATCH_PERIOD_S)


@when("{host} is killed and started again")
def restart(context, host):
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
        return await cluster.wait_in_force(context.accepted, names, bound_s=seconds)

    missing = context.run(run())
    assert not missing, missing


@then("no host ever had an older version after a newer one")
def check_monotonic(context):
    async def run():
        await asyncio.sleep(0.5)
        context.watching.cancel()

    context.run(run())
    context.world.calls.clear()
    assert context.seen
    for host, versions in context.seen.items():
        for before, after in zip(versions, versions[1:], strict=False):
            same_process = before[0] == after[0]
            assert not same_process or after[1] >= before[1], (host, before, after)


@then("the hosts of zone-b serve with the version before")
def check_cut_zone(context):
    async def run():
        for host in ("r2", "r4"):
            status = await context.world.cluster.read_status(host)
            assert status["settings_horizon"] < context.accepted
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
