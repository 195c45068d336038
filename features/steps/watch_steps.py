"""Steps on the pauses of watchers between changes."""

from random import Random
from statistics import median

from behave import then, when

from sapphirerock.decisions.watches import choose_watch_pause

SEED = 1


@when("watchers in {zones:d} zones wait for {changes:d} changes in {duration:g} s")
def replay_changes(context, zones, changes, duration):
    generator = Random(SEED)
    asks_s = [0.0] * zones
    known = [0] * zones
    context.calls, context.delays_s = 0, []
    times_s = [number * duration / changes for number in range(changes)]
    while len(context.delays_s) < changes:
        # The first watcher that has asked once a change is there that all others lack.
        first = len(context.delays_s)
        at_s = max(times_s[first], min(asks_s))
        seen = sum(time_s <= at_s for time_s in times_s)
        context.delays_s += [at_s - time_s for time_s in times_s[first:seen]]
        for zone, asked_s in enumerate(asks_s):
            # Those that wait are answered by the store; others hear it from a peer.
            if asked_s <= at_s and known[zone] < seen:
                context.calls += 1
                asks_s[zone] = at_s + choose_watch_pause(generator)
            known[zone] = seen


@then("they call the store at most {calls:d} times")
def check_calls(context, calls):
    assert context.calls <= calls, context.calls


@then(
    "all of them know each change within {longest:g} s, and half of the changes within "
    "{typical:g} s"
)
def check_delays(context, longest, typical):
    delays_s = context.delays_s
    assert max(delays_s) <= longest, max(delays_s)
    assert median(delays_s) <= typical, median(delays_s)
