"""Hooks of behave that set up and clean up each scenario."""

import asyncio
import compileall
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tools.localcluster import ROOT  # noqa: E402
from tools.scenario import ScenarioWorld  # noqa: E402


def before_all(context):
    # Hosts start as they do from a build, also if the environment writes no byte code.
    compileall.compile_dir(ROOT / "src", quiet=1)


def before_scenario(context, scenario):
    context.runner_loop = asyncio.new_event_loop()
    context.world = ScenarioWorld(scenario.name)

    def run(coroutine):
        return context.runner_loop.run_until_complete(coroutine)

    context.run = run


def after_scenario(context, scenario):
    context.run(context.world.close(failed=scenario.status == "failed"))
    context.runner_loop.close()
