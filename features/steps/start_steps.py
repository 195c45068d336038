"""Steps on what a start of a host costs, and on callers that arrive meanwhile."""

import json
import math
import os
import re
import shutil
import subprocess
import sys
import tomllib

from behave import given, then, when
from tools.localcluster import BIN, ROOT, RUN_FOLDER, LocalProcess
from tools.rawclient import RawConnection
from tools.sharedcaller import make_headers
from tools.sharedcluster import ORDER_PREFIX, SharedCluster, make_configuration

from sapphirerock.decisions.startup import choose_start_wait

HOST_IMPORTS = "import sapphirerock.commands.router, sapphirerock.process.edge"
ROUTER_MODULE = "sapphirerock.commands.router"
EDGE = "edge-0"
# Python's line, with -v, on a module's code that was compiled from its source.
COMPILED_MODULE = re.compile(
    r"^# code object from '?(\S+/sapphirerock/\S+\.py)'?$", re.M
)

# Python's line, with -X importtime, on a module that was imported.
IMPORTED_MODULE = re.compile(r"^import time: .*\| +(\S+)$", re.M)


@given("a copy of the sources that the build command was run in")
def run_build(context):
    folder = context.build_folder = RUN_FOLDER / f"build-{os.getpid()}"
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(
        ROOT / "src", folder / "src", ignore=shutil.ignore_patterns("__pycache__")
    )
    shutil.copy2(ROOT / "constraints.txt", folder)
    # Marks the libraries as installed; the test environment has them.
    (folder / "target" / "deps").mkdir(parents=True)
    (folder / "target" / "deps" / ".built").touch()
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    path = f"{BIN}:{os.environ['PATH']}"
    subprocess.run(
        build, shell=True, check=True, cwd=folder, env={**os.environ, "PATH": path}
    )


@when("a host's modules are imported from the build without writing byte code")
def import_from_build(context):
    run = subprocess.run(
        [sys.executable, "-v", "-c", HOST_IMPORTS],
        cwd=context.build_folder,
        env={
            **os.environ,
            "PYTHONPATH": str(context.build_folder / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        },
        capture_output=True,
        text=True,
        check=True,
    )
    context.compiled = COMPILED_MODULE.findall(run.stderr)
    assert str(context.build_folder) in run.stderr


@then("none of the project's modules is compiled")
def check_compiled(context):
    assert not context.compiled, (len(context.compiled), context.compiled[:3])
    shutil.rmtree(context.build_folder)


@given("a shared platform with a planned edge")
def plan_edge(context):
    context.world.cluster = cluster = SharedCluster("starts")

    async def run():
        cluster.add_platform()
        await cluster.wait_ready("platform")
        cluster.plan_edge(EDGE, "zone-a", "region-a")
        await cluster.put_configuration(make_configuration())

    context.run(run())


def start_edge(cluster, *command):
    """Start the planned edge by a command that runs the router's module."""
    arguments = [*command, "-m", ROUTER_MODULE, *cluster.make_arguments(EDGE)]
    arguments.append(str(cluster.write_settings(EDGE)))
    process = LocalProcess(EDGE, arguments, cluster.folder / f"{EDGE}.log")
    process.start()
    cluster.processes[EDGE] = process


@when("the edge is started and would block on reading certificates")
def start_edge_with_blocking_certificates(context):
    cluster = context.world.cluster
    # Opening a pipe that has no writer blocks.
    pipe = cluster.folder / "certificates"
    os.mkfifo(pipe)
    start_edge(cluster, "env", f"SSL_CERT_FILE={pipe}", sys.executable)


@then("it is ready")
def check_ready(context):
    context.run(context.world.cluster.wait_edges_ready())


# Checks settings as `sapphirerock-router --check` does; prints counts of collections.
CHECK_AND_COUNT = f"""
import gc, json, sys
from {ROUTER_MODULE} import main

def count():
    return [generation["collections"] for generation in gc.get_stats()]

before = count()
main(sys.argv[1:], standalone_mode=False)
print(json.dumps({{"before": before, "after": count(), "enabled": gc.isenabled()}}))
"""


@when("the edge's settings are checked, which imports all of its modules")
def check_settings(context):
    path = context.world.cluster.write_settings(EDGE)
    run = subprocess.run(
        [sys.executable, "-c", CHECK_AND_COUNT, "--platform", "--check", str(path)],
        capture_output=True,
        text=True,
        check=True,
    )
    context.collections = json.loads(run.stdout.splitlines()[-1])


@then("the older generations of objects were not collected")
def check_no_collections(context):
    counted = context.collections
    assert counted["after"][1:] == counted["before"][1:], counted


@then("garbage is collected from then on")
def check_collection_enabled(context):
    assert context.collections["enabled"]


@when("the edge is started with a trace of its imports")
def start_edge_with_trace(context):
    start_edge(context.world.cluster, sys.executable, "-X", "importtime")


@then("none of these modules was imported")
def check_modules(context):
    log = context.world.cluster.processes[EDGE].log.read_text()
    imported = IMPORTED_MODULE.findall(log)
    assert "sapphirerock.process.edge" in imported, log[-500:]
    unwanted = tuple(row["module"] for row in context.table)
    found = [name for name in imported if f"{name}.".startswith(add_dots(unwanted))]
    assert not found, (len(found), found)


def add_dots(names):
    """Return prefixes that match modules of these names and all of their parts."""
    return tuple(f"{name}." for name in names)


@when("the edge is started")
def start_planned_edge(context):
    start_edge(context.world.cluster, sys.executable)


@then("its pages answer these requests")
def check_pages(context):
    edge = context.world.cluster.edges[EDGE]
    ports = {"readiness": edge.readiness_port, "metrics": edge.metrics_port}

    async def send(row):
        url = f"http://{edge.address}:{ports[row['page']]}{row['path']}"
        async with context.world.session.request(row["method"], url) as response:
            body = await response.read()
        assert response.status == int(row["status"]), (row, response)
        assert response.headers.get("Allow", "") == row["Allow"], (row, response)
        assert bool(body) == (row["method"] != "HEAD"), (row, body)

    for row in context.table:
        context.run(send(row))


# Prints whether croniter is loaded before and after its use, and the result.
USE_CRONITER = """
import json, sys
from sapphirerock.commands.imports import defer_croniter

with defer_croniter():
    from mode.utils.cron import secs_for_next
before = "croniter" in sys.modules
seconds = secs_for_next("* * * * *")
print(json.dumps([before, "croniter" in sys.modules, seconds]))
"""


@given("a process that imports mode while croniter is deferred")
def describe_process(context):
    context.program = USE_CRONITER


@when("it computes the seconds until the next minute by croniter")
def use_croniter(context):
    run = subprocess.run(
        [sys.executable, "-c", context.program],
        capture_output=True,
        text=True,
        check=True,
    )
    context.use = json.loads(run.stdout)


@then("croniter was loaded by the call, and the seconds are from 0 to 60")
def check_use(context):
    loaded_before, loaded_after, seconds = context.use
    assert not loaded_before and loaded_after, context.use
    assert 0 <= seconds <= 60, seconds


# Pauses the import of a module until a pipe is opened for writing.
PAUSE_IMPORT = """
import sys

class PausedModule:
    @staticmethod
    def find_spec(name, path=None, target=None):
        if name == "sapphirerock.process.edge":
            open({pipe!r}).close()

sys.meta_path.insert(0, PausedModule)
"""
CALLER_NUMBER = 1
CALLER_TIMEOUT_MS = 60_000


@when("the edge is killed, and started so that its imports pause")
def restart_edge_with_paused_imports(context):
    cluster = context.world.cluster
    cluster.processes[EDGE].kill()
    folder = cluster.folder / "paused"
    folder.mkdir()
    context.pipe = folder / "pipe"
    os.mkfifo(context.pipe)
    customisation = PAUSE_IMPORT.format(pipe=str(context.pipe))
    (folder / "sitecustomize.py").write_text(customisation)
    start_edge(cluster, "env", f"PYTHONPATH={folder}", sys.executable)


@when("a caller sends an order once the edge listens")
def send_order_to_starting_edge(context):
    async def run():
        edge = context.world.cluster.edges[EDGE]

        async def can_connect():
            try:
                connection = await RawConnection(edge).__aenter__()
            except OSError:
                return False
            context.caller = connection
            return True

        await context.world.wait_until(can_connect, "the edge listens")
        headers = make_headers(CALLER_NUMBER, 0, timeout_ms=CALLER_TIMEOUT_MS)
        context.caller.send("POST", f"{ORDER_PREFIX}1", headers, b"wool")

    context.run(run())


@when("the imports go on")
def release_imports(context):
    context.pipe.write_text("")


@then("the order is answered with success")
def check_order(context):
    response = context.run(context.caller.read_response(CALLER_TIMEOUT_MS / 1000))
    context.caller.writer.close()
    assert response.status == 200, response


@when(
    "a request arrives {arrival:g} s after a start with {left:g} s left, and data at "
    "{data:g} s"
)
def decide_wait(context, arrival, left, data):
    allowed_s = choose_start_wait(arrival, left)
    needed_s = max(0.0, data - arrival)
    context.result = "served" if needed_s <= allowed_s else "refused"
    context.waited_s = min(needed_s, allowed_s)


@then("it is {result} after {wait:g} s")
def check_wait(context, result, wait):
    assert context.result == result, context.waited_s
    assert math.isclose(context.waited_s, wait, abs_tol=1e-6), context.waited_s
