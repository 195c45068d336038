"""Steps on the demo."""

import subprocess

from behave import then, when
from tools.localcluster import ROOT

DEMO_BOUND_S = 120
SHOWN = (
    "150 tokens, whole: True",
    "runs by key: {'purchase-1': 1}",
    "150 events, longest pause",
    "in force on all hosts",
    "all well",
)


@when("the demo is run")
def run_demo(context):
    context.demo = subprocess.run(
        ["sh", "examples/demo.sh"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=DEMO_BOUND_S,
    )


@then("it shows a whole generation, one order and a whole stream")
def check_demo(context):
    assert context.demo.returncode == 0, context.demo.stdout
    missing = [text for text in SHOWN if text not in context.demo.stdout]
    assert not missing, (missing, context.demo.stdout)
