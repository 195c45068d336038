"""The engines as calls meet them: chosen, reported lost, given up."""

from dataclasses import dataclass

from loguru import logger

from sapphirerock.decisions.health import leave_out_failing
from sapphirerock.decisions.placement import EngineView, choose_backup, choose_plain


@dataclass(slots=True, frozen=True)
class Placement:
    """Where a generation is to run.

    Parameters
    ----------
    state : EngineState
        The engine.
    view : EngineView
        What was known of it.
    candidates : int
        Engines that could be chosen.
    """

    state: object
    view: EngineView
    candidates: int


@dataclass(slots=True, frozen=True)
class ServiceLoad:
    """Load of all engines of a service together.

    Parameters
    ----------
    memory_tokens : int
        Tokens that all runs will occupy.
    capacity_tokens : int
        Tokens that the memory of one engine holds; 0 where that is not known.
    """

    memory_tokens: int
    capacity_tokens: int


class Fleet:
    """All engines, for the calls of this host.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    routing : RoutingStore
        The configuration in force.
    policy : PlacementPolicy
        Ranks engines for generations.
    availability_zone : str
        Zone of this host.
    clock : Clock
        Source of time.
    """

    __slots__ = ("engines", "_routing", "_policy", "_zone", "_clock")

    def __init__(self, engines, routing, policy, availability_zone, clock):
        self.engines = engines
        self._routing = routing
        self._policy = policy
        self._zone = availability_zone
        self._clock = clock

    def place(self, call, excluded, isolate=None):
        """Choose an engine for a generation.

        Parameters
        ----------
        call : RoutedCall
            The call.
        excluded : set of str
            Engines that it has been sent to.
        isolate : callable or None
            Chooses among views for a call that may crash engines; returns None
            for any other.

        Returns
        -------
        Placement or None
        """
        views = self._list_views(call.service, excluded)
        view = isolate(call, views) if isolate else None
        if view is None:
            views = leave_out_failing(views)
            view = self._policy.choose(views, call.terms.prompt)
        if view is None:
            return None
        return Placement(self.engines.get(view.name), view, len(views))

    def choose_backup(self, call, state):
        """Return the engine that is to keep a copy of a run's memory, or None."""
        terms = self._get_terms(call.service)
        if terms is None or not terms.has_backups:
            return None
        views = self._list_views(call.service, {state.name})
        needed = call.terms.prompt.memory_tokens
        view = choose_backup(views, state.entry.availability_zone, needed)
        return self.engines.get(view.name) if view else None

    def measure_load(self, service):
        """Return the load of a service's engines.

        Returns
        -------
        ServiceLoad
        """
        views = self._list_views(service, ())
        terms = self._get_terms(service)
        return ServiceLoad(
            sum(view.memory_tokens for view in views),
            terms.memory_tokens if terms else 0,
        )

    def get_copy_life_s(self, service):
        """Return how long an engine keeps a copy of a run, in seconds."""
        return self._get_terms(service).copy_life_s

    def choose_plain(self, service, excluded):
        """Return the engine for a call that is answered whole, or None."""
        views = leave_out_failing(self._list_views(service, excluded))
        view = choose_plain(views, self._zone)
        return self.engines.get(view.name) if view else None

    def is_usable(self, state):
        """Return whether an engine may get work."""
        return state is not None and self.engines.is_usable(state)

    def _get_terms(self, service):
        """Return what a service's model engines have in common, or None."""
        terms = self._routing.current.services.get(service)
        return terms.engine if terms else None

    def _list_views(self, service, excluded):
        terms = self._get_terms(service)
        capacity = terms.memory_tokens if terms else 0
        now_s = self._clock.monotonic()
        return [
            make_view(state, capacity, now_s)
            for state in self.engines.list_usable(service)
            if state.name not in excluded
        ]

    def note_outcome(self, state, has_failed):
        """Count a call that an engine answered, or failed."""
        state.health.note(has_failed, self._clock.monotonic())

    def report_unreachable(self, state, failure):
        """Take note that an engine could not be connected to."""
        logger.bind(engine=state.name, cause=repr(failure)).info("engine unreachable")
        self.engines.mark_down(state, "refused" if failure.refused else "unreachable")


def make_view(state, capacity_tokens, now_s):
    """Return what decisions get to know of an engine."""
    own, others = state.own, state.others
    return EngineView(
        name=state.name,
        availability_zone=state.entry.availability_zone,
        slots=state.entry.slots,
        prompt_tokens=own.prompt_tokens + others.prompt_tokens,
        runs=own.runs + others.runs,
        memory_tokens=own.memory_tokens + others.memory_tokens,
        copy_tokens=own.copy_tokens + others.copy_tokens,
        capacity_tokens=capacity_tokens,
        failure_share=state.health.measure(now_s),
    )
