"""Steps shared by several features."""

from behave import given

ZONE, REGION = "zone-a", "region-a"


@given("a router with {engines:d} engine and {services:d} plain service")
def start_one_router(context, engines, services):
    context.run(
        context.world.start(
            [("r1", ZONE, REGION)],
            [(f"e{number}", ZONE, REGION, {}) for number in range(1, engines + 1)],
            [(f"s{number}", ZONE, REGION, {}) for number in range(1, services + 1)],
        )
    )
