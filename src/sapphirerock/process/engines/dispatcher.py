"""Admission and choice of an upstream for each service."""

import asyncio
import math

from expression import Error, Ok
from mode import Service

from sapphirerock.decisions.balancer import BALANCERS
from sapphirerock.decisions.fairqueue import FairQueue, Ticket
from sapphirerock.request.problem import OVERLOADED, UNAVAILABLE, Problem
from sapphirerock.request.recovery import POLICIES

PUMP_INTERVAL_S = 0.1
# Calls that an upstream may queue beyond its slots, so that none stands idle
# until the next report.
QUEUE_ALLOWANCE = 1 / 8
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 60


class ServiceQueue:
    """What one service needs between requests."""

    __slots__ = ("settings", "queue", "balancer")

    def __init__(self, settings, balancer):
        self.settings = settings
        self.queue = FairQueue()
        self.balancer = balancer


class ChoiceRequest:
    """What is known of a call when its upstream is chosen.

    Parameters
    ----------
    service : ServiceSettings
        Service that it goes to.
    model : str or None
        Model that the upstream must hold.
    affinity : str
        Text that calls with a common prefix share.
    fingerprint : bytes
        Names the request in the quarantine.
    excluded : set of str
        Upstreams that it must not go to.
    """

    __slots__ = ("service", "model", "affinity", "fingerprint", "excluded")

    def __init__(self, service, model=None, affinity="", fingerprint=b""):
        self.service = service
        self.model = model
        self.affinity = affinity
        self.fingerprint = fingerprint
        self.excluded = set()


class Dispatcher(Service):
    """Queues of all services on this host.

    Parameters
    ----------
    upstreams : UpstreamTable
        Upstreams and their load.
    quarantine : Quarantine
        Requests that are suspects.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts refusals.
    random : random.Random
        Source of random numbers.
    """

    def __init__(self, upstreams, quarantine, clock, metrics, random, **kwargs):
        super().__init__(**kwargs)
        self._upstreams = upstreams
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics
        self._random = random
        self._queues = {}
        self._choices = {}
        upstreams.subscribe(self.pump)

    def _find_queue(self, service):
        found = self._queues.get(service.name)
        if found is None or found.settings.balancer != service.balancer:
            balancer = BALANCERS[service.balancer](self._upstreams, self._random)
            previous = found
            found = self._queues[service.name] = ServiceQueue(service, balancer)
            if previous is not None:
                found.queue = previous.queue
        found.settings = service
        return found

    def choose(self, choice, needs_slot=False):
        """Return an upstream for a call, or None.

        Parameters
        ----------
        choice : ChoiceRequest
            The call.
        needs_slot : bool
            Whether only upstreams with a free slot count.
        """
        service = choice.service
        states = self._upstreams.list_usable(service, choice.model, choice.excluded)
        policy = POLICIES[service.recovery]
        states = policy.select_states(states, self._upstreams.measure_distance)
        states = self._isolate(states, choice.fingerprint)
        if needs_slot:
            states = [state for state in states if has_slot(state)]
        if not states:
            return None
        return self._find_queue(service).balancer.choose(states, choice.affinity)

    def _isolate(self, states, fingerprint):
        """Keep suspects apart: one alone after two crashes, else few together.

        Where a request runs as the only suspect no other suspect may go, and
        anybody else goes only if there is no other upstream.
        """
        shared = [
            state for state in states if not self._is_reserved(state, fingerprint)
        ]
        if not self._quarantine.is_suspect(fingerprint):
            return shared or states
        if self._quarantine.needs_exclusion(fingerprint):
            return [state for state in shared if not state.suspects - {fingerprint}]
        fewest = min((len(state.suspects) for state in shared), default=0)
        return [state for state in shared if len(state.suspects) == fewest]

    def _is_reserved(self, state, fingerprint):
        """Return whether another request runs there as the only suspect."""
        return any(
            self._quarantine.needs_exclusion(other)
            for other in state.suspects - {fingerprint}
        )

    async def admit(self, choice, organisation, priority, cost, deadline_s):
        """Wait for a turn and an upstream.

        The call counts as begun on the upstream that is returned.

        Parameters
        ----------
        choice : ChoiceRequest
            The call.
        organisation : Organisation
            Whose it is.
        priority : int
            Higher goes first.
        cost : float
            Work that it is counted as.
        deadline_s : float
            Monotonic time after which nobody wants it.

        Returns
        -------
        expression.Result of UpstreamState or Problem
        """
        found = self._find_queue(choice.service)
        if not self._upstreams.list_usable(choice.service, choice.model):
            return Error(self._refuse(UNAVAILABLE, "no upstream", MIN_RETRY_AFTER_S))
        if not len(found.queue):
            state = self.choose(choice, needs_slot=True)
            if state is not None:
                self._upstreams.begin_call(state)
                return Ok(state)
        ticket = Ticket(
            organisation.name,
            organisation.weight,
            priority,
            cost,
            deadline_s,
            asyncio.get_running_loop().create_future(),
        )
        found.queue.push(ticket)
        self._choices[ticket] = choice
        self._refuse_late(found)
        return await self._wait_turn(found, ticket)

    async def _wait_turn(self, found, ticket):
        try:
            async with asyncio.timeout(ticket.deadline_s - self._clock.monotonic()):
                return await asyncio.shield(ticket.admitted)
        except TimeoutError:
            return Error(self._make_overload(found, ticket))
        finally:
            found.queue.remove(ticket)
            self._choices.pop(ticket, None)

    def pump(self):
        """Admit those who wait as long as there are free slots."""
        for found in self._queues.values():
            while len(found.queue):
                if not self._admit_next(found):
                    break
            self._refuse_late(found)

    def _admit_next(self, found):
        """Admit the first who can be; return whether there was one."""
        for ticket in found.queue.list_waiting()[:8]:
            state = self.choose(self._choices[ticket], needs_slot=True)
            if state is None:
                continue
            found.queue.pop_ticket(ticket)
            if not ticket.admitted.done():
                self._upstreams.begin_call(state)
                ticket.admitted.set_result(Ok(state))
            return True
        return False

    def _refuse_late(self, found):
        """Refuse at once whoever would be too late."""
        waiting = found.queue.list_waiting()
        if not waiting:
            return
        turn_s = self._estimate_turn(found)
        now_s = self._clock.monotonic()
        for ahead, ticket in enumerate(waiting):
            if now_s + (ahead + 1) * turn_s > ticket.deadline_s:
                found.queue.remove(ticket)
                if not ticket.admitted.done():
                    ticket.admitted.set_result(
                        Error(self._make_overload(found, ticket))
                    )

    def _estimate_turn(self, found):
        """Return the time between two starts when all slots are taken."""
        states = self._upstreams.list_usable(found.settings)
        slots = sum(state.capacity for state in states)
        if not slots:
            return 0.0
        duration_s = sum(state.duration_s for state in states) / len(states)
        return duration_s / slots

    def _make_overload(self, found, ticket):
        wait_s = (len(found.queue) + 1) * self._estimate_turn(found)
        retry_after_s = math.ceil(wait_s)
        return self._refuse(
            OVERLOADED,
            f"about {wait_s:.1f} s until a slot is free",
            min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)),
        )

    def _refuse(self, kind, detail, retry_after_s):
        self._metrics.refusals.labels(kind.name).inc()
        return Problem(kind, detail, retry_after_s)

    @Service.task
    async def _pump_regularly(self):
        while not self.should_stop:
            await self._clock.sleep(PUMP_INTERVAL_S)
            self.pump()


def has_slot(state):
    """Return whether an upstream can take one more call."""
    return state.free_slots > -QUEUE_ALLOWANCE * state.capacity
