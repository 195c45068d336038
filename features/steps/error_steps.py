"""Steps on invalid input."""

import json
import subprocess

import orjson
from behave import given, then, when
from tools.localcluster import BIN, hash_key, write_basic_settings

from sapphirerock.platform.names import SETTINGS_KIND
from sapphirerock.process.settings.hostsettings import DEFAULT_BODY_LIMIT_BYTES

BODY = {"model": "quote", "prompt": "p", "max_tokens": 2}


def get_problem_type(content):
    """Return the last part of the type URN of a problem document."""
    return orjson.loads(content)["type"].rsplit(":", 1)[-1]


@then("these calls are refused")
def check_refusals(context):
    for row in context.table:
        body = row["body"].encode()
        if body == b"HUGE":
            body = b"x" * (DEFAULT_BODY_LIMIT_BYTES + 1)
        headers = {}
        if row["key"] == "unknown":
            headers["Authorization"] = "Bearer nobody"
        status, _, content = context.run(
            context.world.call(row["method"], row["path"], body=body, **headers)
        )
        found = (str(status), get_problem_type(content))
        assert found == (row["status"], row["type"]), (row, found)
        assert orjson.loads(content)["outcome"] == "not-run"


@then("an idempotency key reused for another body is refused with 422")
def check_key_reuse(context):
    call = context.world.call
    body = orjson.dumps(BODY)
    path = "/v1/completions"
    status, _, _ = context.run(call("POST", path, body=body, Idempotency_Key="k"))
    assert status == 200
    other = orjson.dumps({**BODY, "prompt": "q"})
    status, _, content = context.run(
        call("POST", path, body=other, Idempotency_Key="k")
    )
    assert (status, get_problem_type(content)) == (422, "key-reused")


@then("an order key reused for another call is refused with 422")
def check_order_key_reuse(context):
    call = context.world.call
    path = "/v1/services/stock/orders/fleece"
    status, headers, _ = context.run(call("POST", path, body=b"1", Idempotency_Key="o"))
    assert (status, headers["Sapphirerock-Outcome"]) == (201, "ran")
    status, _, content = context.run(call("POST", path, body=b"2", Idempotency_Key="o"))
    assert (status, get_problem_type(content)) == (422, "key-reused")


@then("malformed settings are refused with path, field and reason")
def check_settings_refused(context):
    cluster = context.world.cluster
    document = {"kind": "service", "name": "x", "type": "odd", "upstreams": []}
    status, response = context.run(cluster.put_settings("team/services/x", document))
    assert status == 422, response
    for part in ("settings/team/services/x", "$.type", "'odd'", "generation"):
        assert part in response["detail"], response


@then("settings that are stored malformed in the platform never take effect")
def check_stored_settings_ignored(context):
    world = context.world

    async def store_malformed():
        await world.cluster.put_object(
            SETTINGS_KIND, "settings/team/services/quote", {"document": 1}
        )

        async def is_refused():
            status = await world.cluster.read_status("r1")
            return bool(status["settings_refused"])

        await world.wait_until(is_refused, "the router refuses the malformed object")
        record = await world.make_caller().generate("still served", 5)
        assert record.is_whole

    context.run(store_malformed())


@when("the host settings have {field} set to {value}")
def write_invalid_host_settings(context, field, value):
    cluster = context.world.cluster
    cluster.plan_router("r1", "zone-a", "region-a")
    cluster.platform_url = "http://127.0.0.1:1"
    path = cluster.write_host_settings("r1")
    document = json.loads(path.read_text())
    document[field] = json.loads(value)
    document["root_operator_sha256"] = hash_key("x")
    path.write_text(json.dumps(document))
    context.check_run = subprocess.run(
        [BIN / "sapphirerock-router", "--check", path],
        capture_output=True,
        text=True,
        check=False,
    )
    context.invalid_value = value


@then("the check names {field} and what was expected")
def check_reported_field(context, field):
    assert context.check_run.returncode == 2, context.check_run
    assert f"$.{field}" in context.check_run.stderr
    printed_value = repr(json.loads(context.invalid_value))
    if field == "peer_key":
        assert printed_value not in context.check_run.stderr, "the peer key is printed"
    else:
        assert printed_value in context.check_run.stderr
    assert "expected" in context.check_run.stderr


@given("two hosts that share a peer key and one that has another")
def start_with_other_peer_key(context):
    world = context.world
    cluster = world.cluster
    zone_and_region = ("zone-a", "region-a")

    async def run():
        for host in ("r1", "r2", "r3"):
            cluster.plan_router(host, *zone_and_region)
        cluster.add_platform()
        cluster.add_engine("e1", *zone_and_region)
        await cluster.wait_ready()
        for host in ("r1", "r2"):
            cluster.start_router(host)
        cluster.start_router("r3", peer_key="another key of sixteen")
        await cluster.wait_ready()
        await write_basic_settings(cluster, ["e1"])

    context.run(run())


@then("the two hosts are peers of each other, and the third has no peers")
def check_peers(context):
    cluster = context.world.cluster

    async def run():
        peers_by_host = {}
        for host in cluster.list_routers():
            peers_by_host[host] = (await cluster.read_status(host))["peers"]
        return peers_by_host

    assert context.run(run()) == {"r1": ["r2"], "r2": ["r1"], "r3": []}


@then("the third host still serves a generation")
def check_third_serves(context):
    async def run():
        return await context.world.make_caller("r3").generate("alone", 5)

    record = context.run(run())
    assert record.is_whole, record.problem
