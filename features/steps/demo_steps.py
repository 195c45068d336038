"""Steps for the demo script."""

import subprocess

from behave import then, when
from tools.localcluster import ROOT

DEMO_TIMEOUT_S = 120
EXPECTED_OUTPUT = (
    "150 tokens, whole: True",
    "runs by key: {'purchase-1': 1}",
    "150 events, longest pause",
    "in force on all hosts",
    "all well",
)


@when("the demo script runs")
def run_demo(context):
    context.demo_run = subprocess.run(
        ["sh", "examples/demo.sh"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=DEMO_TIMEOUT_S,
    )


@then("it reports a complete generation, one executed order and a complete stream")
def check_demo(context):
    assert context.demo_run.returncode == 0, context.demo_run.stdout
    missing = [text for text in EXPECTED_OUTPUT if text not in context.demo_run.stdout]
    assert not missing, (missing, context.demo_run.stdout)
