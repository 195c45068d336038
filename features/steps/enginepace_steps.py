"""Steps on the paces of engines."""

from types import SimpleNamespace

from behave import given, then, when

from sapphirerock.connection.response import EngineLoad
from sapphirerock.decisions.enginepace import (
    ANNOUNCED_CHANGE,
    PauseSample,
    choose_usual_pause,
    measure_slowness,
)
from sapphirerock.platform.dialect import _decode_load
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.engines.paces import EnginePaceTable
from sapphirerock.process.engines.table import EngineState
from sapphirerock.process.peers.gossip import EnginePaceUpdate
from sapphirerock.version.engineentry import EngineEntry

MS_PER_S = 1000
ENGINE, OTHERS = "engine-0", ("engine-1", "engine-2", "engine-3")
STATES_PACE = SimpleNamespace(load=EngineLoad(1, 0, 8, 1.0))
STATES_NO_PACE = SimpleNamespace(load=EngineLoad(1, 0, 8))
EVENTS = 20


def make_sample(pauses_ms):
    """Return the sample of a stream with the given pauses."""
    sample, now_s = PauseSample(), 0.0
    sample.add_events(1, now_s)
    for pause_ms in pauses_ms:
        now_s += pause_ms / MS_PER_S
        sample.add_events(1, now_s)
    return sample


@when("a stream has pauses of {pauses}")
def measure_stream(context, pauses):
    pauses_ms = []
    for part in pauses.split(", "):
        count, _, pause_ms, _ = part.split()
        pauses_ms += int(count) * [float(pause_ms)]
    context.usual_s = make_sample(pauses_ms).measure()


@then("its usual pause is {usual}")
def check_usual(context, usual):
    found = context.usual_s
    text = "none" if found is None else f"{round(found * MS_PER_S)} ms"
    assert text == usual, text


@when("an engine has a usual pause of {pause:d} ms, and others have {others} ms")
def compare_engines(context, pause, others):
    pauses_s = [int(item) / MS_PER_S for item in others.split(", ")]
    pause_s = pause / MS_PER_S
    usual_s = choose_usual_pause([*pauses_s, pause_s])
    context.slowness = measure_slowness(pause_s, usual_s)


@then("it counts as taking {slowness:g} times as long")
def check_slowness(context, slowness):
    assert round(context.slowness, 2) == slowness, context.slowness


class PaceGossip:
    """Delivers updates to all hosts at once, and counts them."""

    def __init__(self):
        self.updates = 0
        self._listeners = []

    def subscribe(self, update_type, listener):
        """Register a host's listener."""
        self._listeners.append(listener)

    def broadcast(self, update):
        """Deliver an update."""
        self.updates += 1
        for listener in self._listeners:
            listener(update)


def make_engine(name):
    address = f"10.0.0.{name[-1]}:80"
    return EngineState(EngineEntry(name, "model", address, "zone-a", 8, born_ms=1))


@given("two hosts that know an engine and three others with a pause of {pause:d} ms")
def make_hosts(context, pause):
    context.gossip, context.hosts = PaceGossip(), []
    for _ in range(2):
        states = {name: make_engine(name) for name in (ENGINE, *OTHERS)}
        for name in OTHERS:
            states[name].pause_s = pause / MS_PER_S
        engines = SimpleNamespace(get=states.get, list_all=states.values)
        table = EnginePaceTable(engines, context.gossip, ManualClock())
        context.hosts.append(SimpleNamespace(states=states, table=table))


@when("one of them measures pauses of the engine: {measured}")
def measure_engine(context, measured):
    host = context.hosts[0]
    state = host.states[ENGINE]
    if measured == "an absurd pause":
        context.gossip.broadcast(EnginePaceUpdate(ENGINE, 1, -3))
        return
    if measured.endswith("former start"):
        context.gossip.broadcast(EnginePaceUpdate(ENGINE, 0, 58_000))
        return
    head = STATES_NO_PACE if "states no pace" in measured else STATES_PACE
    for part in measured.split(", "):
        sample = make_sample(EVENTS * [float(part.split()[0])])
        host.table.record_stream(state, head, sample)


@then(
    "it takes it to be {slowness:g} times as slow, and the other nearly so, after "
    "{updates:d} updates"
)
def check_hosts(context, slowness, updates):
    own, other = (
        host.table.measure_slowness(host.states[ENGINE]) for host in context.hosts
    )
    assert round(own, 2) == slowness, own
    assert abs(other - own) <= ANNOUNCED_CHANGE * other, (own, other)
    assert context.gossip.updates == updates, context.gossip.updates


@then("the load that is read from it is {load}")
def check_load(context, load):
    header = context.scenario.name.partition(" -- ")[0].rpartition(" ")[2]
    found = _decode_load(header)
    text = "nothing"
    if found is not None:
        pace = "no pace" if found.pace is None else f"pace {found.pace:g}"
        text = f"{found.running}, {found.waiting}, {found.slots}, {pace}"
    assert text == load, text
