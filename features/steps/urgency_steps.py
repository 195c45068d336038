"""Steps on the urgency that engines are told."""

from behave import given, then, when
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers
from tools.sharedcluster import make_configuration, make_route

from sapphirerock.decisions.urgency import choose_urgency

URGENCY_HEADER = "Sapphirerock-Request-Urgency"
PREFIXES = ("/first/", "/second/")
PRIORITIES = {"one priority": (1, 1)}
EVENTS = 3


@when("a {stream} of priority {priority:d} is sent to a service of ranks {ranks}")
def decide(context, stream, priority, ranks):
    ranks = tuple(int(rank) for rank in ranks.split(", "))
    context.urgency = choose_urgency(priority, ranks, stream == "begun stream")


@then("its urgency is {urgency}")
def check_decision(context, urgency):
    assert str(context.urgency).lower() == urgency, context.urgency


@given("the configuration gives streams {ranks}")
def configure_ranks(context, ranks):
    routes = [
        make_route(prefix.strip("/"), prefix, "streaming", "model", priority=priority)
        for prefix, priority in zip(
            PREFIXES, PRIORITIES.get(ranks, (0, 2)), strict=True
        )
    ]
    document = make_configuration(version=2, routes=routes)
    if "caller" not in ranks:
        del document["tenants"][0]["priority"]

    async def run():
        cluster = context.world.cluster
        await cluster.put_configuration(document)

        async def is_in_force():
            return any(
                line["event"] == "configuration in force" and line["version"] == 2
                for line in cluster.read_log_entries("edge-0")
            )

        await context.world.wait_until(is_in_force, "version 2")

    context.run(run())


@when("a stream of each route is sent with an urgency of its own")
def send_streams(context):
    async def run():
        edge = context.world.cluster.edges["edge-0"]
        for number, prefix in enumerate(PREFIXES):
            async with RawConnection(edge) as connection:
                headers = make_headers(number, EVENTS, (URGENCY_HEADER, "0"))
                response = await connection.request(
                    "POST", f"{prefix}1", headers, b"pattern"
                )
            assert response.status == 200, response

    context.run(run())


@then("engines were told the urgencies {urgencies}")
def check_told(context, urgencies):
    runs = context.run(context.world.cluster.list_runs())
    told = {
        run["attempt_id"]: run["headers"].get(URGENCY_HEADER, "none")
        for items in runs.values()
        for run in items
    }
    found = [told[attempt_id] for attempt_id in sorted(told)]
    assert found == urgencies.split(", "), told
