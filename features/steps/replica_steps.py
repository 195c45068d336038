"""Steps on how hosts replicate the configuration and engines of the store."""

import asyncio
import time

from aiohttp import ClientSession
from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers
from tools.sharedcluster import (
    CALLER_KEY,
    SharedCluster,
    make_configuration,
    make_route,
)

from features.steps.edge_steps import list_all_runs, start_cluster
from sapphirerock.connection.store import StoreClient
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.platform.names import ENGINES_KIND, ROUTERS_KIND
from sapphirerock.platform.storewire import make_path
from sapphirerock.process.telemetry.edgemetrics import EdgeMetrics

FAULTS = {}
# Longer than any scenario.
OUTAGE_S = 600
NEW_PREFIX = "/added/"
NEW_KEY = "key-of-tomorrow"


def register_fault(text):
    """Register a coroutine function under the text of its fault in the feature."""

    def register(function):
        FAULTS[text] = function
        return function

    return register


@given(
    "a shared platform with {edges:d} edges and {engines:d} engine of each service "
    "in {zones:d} zones"
)
def start_one_per_service_in_zones(context, edges, engines, zones):
    context.run(start_cluster(context, edges, engines * zones, zones))


@given(
    "a shared platform with {edges:d} edges and {engines:d} engine of each service "
    "in {zones:d} zone"
)
def start_one_per_service_in_zone(context, edges, engines, zones):
    context.run(start_cluster(context, edges, engines * zones, zones))


@given(
    "a shared platform with {edges:d} edges and {engines:d} engines of each service "
    "in {zones:d} zones"
)
def start_several_per_service_in_zones(context, edges, engines, zones):
    context.run(start_cluster(context, edges, engines * zones, zones))


@given(
    "a shared platform with {edges:d} edges and {engines:d} engines of each service "
    "in {zones:d} zone"
)
def start_several_per_service_in_zone(context, edges, engines, zones):
    context.run(start_cluster(context, edges, engines * zones, zones))


async def find_watchers(context):
    """Return the edges that watch the store, one of each zone.

    Edges elect them by rendezvous hashing on the same key.
    """
    names_by_zone = {}
    for name, edge in context.world.cluster.edges.items():
        names_by_zone.setdefault(edge.zone, []).append(name)
    return [rank_candidates(names, "hub")[0] for names in names_by_zone.values()]


async def reject_edges(context, names, manner):
    """Make the store reject all calls of some edges.

    The manner is ``busy`` (503), ``many`` (429), ``reset`` or ``silent``.
    """
    cluster = context.world.cluster
    sources = ",".join(cluster.edges[name].address for name in names)
    await cluster.inject(
        "platform", "down", seconds=OUTAGE_S, manner=manner, source=sources
    )


@register_fault("none")
async def inject_no_fault(context):
    pass


def register_rejection(manner):
    """Register the fault that the store rejects the watchers in a manner."""

    @register_fault(f"the store rejects the watchers ({manner})")
    async def reject_watchers(context):
        await reject_edges(context, await find_watchers(context), manner)


for manner in ("busy", "many", "reset", "silent"):
    register_rejection(manner)


@register_fault("the store rejects all but one edge (silent)")
async def reject_all_but_one(context):
    await reject_edges(context, list(context.world.cluster.edges)[1:], "silent")


@register_fault("the store has dropped its change history")
async def drop_history(context):
    await context.world.cluster.inject("platform", "forget-history")


@register_fault("the store responds slowly")
async def slow_down_store(context):
    await context.world.cluster.inject("platform", "slow", amount=250)


@register_fault("the watchers are killed")
async def kill_watchers(context):
    for name in await find_watchers(context):
        context.world.cluster.processes[name].kill()


@register_fault("the watchers are paused")
async def pause_watchers(context):
    context.paused = await find_watchers(context)
    for name in context.paused:
        context.world.cluster.processes[name].pause()


@register_fault("an edge has just been restarted")
async def restart_last_edge(context):
    name = list(context.world.cluster.edges)[-1]
    context.world.cluster.processes[name].kill()
    context.world.cluster.start_edge(name)


@when("this fault of the shared platform occurs: {fault}")
def inject_fault(context, fault):
    context.run(FAULTS[fault](context))


def list_running(context):
    """Return the edges that run and are not paused."""
    paused = getattr(context, "paused", ())
    return [
        name
        for name in context.world.cluster.edges
        if context.world.cluster.processes[name].is_running and name not in paused
    ]


@when("the operator adds a route")
def add_route(context):
    document = make_configuration(version=9)
    document["routes"].append(make_route("added", NEW_PREFIX, "idempotent", "shop"))
    context.run(context.world.cluster.put_configuration(document))
    context.changed_at_s = time.monotonic()


async def send_lookup(context, name, target, number, key=CALLER_KEY):
    """Return the status of a lookup through an edge, 0 if the connection failed."""
    try:
        async with RawConnection(context.world.cluster.edges[name]) as connection:
            headers = make_headers(number, key=key)
            response = await connection.request("GET", target, headers)
            return response.status
    except OSError:
        return 0


async def wait_for_status(context, name, target, wanted, timeout_s, key=CALLER_KEY):
    """Wait until lookups through an edge are answered with a status.

    The timeout counts from ``context.changed_at_s``.
    """
    number = 1000
    while True:
        number += 1
        status = await send_lookup(context, name, target, number, key)
        if status == wanted:
            return
        overdue_s = time.monotonic() - context.changed_at_s - timeout_s
        log = context.world.cluster.read_log(name)
        assert overdue_s < 0, f"{name}: {target} is answered {status}\n{log}"
        await asyncio.sleep(0.05)


@then("every edge serves the new route within {bound:g} seconds")
def check_new_route(context, bound):
    async def run():
        await asyncio.gather(
            *(
                wait_for_status(context, name, NEW_PREFIX + "1", 200, bound)
                for name in list_running(context)
            )
        )

    context.run(run())


@when("{seconds:d} seconds pass")
def wait_seconds(context, seconds):
    context.run(asyncio.sleep(seconds))


@then(
    "each of {count:d} changes, a second apart, takes effect on every edge within "
    "{bound:f} seconds"
)
def check_changes(context, count, bound):
    async def run():
        for number in range(count):
            document = make_configuration(version=10 + number)
            prefix = f"/added-{number}/"
            document["routes"].append(make_route("n", prefix, "idempotent", "shop"))
            await context.world.cluster.put_configuration(document)
            context.changed_at_s = time.monotonic()
            await asyncio.gather(
                *(
                    wait_for_status(context, name, prefix + "1", 200, bound)
                    for name in list_running(context)
                )
            )
            await asyncio.sleep(1.0)

    context.run(run())


@then("no edge ever reverted to an older configuration")
def check_revision_order(context):
    cluster = context.world.cluster
    for name in cluster.edges:
        revisions = []
        for line in cluster.read_log_entries(name):
            if line["event"] == "edge started":
                revisions = []
            elif line["event"] == "configuration in force":
                revisions.append(line["revision"])
        assert revisions == sorted(set(revisions)), (name, revisions)


@when("an engine reports that it is draining")
def drain_engine(context):
    context.removed_engine = "shop-0"
    context.run(context.world.cluster.inject("shop-0", "leave"))
    context.changed_at_s = time.monotonic() + 0.2


@when("an engine is removed from the store")
def remove_engine(context):
    cluster = context.world.cluster
    context.removed_engine = "shop-0"

    async def run():
        found = await cluster.read_engine("shop-0")
        await delete_registration(cluster, found["id"])

    context.run(run())
    context.changed_at_s = time.monotonic()


async def delete_registration(cluster, engine_id):
    """Delete an engine's registration from the store, as the platform does."""
    async with ClientSession() as session:
        url = cluster.urls["platform"] + make_path(ENGINES_KIND, engine_id)
        async with session.delete(url) as response:
            assert response.status == 200, await response.text()


async def send_lookups(context, seconds):
    """Send lookups through all running edges in turn for some seconds."""
    end_s = time.monotonic() + seconds
    number = 5000
    while time.monotonic() < end_s:
        for name in list_running(context):
            number += 1
            await send_lookup(context, name, f"/stock/{number}", number)


@then("no edge sends it work more than {bound:g} seconds later")
def check_no_late_work(context, bound):
    # Engine stand-ins report the start of a run in wall-clock time.
    limit_s = time.time() + (context.changed_at_s + bound - time.monotonic())

    async def run():
        await send_lookups(context, bound + 1.5)
        runs = (await context.world.cluster.read_engine(context.removed_engine))["runs"]
        late = [run["began_at"] - limit_s for run in runs if run["began_at"] > limit_s]
        assert not late, late

    context.run(run())


@when("the operator replaces the key")
def replace_key(context):
    document = make_configuration(version=9, keys=(NEW_KEY,))
    context.run(context.world.cluster.put_configuration(document))
    context.changed_at_s = time.monotonic()


@then("every edge refuses the old key and accepts the new one within {bound:g} seconds")
def check_keys(context, bound):
    async def run():
        for name in list_running(context):
            await wait_for_status(context, name, "/stock/1", 401, bound)
            await wait_for_status(context, name, "/stock/1", 200, bound, NEW_KEY)

    context.run(run())


@when("the store is down and an edge is restarted")
def restart_without_store(context):
    cluster = context.world.cluster
    context.restarted = list(cluster.edges)[-1]

    async def run():
        await cluster.inject("platform", "down", seconds=OUTAGE_S)
        cluster.processes[context.restarted].kill()
        cluster.start_edge(context.restarted)

    context.run(run())
    context.changed_at_s = time.monotonic()


@given("a shared platform with 1 edge that starts while the store is down")
def start_without_store(context):
    world = context.world
    world.cluster = cluster = SharedCluster("shared")

    async def run():
        cluster.add_platform()
        await cluster.wait_ready("platform")
        cluster.plan_edge("edge-0", "zone-a", "region-a")
        cluster.add_shared_engine("shop-0", "shop", "zone-a")
        cluster.add_shared_engine("model-0", "model", "zone-a")
        await cluster.put_configuration(make_configuration())
        await cluster.inject("platform", "down", seconds=OUTAGE_S)
        cluster.start_edge("edge-0")

    context.run(run())
    context.restarted = "edge-0"


@then("the edge is not ready and answers 503 with a Retry-After header")
def check_not_ready(context):
    cluster = context.world.cluster

    async def run():
        async def answers_503():
            return await send_lookup(context, "edge-0", "/stock/1", 1) == 503

        await context.world.wait_until(answers_503, "the edge answers 503")
        assert not await cluster.is_edge_ready("edge-0")
        async with RawConnection(cluster.edges["edge-0"]) as connection:
            response = await connection.request("GET", "/stock/1", make_headers(1))
        assert float(response.headers["retry-after"]) > 0, response

    context.run(run())


@when("the store is back")
def restore_store(context):
    context.run(context.world.cluster.inject("platform", "down", seconds=0))
    context.changed_at_s = time.monotonic()


@when("all edges are killed and restarted")
def restart_all(context):
    cluster = context.world.cluster
    for name in cluster.edges:
        cluster.processes[name].kill()
    for name in cluster.edges:
        cluster.start_edge(name)
    context.restarted = list(cluster.edges)[-1]
    context.changed_at_s = time.monotonic()


@then("the restarted edge is ready and serves within {bound:g} seconds")
def check_restarted(context, bound):
    cluster = context.world.cluster

    async def run():
        await wait_for_status(context, context.restarted, "/stock/1", 200, bound)
        assert await cluster.is_edge_ready(context.restarted)

    context.run(run())


MALFORMED_REGISTRATIONS = {
    "plain text": "an engine",
    "without a service": {"address": "127.0.0.1:9", "zone": "z", "slots": 1},
    "without an address": {"service": "shop", "zone": "z", "slots": 1},
    "with an invalid address": {"address": "the usual one"},
    "with slots of another type": {"slots": "many"},
    "with an unknown state": {"state": "resting"},
    "with models of another type": {"models": 7},
    "with a version of another type": {"version": 7},
    "without a version": {
        "service": "shop",
        "address": "127.0.0.1:9",
        "zone": "z",
        "slots": 1,
        "state": "ready",
    },
}
VALID_REGISTRATION = {
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "slots": 4,
    "version": "v1",
    "state": "ready",
}


@when("a malformed engine registration is stored: {malformed}")
def write_malformed_registration(context, malformed):
    registration = MALFORMED_REGISTRATIONS[malformed]
    if isinstance(registration, dict) and not malformed.startswith("without"):
        registration = {**VALID_REGISTRATION, **registration}
    context.run(context.world.cluster.put_object(ENGINES_KIND, "i-odd", registration))
    context.expected_event = "invalid engine registration ignored"


@when("an engine's registration gets an unknown field")
def add_unknown_field(context):
    cluster = context.world.cluster

    async def run():
        found = await cluster.read_engine("shop-0")
        registration = {
            **VALID_REGISTRATION,
            "address": cluster.urls["shop-0"].removeprefix("http://"),
            "mood": "good",
        }
        await cluster.put_object(ENGINES_KIND, found["id"], registration)
        await asyncio.sleep(0.3)

    context.run(run())


@when("the operator writes a malformed configuration")
def write_malformed_configuration(context):
    document = {"version": 12, "routes": "none today"}
    context.run(context.world.cluster.put_configuration(document))
    context.expected_event = "configuration refused"


@then("calls are served")
def check_served(context):
    async def run():
        for number in range(20):
            status = await send_lookup(context, "edge-0", f"/stock/{number}", number)
            assert status == 200, (number, status)

    context.run(run())


@then("calls are served, and the registration was logged and ignored")
def check_ignored(context):
    check_logged(context)


@then("calls are served, and the configuration was logged and refused")
def check_logged(context):
    async def is_logged():
        lines = context.world.cluster.read_log_entries("edge-0")
        return any(line["event"] == context.expected_event for line in lines)

    context.run(context.world.wait_until(is_logged, context.expected_event))
    check_served(context)


@when(
    "the store is down for {seconds:d} seconds "
    "and registrations expire, one of them permanently"
)
def expire_registrations(context, seconds):
    cluster = context.world.cluster
    context.removed_engine = "shop-1"

    async def run():
        names = ["shop-0", "shop-1", "model-0", "model-1"]
        found = {name: (await cluster.read_engine(name))["id"] for name in names}
        await cluster.inject("platform", "down", seconds=seconds, manner="silent")
        await cluster.inject("platform", "lapse", manner=ENGINES_KIND)
        context.lookup_statuses = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            context.lookup_statuses.append(
                await send_lookup(context, "edge-0", "/stock/1", 1)
            )
        context.changed_at_s = time.monotonic()
        for name in names:
            if name != context.removed_engine:
                registration = {**VALID_REGISTRATION, "service": name.partition("-")[0]}
                registration["address"] = cluster.urls[name].removeprefix("http://")
                await cluster.put_object(ENGINES_KIND, found[name], registration)

    context.run(run())


@then("calls are served throughout")
def check_served_throughout(context):
    async def run():
        for number in range(40):
            status = await send_lookup(context, "edge-0", f"/stock/{number}", number)
            context.lookup_statuses.append(status)
            await asyncio.sleep(0.1)

    context.run(run())
    assert set(context.lookup_statuses) == {200}, context.lookup_statuses


@then(
    "the engine without a registration gets no work {bound:d} seconds "
    "after the store is back"
)
def check_unregistered_engine(context, bound):
    check_no_late_work(context, bound)


@when("the engines crash and restart with the same ids")
def restart_with_same_ids(context):
    cluster = context.world.cluster

    async def run():
        for name in ("shop-0", "model-0"):
            await cluster.inject(name, "keep-id")
            await cluster.inject(name, "down-for", seconds=0.5)
            await cluster.inject(name, "crash")
        assert await send_lookup(context, "edge-0", "/stock/1", 1) != 200
        await asyncio.sleep(0.6)
        context.changed_at_s = time.monotonic()

    context.run(run())


FORMER_ID_PREFIXES = {
    "ids that sort before the present": "a-former-",
    "ids that sort after the present": "z-former-",
}


@when("the edge is restarted beside former entries of the engines with {names}")
def restart_beside_former_entries(context, names):
    cluster = context.world.cluster
    context.former_ids = []

    async def run():
        cluster.processes["edge-0"].kill()
        for item in await cluster.list_objects(ENGINES_KIND):
            former_id = FORMER_ID_PREFIXES[names] + item["metadata"]["name"]
            spec = {**item["spec"], "born": item["spec"]["born"] - 60_000}
            await cluster.put_object(ENGINES_KIND, former_id, spec)
            context.former_ids.append(former_id)
        cluster.start_edge("edge-0")
        await cluster.wait_edges_ready("edge-0")
        context.changed_at_s = time.monotonic()

    context.run(run())


@when("the former entries expire")
def expire_former_entries(context):
    async def run():
        for former_id in context.former_ids:
            await delete_registration(context.world.cluster, former_id)
        await asyncio.sleep(0.3)

    context.run(run())


@then("calls are served again within {bound:g} seconds")
def check_served_again(context, bound):
    context.run(wait_for_status(context, "edge-0", "/stock/1", 200, bound))


@when("an engine is replaced at its address by an unregistered one of another service")
def replace_unregistered(context):
    context.run(context.world.cluster.inject("shop-0", "become", manner="model"))


@then("no engine ran a call of another service")
def check_services(context):
    runs = context.run(context.world.cluster.list_runs())
    foreign = [run for run in runs["shop-0"] if run["target"].startswith("/stock/")]
    assert not foreign, foreign
    assert context.run(list_all_runs(context))


@when("the store comes back from a copy of before the route")
def restore_before_route(context):
    cluster = context.world.cluster

    async def run():
        for name in cluster.edges:
            await wait_for_status(context, name, f"{NEW_PREFIX}1", 200, 3.0)
        age_s = time.monotonic() - context.changed_at_s + 0.2
        await cluster.inject("platform", "restore", seconds=age_s)

    context.run(run())


@then("every edge still serves the new route after {seconds:g} seconds")
def check_route_kept(context, seconds):
    async def run():
        await asyncio.sleep(seconds)
        for number, name in enumerate(context.world.cluster.edges):
            status = await send_lookup(
                context, name, f"{NEW_PREFIX}1", 2000 + number, CALLER_KEY
            )
            assert status == 200, (name, status)

    context.run(run())


@then("a further route takes effect on every edge within {bound:g} seconds")
def check_further_route(context, bound):
    document = make_configuration(version=10)
    for prefix in (NEW_PREFIX, "/further/"):
        document["routes"].append(make_route(prefix, prefix, "idempotent", "shop"))

    async def run():
        await context.world.cluster.put_configuration(document)
        context.changed_at_s = time.monotonic()
        for name in context.world.cluster.edges:
            await wait_for_status(context, name, "/further/1", 200, bound)

    context.run(run())


@when("the store comes back from a copy of before the edges started")
def restore_empty(context):
    context.run(context.world.cluster.inject("platform", "restore", seconds=3600))


@then("the entries of all edges are in the store within {bound:g} seconds")
def check_registered(context, bound):
    cluster = context.world.cluster

    async def run():
        store = StoreClient(
            context.world.session, cluster.urls["platform"], EdgeMetrics()
        )
        deadline_s = time.monotonic() + bound
        while True:
            listed = await store.list_all(ROUTERS_KIND)
            names = {item.name for item in listed.ok.objects}
            if names == set(cluster.edges):
                return
            assert time.monotonic() < deadline_s, names
            await asyncio.sleep(0.1)

    context.run(run())


STORE_CALLS = {
    "watch": lambda client, revision: client.watch("kind", revision, 0.1),
    "replace": lambda client, revision: client.replace("kind", "name", 2, revision),
    "delete": lambda client, revision: client.delete("kind", "name", revision),
}


@given("a client of a store that came back from an older copy")
def make_restored_store(context):
    async def run():
        cluster = context.world.cluster = SharedCluster("store")
        cluster.add_platform()
        await cluster.wait_ready("platform")
        context.store = StoreClient(
            context.world.session, cluster.urls["platform"], EdgeMetrics()
        )
        await context.store.create("kind", "name", 1)
        # The store gives this revision out again after the restore.
        context.revision = (await context.store.create("kind", "lost", 1)).ok.revision
        await cluster.inject("platform", "restore", seconds=3600)
        context.kept = (await context.store.create("kind", "other", 1)).ok
        context.kept = (await context.store.create("kind", "name", 1)).ok

    context.run(run())


@when("the client makes this call with a revision of before: {call}")
def call_with_old_revision(context, call):
    context.result = context.run(STORE_CALLS[call](context.store, context.revision))


@then("the call fails as {failure}, and the store is unchanged")
def check_call_failed(context, failure):
    assert type(context.result.error).__name__ == failure, context.result
    assert context.run(context.store.read("kind", "name")).ok == context.kept
