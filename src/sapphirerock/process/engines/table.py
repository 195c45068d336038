"""Registered engines and their state as seen from this host."""

import math
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from loguru import logger

from sapphirerock.decisions.health import FailureShare
from sapphirerock.decisions.poisonrequests import MAX_RESTART_S
from sapphirerock.decisions.silence import MAX_SILENCE_WAIT_S

# An engine that was found down may get work again after this time, which doubles with
# each consecutive failure.
MIN_DOWN_DURATION_S = 1.5
MAX_DOWN_DURATION_S = 12.0
# Streams of a version go on being taken up for less than this time after its last
# engine is gone.
VERSION_HISTORY_S = 60.0
# A silent engine that has not answered a probe after this time gets no call that looks
# for another engine. Shorter than the time by which probes of engines that fall silent
# together are apart.
SUSPICION_S = 0.05
# Engines of a service are taken to be brittle until they answer for this time after its
# last brittle engine is gone.
TOLERANCE_HISTORY_S = 60.0
# Engines whose statements are kept beyond their registrations.
MAX_KEPT_STATEMENTS = 1_000


@dataclass(slots=True)
class EngineLoadCell:
    """Load that one host, or several together, have placed on an engine.

    Parameters
    ----------
    prompt_tokens : int
        Tokens of prompts that have not produced their first event.
    runs : int
        Running calls.
    memory_tokens : int
        KV memory that the runs will occupy, in tokens.
    copy_tokens : int
        KV memory that backups of runs on other engines will occupy, in tokens.
    """

    prompt_tokens: int = 0
    runs: int = 0
    memory_tokens: int = 0
    copy_tokens: int = 0

    @property
    def is_loaded(self):
        """Whether the engine has any runs or backups."""
        return bool(self.runs or self.copy_tokens)

    def to_numbers(self):
        """Return the fields as a list, as messages to peers carry them."""
        return [self.prompt_tokens, self.runs, self.memory_tokens, self.copy_tokens]

    def add(self, other):
        """Add another load to this one."""
        self.prompt_tokens += other.prompt_tokens
        self.runs += other.runs
        self.memory_tokens += other.memory_tokens
        self.copy_tokens += other.copy_tokens

    def subtract(self, other):
        """Subtract another load from this one; no field falls below zero."""
        self.prompt_tokens = max(0, self.prompt_tokens - other.prompt_tokens)
        self.runs = max(0, self.runs - other.runs)
        self.memory_tokens = max(0, self.memory_tokens - other.memory_tokens)
        self.copy_tokens = max(0, self.copy_tokens - other.copy_tokens)


@dataclass(slots=True, eq=False)
class EngineState:
    """An engine and its state as seen from this host.

    Parameters
    ----------
    entry : EngineEntry
        The engine's registration.
    local_load : EngineLoadCell
        Load that this host has placed on the engine.
    remote_load : EngineLoadCell
        Load that other hosts have reported.
    loads_updated_s : float or None
        Monotonic time of the last update of `remote_load`.
    attempts : set of EngineAttempt
        This host's attempts that run on the engine.
    last_received_s : float
        Monotonic time at which this host last received bytes from the engine, or began
        an attempt while it had none there.
    heard_s : float
        Monotonic time at which this host last received bytes from the engine.
    down_until_s : float
        Monotonic time until which the engine gets no work because it failed.
    failures : int
        Consecutive times that the engine was found down.
    silent_since_s : float or None
        Monotonic time at which the engine was marked down only because it did not
        answer. Any data from it ends the mark.
    awaited_s : float
        Monotonic time at which a call last asked for the end of the silence.
    health : FailureShare
        Share of this host's calls to the engine that failed.
    registered_revision : int
        Revision of the store at which this host first saw the registration.
    has_ended : bool
        Whether the registration has ended or another engine answers at the address.
    is_superseded : bool
        Whether an engine that started later is registered at the address.
    is_probe_pending : bool
        Whether a probe of the engine is waiting for its answer.
    probed_s : float
        Monotonic time of the last probe of an engine that was silent.
    is_relayed : bool
        Whether this host reaches the engine only through a peer.
    rest_until_s : float
        Monotonic time until which the engine wants no requests of this host.
    rest_probes : int
        Probes that this host has sent to the engine since it asked for rest.
    statement_times : dict
        `StatementTimes` of what the engine states of itself, by name.
    leaving : float or None
        1 if the engine has stated that it is about to end, else None.
    refusal_tolerance : float or None
        Requests that the engine may turn away in a second before it crashes, as it last
        stated; None if it states none.
    next_slot_s : float
        Monotonic time before which the engine has no free slot, as far as known.
    limit_per_s : float or None
        Requests per second that the engine accepts from all hosts together, as it last
        stated; None if it states no limit.
    limit_changed_s : float
        Monotonic time at which the limit last changed for this host.
    limit_stated_s, answered_s : float
        Monotonic times of the last response to this host that stated a limit, and of
        the last response.
    next_turn_s : float
        Monotonic time before which the limit leaves no turn, as far as known.
    turn_asked_s : float or None
        Monotonic time of the oldest request for a turn without a reply.
    pause_s, announced_pause_s : float or None
        Usual pause between the events of its streams in seconds, as measured by all
        hosts and as last announced to them; None if not known.
    """

    entry: object
    local_load: EngineLoadCell = field(default_factory=EngineLoadCell)
    remote_load: EngineLoadCell = field(default_factory=EngineLoadCell)
    loads_updated_s: float | None = None
    attempts: set = field(default_factory=set)
    last_received_s: float = 0.0
    heard_s: float = -math.inf
    down_until_s: float = 0.0
    failures: int = 0
    silent_since_s: float | None = None
    awaited_s: float = -math.inf
    health: FailureShare = field(default_factory=FailureShare)
    registered_revision: int = 0
    has_ended: bool = False
    is_superseded: bool = False
    is_probe_pending: bool = False
    probed_s: float = -math.inf
    is_relayed: bool = False
    rest_until_s: float = -math.inf
    rest_probes: int = 0
    statement_times: dict = field(default_factory=dict)
    leaving: float | None = None
    refusal_tolerance: float | None = None
    next_slot_s: float = 0.0
    limit_per_s: float | None = None
    limit_changed_s: float = -math.inf
    limit_stated_s: float = -math.inf
    answered_s: float = -math.inf
    next_turn_s: float = 0.0
    turn_asked_s: float | None = None
    pause_s: float | None = None
    announced_pause_s: float | None = None

    @property
    def name(self):
        """The engine's id."""
        return self.entry.name

    @property
    def is_removed(self):
        """Whether the engine is no longer the one to use at its address."""
        return self.has_ended or self.is_superseded

    @property
    def has_answered(self):
        """Whether it is known what the engine states of itself since its start."""
        return self.refusal_tolerance is not None or self.answered_s > -math.inf

    @property
    def is_draining(self):
        """Whether the engine has registered or stated that it gets no new work."""
        return self.entry.is_draining or bool(self.leaving)

    def record_received(self, now_s):
        """Record that bytes were received from the engine; reset its failures.

        An engine that was only silent may get new work again.
        """
        if self.silent_since_s is not None:
            marked_s = round(now_s - self.silent_since_s, 3)
            logger.bind(
                engine=self.name, marked_s=marked_s, attempts=len(self.attempts)
            ).info("silent engine answered")
            self.silent_since_s = None
            self.down_until_s = 0.0
        self.last_received_s = self.heard_s = now_s
        self.failures = 0


class EngineTable:
    """All registered engines.

    Parameters
    ----------
    decode : callable
        Takes a name and a registration's content; returns a Result of EngineEntry.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts engines.

    Attributes
    ----------
    on_restart : list of callable
        Called with the state of a run that ended, when a later run is registered under
        the same id or at the same address.
    on_lapse : list of callable
        Called with the state of an engine whose registration was removed.
    """

    __slots__ = (
        "on_restart",
        "on_lapse",
        "_decode",
        "_clock",
        "_metrics",
        "_states",
        "_lapsed",
        "_kept_statements",
        "_last_tolerances",
        "_last_seen_s_by_version",
    )

    def __init__(self, decode, clock, metrics):
        self.on_restart = []
        self.on_lapse = []
        self._decode = decode
        self._clock = clock
        self._metrics = metrics
        self._states = {}
        # Engines whose registration was removed lately, and the times, by id.
        self._lapsed = {}
        # Statements by the engine's id and start, since a registration may lapse while
        # the engine lives, and come back.
        self._kept_statements = OrderedDict()
        # Tolerance of the latest brittle engine that ended, and time of it, by service.
        self._last_tolerances = {}
        self._last_seen_s_by_version = {}

    def apply_changes(self, changes):
        """Apply changes of registrations in the store."""
        for change in changes:
            if change.is_deletion:
                self._remove(change.name)
                continue
            decoded = self._decode(change.name, change.spec)
            if decoded.is_error():
                logger.bind(entry=change.name, cause=str(decoded.error)).warning(
                    "invalid engine registration ignored"
                )
                self._remove(change.name)
            else:
                self._add_or_update(decoded.ok, change.revision)
        self._metrics.engines.set(len(self._states))

    def _add_or_update(self, entry, revision):
        """Add an engine, or update its entry if the engine has not restarted."""
        known = self._states.get(entry.name)
        if known is not None and is_same_start(known.entry, entry):
            known.entry = entry
            return
        self._drop(entry.name)
        added = EngineState(entry, registered_revision=revision)
        self._states[entry.name] = added
        for attribute, value in self._kept_statements.get(
            (entry.name, entry.born_ms), {}
        ).items():
            setattr(added, attribute, value)
        for ended in self._take_former_runs(entry):
            self._notify_of_restart(ended, added)
        if known is not None:
            self._update_address(known.entry.address)
        self._update_address(entry.address)

    def _take_former_runs(self, entry):
        """Return the lapsed runs under the id or at the address of a new entry.

        The entry of an engine that crashed silently lapses before it registers again.
        Each run is returned once.
        """
        oldest_s = self._clock.monotonic() - MAX_RESTART_S
        self._lapsed = {
            name: (state, lapsed_s)
            for name, (state, lapsed_s) in self._lapsed.items()
            if lapsed_s >= oldest_s
        }
        names = [
            name
            for name, (state, _) in self._lapsed.items()
            if name == entry.name or state.entry.address == entry.address
        ]
        return [self._lapsed.pop(name)[0] for name in names]

    def _update_address(self, address):
        """Determine which of the engines registered at an address is the one to use.

        The entry of an engine that has restarted or been replaced expires only after
        that of its successor was written, and entries arrive in any order: a list of
        the store is sorted by name.
        """
        states = [
            state
            for state in self._states.values()
            if state.entry.address == address and not state.has_ended
        ]
        latest = find_latest_start(states)
        for state in states:
            is_superseded = state is not latest
            if state.is_superseded == is_superseded:
                continue
            state.is_superseded = is_superseded
            logger.bind(
                engine=state.name,
                start=state.entry.born_ms,
                address=address,
                latest=latest.name,
                latest_start=latest.entry.born_ms,
            ).info(
                "engine superseded at its address"
                if is_superseded
                else "engine no longer superseded at its address"
            )
            if is_superseded:
                self._notify_of_restart(state, latest)

    def keep_statement(self, state, attribute, value):
        """Keep a statement for as long as the run of an engine may last."""
        key = (state.name, state.entry.born_ms)
        self._kept_statements.setdefault(key, {})[attribute] = value
        while len(self._kept_statements) > MAX_KEPT_STATEMENTS:
            self._kept_statements.popitem(last=False)

    def _notify_of_restart(self, ended, later):
        """Notify of the end of a run if another one is known to have begun later."""
        if 0 < ended.entry.born_ms < later.entry.born_ms:
            for notify in self.on_restart:
                notify(ended)

    def _remove(self, name):
        known = self._drop(name)
        if known is not None:
            self._update_address(known.entry.address)
            for notify in self.on_lapse:
                notify(known)

    def _drop(self, name):
        """Drop an engine, and return its state or None."""
        known = self._states.pop(name, None)
        if known is not None:
            known.has_ended = True
            self._lapsed[name] = known, self._clock.monotonic()
            if known.refusal_tolerance is not None:
                last = known.refusal_tolerance, self._clock.monotonic()
                self._last_tolerances[known.entry.service] = last
            self.note_version(known.entry.service, known.entry.version)
        return known

    def note_version(self, service, version):
        """Note that an engine of a service had a software version until now."""
        self._last_seen_s_by_version[service, version] = self._clock.monotonic()

    def list_registered_versions(self):
        """Return the services and software versions of the registered engines.

        Returns
        -------
        set of (str, str)
        """
        return {
            (state.entry.service, state.entry.version)
            for state in self._states.values()
        }

    def list_versions(self, service):
        """Return the software versions that a service's engines have or recently had.

        Recently means within `VERSION_HISTORY_S`.

        Returns
        -------
        set of str
        """
        oldest_s = self._clock.monotonic() - VERSION_HISTORY_S
        self._last_seen_s_by_version = {
            version: seen_s
            for version, seen_s in self._last_seen_s_by_version.items()
            if seen_s >= oldest_s
        }
        versions = {
            version
            for known_service, version in self._last_seen_s_by_version
            if known_service == service
        }
        versions.update(
            state.entry.version
            for state in self._states.values()
            if state.entry.service == service
        )
        return versions

    def count_draining_versions(self, service):
        """Return the number of a service's draining engines by software version.

        Returns
        -------
        Counter of str
        """
        return Counter(
            state.entry.version
            for state in self._states.values()
            if state.entry.service == service and state.is_draining
        )

    def get(self, name):
        """Return the state of an engine, or None."""
        return self._states.get(name)

    def list_all(self):
        """Return the states of all engines."""
        return list(self._states.values())

    def list_watched(self):
        """Return the states of engines that run calls of this host or were silent."""
        return [
            state
            for state in self._states.values()
            if state.attempts or state.silent_since_s is not None
        ]

    def list_usable(self, service):
        """Return the states of a service's engines that may get new work."""
        return [
            state
            for state in self._states.values()
            if state.entry.service == service and self.is_usable(state)
        ]

    def get_refusal_tolerance(self, state):
        """Return the refusals a second that an engine bears; None if it bears any.

        An engine that has not answered this host since its start is taken to be as the
        most brittle one of its service.
        """
        if state.has_answered:
            return state.refusal_tolerance
        return self.get_service_tolerance(state.entry.service)

    def get_service_tolerance(self, service):
        """Return the refusals a second that the most brittle engine of a service bears.

        If all of them have ended within `TOLERANCE_HISTORY_S`, it is that of the last.

        Returns
        -------
        float or None
            None if no engine of the service is brittle.
        """
        last, ended_s = self._last_tolerances.get(service, (None, -math.inf))
        is_recent = self._clock.monotonic() - ended_s < TOLERANCE_HISTORY_S
        return min(
            (
                state.refusal_tolerance
                for state in self._states.values()
                if state.entry.service == service
                and state.refusal_tolerance is not None
            ),
            default=last if is_recent else None,
        )

    def is_usable(self, state):
        """Return whether an engine may get new work."""
        return self.is_alive(state) and not self.measure_rest_s(state)

    def is_alive(self, state):
        """Return whether an engine may get new work, now or after its rest."""
        if state.is_removed or state.is_draining:
            return False
        return state.down_until_s <= self._clock.monotonic()

    def is_marked_silent(self, state):
        """Return whether an engine gets no new work only because it is silent."""
        if state.is_removed or state.silent_since_s is None:
            return False
        return state.down_until_s > self._clock.monotonic()

    def may_be_sound(self, state):
        """Return whether an engine has been silent for no longer than a sound one."""
        if not self.is_marked_silent(state):
            return False
        return self._clock.monotonic() - state.silent_since_s <= MAX_SILENCE_WAIT_S

    def await_silent_engine(self, service, excluded=()):
        """Return whether an engine of a service gets no work only for its silence.

        A call that waits for such an engine asks again and again, and meanwhile the
        engines are probed.
        """
        silent = [
            state
            for state in self._states.values()
            if state.entry.service == service
            and state.name not in excluded
            and not state.is_draining
            and self.is_marked_silent(state)
        ]
        for state in silent:
            state.awaited_s = self._clock.monotonic()
        return bool(silent)

    def list_suspects(self, service):
        """Return the names of engines that are late to answer a probe.

        Returns
        -------
        list of str
        """
        latest_s = self._clock.monotonic() - SUSPICION_S
        return [
            state.name
            for state in self._states.values()
            if state.entry.service == service
            and state.is_probe_pending
            and state.probed_s <= latest_s
        ]

    def measure_rest_s(self, state):
        """Return how much longer an engine wants no requests of this host, in s."""
        return max(0.0, state.rest_until_s - self._clock.monotonic())

    def measure_service_rest_s(self, service, excluded=()):
        """Return the time until the first engine of a service has rested, in seconds.

        Returns
        -------
        float or None
            None if there is no engine that only has to rest.
        """
        rests_s = [
            self.measure_rest_s(state)
            for state in self._states.values()
            if state.entry.service == service
            and state.name not in excluded
            and self.is_alive(state)
        ]
        return min(rests_s, default=None)

    def mark_replaced(self, state):
        """Remove an engine permanently because another one answers at its address."""
        if not state.has_ended:
            logger.bind(engine=state.name, address=state.entry.address).warning(
                "engine replaced at its address"
            )
            state.has_ended = True
            self._update_address(state.entry.address)

    def mark_down(self, state, cause, is_silent=False):
        """Give an engine no new work for a time.

        The time doubles with consecutive failures. An engine that is already marked
        down stays so for the same time.

        Parameters
        ----------
        state : EngineState
            The engine.
        cause : str
            Cause for the log.
        is_silent : bool
            Whether all that is known is that the engine did not answer.

        Returns
        -------
        bool
            Whether the engine was not marked down before.
        """
        now_s = self._clock.monotonic()
        if state.down_until_s > now_s:
            if not is_silent:
                state.silent_since_s = None
            return False
        state.silent_since_s = now_s if is_silent else None
        down_for_s = min(MAX_DOWN_DURATION_S, MIN_DOWN_DURATION_S * 2**state.failures)
        state.failures += 1
        state.down_until_s = now_s + down_for_s
        logger.bind(
            engine=state.name,
            cause=cause,
            attempts=len(state.attempts),
            down_for_s=down_for_s,
        ).warning("engine marked down")
        return True

    def lift_down(self, state):
        """Give an engine new work again that was marked down by mistake."""
        state.down_until_s = 0.0
        state.failures = 0
        state.silent_since_s = None


def is_same_start(old, new):
    """Return whether two registrations are of the same run of an engine process."""
    return (old.service, old.address, old.born_ms) == (
        new.service,
        new.address,
        new.born_ms,
    )


def find_latest_start(states):
    """Return the state of the engine that started last, or None if there is none.

    Where an engine has not registered its start time, the order of the registrations
    decides.

    Parameters
    ----------
    states : list of EngineState
        Engines that are registered at one address.
    """
    if all(state.entry.born_ms for state in states):
        return max(
            states,
            key=lambda state: (state.entry.born_ms, state.registered_revision),
            default=None,
        )
    return max(states, key=lambda state: state.registered_revision)
