"""Selection of engines for calls, and records of the calls' outcomes."""

from dataclasses import dataclass

from loguru import logger

from sapphirerock.decisions.health import exclude_outliers
from sapphirerock.decisions.placement import (
    EngineView,
    choose_backup_engine,
    choose_plain_call_engine,
    mark_cached_prompt,
    select_by_limit,
)
from sapphirerock.decisions.relays import prefer_direct_engines
from sapphirerock.decisions.streamversions import prefer_lasting_versions

# A limited engine that has not answered this host for this time gets a call although
# others have room.
LIMIT_TRIAL_INTERVAL_S = 2.0


@dataclass(slots=True, frozen=True)
class Placement:
    """Engine chosen for a generation.

    Parameters
    ----------
    state : EngineState
        The engine.
    view : EngineView
        Its load and health at the time of the choice.
    candidates : int
        Number of engines considered.
    """

    state: object
    view: EngineView
    candidates: int


@dataclass(slots=True, frozen=True)
class ServiceLoad:
    """Total load of a service's engines.

    Parameters
    ----------
    memory_tokens : int
        KV memory that all runs will occupy, in tokens.
    capacity_tokens : int
        KV memory of one engine, in tokens; 0 if unknown.
    """

    memory_tokens: int
    capacity_tokens: int


class Fleet:
    """Chooses among all engines for the calls of this host.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    routing : RoutingStore
        Configuration in force.
    policy : PlacementPolicy
        Ranks engines for generations.
    availability_zone : str
        Zone of this host.
    clock : Clock
        Source of time.
    paces : EnginePaceTable or None
        Paces of engines; None if all count as equal.
    rollouts : RolloutTable or None
        Rollouts of services; None if operators order none.

    Attributes
    ----------
    on_unreachable : list of callable
        Called with the state of an engine that a call could not connect to.
    """

    __slots__ = (
        "engines",
        "on_unreachable",
        "_routing",
        "_policy",
        "_zone",
        "_clock",
        "_paces",
        "_rollouts",
    )

    def __init__(
        self,
        engines,
        routing,
        policy,
        availability_zone,
        clock,
        paces=None,
        rollouts=None,
    ):
        self.engines = engines
        self.on_unreachable = []
        self._routing = routing
        self._policy = policy
        self._zone = availability_zone
        self._clock = clock
        self._paces = paces
        self._rollouts = rollouts

    def place(self, call, excluded, isolate=None, origin=None):
        """Choose an engine for a generation.

        Parameters
        ----------
        call : RoutedCall
            The call.
        excluded : set of str
            Engines that the call has already been sent to.
        isolate : callable or None
            Takes the call and the views; returns a view for a suspect request, and
            None for any other call.
        origin : StreamOrigin or None
            Where the stream began, which goes on at the same software version; None
            for a new stream.

        Returns
        -------
        Placement or None
        """
        version = origin.version if origin else None
        views = self._list_views(call.service, excluded, version)
        if origin is None:
            views = self._select_versions(call, views)
        view = isolate(call, views) if isolate else None
        if view is None:
            prompt = call.metadata.prompt
            if origin is not None:
                views = mark_cached_prompt(views, origin.engine, prompt)
            else:
                draining = self.engines.count_draining_versions(call.service)
                views = prefer_lasting_versions(views, draining, prompt)
            views = prefer_direct_engines(exclude_outliers(views))
            views = select_by_limit(views, prompt)
            view = self._policy.choose(views, prompt)
        if view is None:
            return None
        return Placement(self.engines.get(view.name), view, len(views))

    def choose_backup_engine(self, call, state, excluded=frozenset()):
        """Return the engine for a backup of a run's KV memory, or None.

        Parameters
        ----------
        call : RoutedCall
            The call.
        state : EngineState
            Engine of the run.
        excluded : set of str
            Other engines that may not keep the backup.
        """
        engine_settings = self._get_engine_settings(call.service)
        if engine_settings is None or not engine_settings.supports_backups:
            return None
        # Engines of another version can't use the copy.
        version = state.entry.version
        views = self._list_views(call.service, {state.name, *excluded}, version)
        needed_tokens = call.metadata.prompt.memory_tokens
        view = choose_backup_engine(views, state.entry.availability_zone, needed_tokens)
        return self.engines.get(view.name) if view else None

    def measure_load(self, service):
        """Return the total load of a service's usable engines.

        Returns
        -------
        ServiceLoad
        """
        views = self._list_views(service, ())
        return ServiceLoad(
            sum(view.memory_tokens for view in views), self.get_memory_tokens(service)
        )

    def get_memory_tokens(self, service):
        """Return the KV memory of a service's engines, in tokens; 0 if unknown."""
        engine_settings = self._get_engine_settings(service)
        return engine_settings.memory_tokens if engine_settings else 0

    def get_backup_ttl_s(self, service):
        """Return how long an engine keeps a KV copy of a run, in seconds."""
        return self._get_engine_settings(service).backup_ttl_s

    def _select_versions(self, call, views):
        """Return the engines that a call may go to, by the rollout of its service."""
        if self._rollouts is None:
            return views
        return self._rollouts.select_engines(call.service, views, call.rollout_draw)

    def choose_plain_call_engine(self, call, excluded):
        """Return the engine for a call with an unstreamed response, or None."""
        views = self._list_views(call.service, excluded)
        views = exclude_outliers(self._select_versions(call, views))
        views = prefer_direct_engines(views)
        view = choose_plain_call_engine(views, self._zone)
        return self.engines.get(view.name) if view else None

    def has_unlimited_engine(self, service, excluded, version=None):
        """Return whether an engine that states no limit may get a call.

        Parameters
        ----------
        service : str
            Name of the service.
        excluded : set of str
            Engines that the call has already been sent to.
        version : str or None
            Software version that the engine must have; None for any.
        """
        return any(
            not view.is_limited for view in self._list_views(service, excluded, version)
        )

    def has_version(self, service, version, excluded):
        """Return whether a service has an engine of a software version.

        An engine that is marked down counts, a draining one doesn't.
        """
        return any(
            state.entry.service == service
            and state.entry.version == version
            and state.name not in excluded
            and not state.is_removed
            and not state.is_draining
            for state in self.engines.list_all()
        )

    def is_usable(self, state):
        """Return whether an engine is known and may get new work."""
        return state is not None and self.engines.is_usable(state)

    def is_alive(self, state):
        """Return whether an engine is known and up, although it may rest."""
        return state is not None and self.engines.is_alive(state)

    def get_event_tokens(self, service):
        """Return the number of tokens in one event of a service's streams."""
        settings = self._get_engine_settings(service)
        return settings.event_tokens if settings else 1

    def _get_engine_settings(self, service):
        """Return the engine settings of a service, or None if it has no engines."""
        service_settings = self._routing.current.services.get(service)
        return service_settings.engine if service_settings else None

    def _list_views(self, service, excluded, version=None):
        capacity = self.get_memory_tokens(service)
        now_s = self._clock.monotonic()
        engines = self.engines
        is_service_brittle = engines.get_service_tolerance(service) is not None
        return [
            make_view(
                state,
                capacity,
                now_s,
                state.refusal_tolerance is not None
                or (is_service_brittle and not state.has_answered),
                self._paces.measure_slowness(state) if self._paces else 1.0,
            )
            for state in engines.list_usable(service)
            if state.name not in excluded and version in (None, state.entry.version)
        ]

    def record_outcome(self, state, has_failed):
        """Record whether an engine failed a call."""
        state.health.record_call(has_failed, self._clock.monotonic())

    def report_unreachable(self, state, failure):
        """Mark an engine down because a connection to it failed."""
        logger.bind(engine=state.name, cause=repr(failure)).info("engine unreachable")
        cause = "refused" if failure.refused else "unreachable"
        self.engines.mark_down(state, cause, is_silent=not failure.refused)
        for notify in self.on_unreachable:
            notify(state)


def make_view(state, capacity_tokens, now_s, is_brittle=False, slowness=1.0):
    """Return an engine's load and health as input for placement decisions."""
    local, remote = state.local_load, state.remote_load
    turn_wait_s = None
    if is_brittle:
        turn_wait_s = max(0.0, state.next_slot_s - now_s)
    if state.limit_per_s is not None:
        turn_wait_s = max(0.0, state.next_turn_s - now_s, turn_wait_s or 0.0)
    return EngineView(
        name=state.name,
        availability_zone=state.entry.availability_zone,
        slots=state.entry.slots,
        prompt_tokens=local.prompt_tokens + remote.prompt_tokens,
        runs=local.runs + remote.runs,
        memory_tokens=local.memory_tokens + remote.memory_tokens,
        copy_tokens=local.copy_tokens + remote.copy_tokens,
        capacity_tokens=capacity_tokens,
        failure_share=state.health.measure(now_s),
        version=state.entry.version,
        turn_wait_s=turn_wait_s,
        is_brittle=is_brittle,
        is_relayed=state.is_relayed,
        needs_trial=now_s - state.answered_s > LIMIT_TRIAL_INTERVAL_S,
        slowness=slowness,
    )
