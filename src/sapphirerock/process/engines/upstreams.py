"""State of upstreams as seen from this host: reports, calls, draining."""

from collections import deque
from dataclasses import dataclass, field

from sapphirerock.connection.engine import EngineClient
from sapphirerock.connection.messages import LoadSample
from sapphirerock.process.peers.gossip import UpstreamUpdate

DOWN_COOLDOWN_S = 2.0
MAX_SAMPLE_AGE_S = 10.0
DEFAULT_CAPACITY_SLOTS = 16
DEFAULT_CALL_DURATION_S = 2.0
# Weight of the latest call in the smoothed duration.
DURATION_SMOOTHING = 0.1
MAX_RECENT_CALLS = 256


@dataclass(slots=True)
class UpstreamState:
    """State of one upstream.

    Parameters
    ----------
    settings : Upstream
        Name, address and location.
    client : EngineClient
        Client for calls to the upstream.
    incarnation : str
        Id of the upstream's process as last reported; empty before the first report.
    is_draining : bool
        Whether the upstream finishes its calls and accepts no new ones.
    running, queued, capacity : int
        Running calls, queued calls and slots, as last reported.
    models : list of str or None
        Loaded models as last reported; None before the first report.
    updated_at : float
        Wall time of the last update, in seconds since the epoch.
    in_flight : int
        Running calls of this host.
    sent_since_report : int
        Calls of this host that the last report does not count yet.
    down_until_s : float
        Monotonic time until which the upstream gets no new work.
    duration_s : float
        Smoothed duration of this host's calls, in seconds.
    suspects : set of bytes
        Fingerprints of suspect requests from any host that run on the upstream.
    begun_at_s : deque of float
        Monotonic times at which this host's latest calls began.
    """

    settings: object
    client: EngineClient
    incarnation: str = ""
    is_draining: bool = False
    running: int = 0
    queued: int = 0
    capacity: int = DEFAULT_CAPACITY_SLOTS
    models: list | None = None
    updated_at: float = 0.0
    in_flight: int = 0
    sent_since_report: int = 0
    down_until_s: float = 0.0
    duration_s: float = DEFAULT_CALL_DURATION_S
    suspects: set = field(default_factory=set)
    begun_at_s: deque = field(default_factory=lambda: deque(maxlen=MAX_RECENT_CALLS))

    @property
    def name(self):
        """Name of the upstream."""
        return self.settings.name

    @property
    def load(self):
        """Estimated number of its running and queued calls, from all hosts."""
        return max(self.running + self.queued + self.sent_since_report, self.in_flight)

    @property
    def free_slots(self):
        """Estimated number of calls that it would start at once."""
        return self.capacity - self.load

    @property
    def wait_s(self):
        """Estimated time until a new call starts, in seconds."""
        excess = max(0, self.load + 1 - self.capacity)
        return excess * self.duration_s / max(1, self.capacity)

    def holds_model(self, model):
        """Return whether the upstream has loaded a model; true if it lists none."""
        return self.models is None or not self.models or model in self.models


class UpstreamTable:
    """All upstreams of all services.

    Parameters
    ----------
    own_address : HostAddress
        This host's address, from which distances are measured.
    session : aiohttp.ClientSession
        Connections to upstreams.
    clock : Clock
        Source of time.
    """

    __slots__ = ("own_address", "_states", "_session", "_clock", "_listeners")

    def __init__(self, own_address, session, clock):
        self.own_address = own_address
        self._states = {}
        self._session = session
        self._clock = clock
        self._listeners = []

    def subscribe(self, listener):
        """Call a function whenever an upstream may have gained a free slot."""
        self._listeners.append(listener)

    def _notify(self):
        for listener in self._listeners:
            listener()

    def apply_snapshot(self, snapshot):
        """Apply new settings; keep the state of unchanged upstreams."""
        wanted = {}
        for service in snapshot.services.values():
            for upstream in service.upstreams:
                wanted[upstream.name] = upstream
        for name in list(self._states):
            if wanted.get(name) != self._states[name].settings:
                del self._states[name]
        for name, upstream in wanted.items():
            if name not in self._states:
                client = EngineClient(self._session, upstream)
                self._states[name] = UpstreamState(upstream, client)
        self._notify()

    def get(self, name):
        """Return the state of an upstream, or None."""
        return self._states.get(name)

    def list_all(self):
        """Return all states."""
        return list(self._states.values())

    def apply_update(self, update: UpstreamUpdate):
        """Apply a watcher's update.

        Within an incarnation, `is_draining` never returns to false.
        """
        state = self._states.get(update.upstream)
        if state is None or update.sampled_at < state.updated_at:
            return
        state.updated_at = update.sampled_at
        if not update.alive:
            self.mark_down(update.upstream)
            return
        was_draining = state.is_draining and state.incarnation == update.incarnation
        if state.incarnation != update.incarnation:
            state.down_until_s = 0.0
        state.incarnation = update.incarnation
        state.is_draining = update.leaving or was_draining
        state.models = update.models
        self._notify()

    def apply_sample(self, sample: LoadSample):
        """Apply a sample of an upstream's load.

        This host's calls that began after the sample are added to it. The sample's age
        is the difference of two hosts' wall clocks, so it is clamped to between 0 and
        `MAX_SAMPLE_AGE_S`.
        """
        state = self._states.get(sample.upstream)
        if state is None:
            return
        state.running = sample.running
        state.queued = sample.queued
        state.capacity = sample.capacity
        age_s = self._clock.now().timestamp() - sample.sampled_at
        age_s = min(max(age_s, 0.0), MAX_SAMPLE_AGE_S)
        sampled_at_s = self._clock.monotonic() - age_s
        state.sent_since_report = sum(at > sampled_at_s for at in state.begun_at_s)
        self._notify()

    def mark_down(self, name):
        """Give an upstream no new work for `DOWN_COOLDOWN_S`."""
        state = self._states.get(name)
        if state is not None:
            state.down_until_s = self._clock.monotonic() + DOWN_COOLDOWN_S

    def mark_up(self, name):
        """End the cooldown of an upstream."""
        state = self._states.get(name)
        if state is not None:
            state.down_until_s = 0.0

    def mark_draining(self, name):
        """Record that an upstream is draining and refuses new work."""
        state = self._states.get(name)
        if state is not None:
            state.is_draining = True

    def is_usable(self, state, model=None):
        """Return whether new work may go to an upstream."""
        if state.is_draining or state.down_until_s > self._clock.monotonic():
            return False
        return model is None or state.holds_model(model)

    def list_usable(self, service, model=None, excluded=()):
        """Return the usable upstreams of a service."""
        usable = []
        for upstream in service.upstreams:
            state = self._states.get(upstream.name)
            if state is None or upstream.name in excluded:
                continue
            if self.is_usable(state, model):
                usable.append(state)
        return usable

    def begin_call(self, state):
        """Count the start of a call of this host."""
        state.in_flight += 1
        state.sent_since_report += 1
        state.begun_at_s.append(self._clock.monotonic())

    def end_call(self, state, duration_s=None):
        """Count the end of a call of this host and update the smoothed duration.

        Parameters
        ----------
        duration_s : float or None
            Duration of the call in seconds; None if it was interrupted.
        """
        state.in_flight -= 1
        if duration_s is not None:
            state.duration_s += DURATION_SMOOTHING * (duration_s - state.duration_s)
        self._notify()

    def measure_distance(self, state):
        """Return 0 for this host's zone, 1 for its region, 2 for other regions."""
        if state.settings.availability_zone == self.own_address.availability_zone:
            return 0
        return 1 if state.settings.region == self.own_address.region else 2
