"""Admission of calls and selection of an upstream for each service."""

import asyncio
import math

from expression import Error, Ok
from mode import Service

from sapphirerock.decisions.balancer import BALANCERS
from sapphirerock.decisions.fairqueue import FairQueue, Ticket
from sapphirerock.request.problem import OVERLOADED, UNAVAILABLE, Problem
from sapphirerock.request.recovery import RECOVERY_POLICIES

QUEUE_CHECK_INTERVAL_S = 0.1
# Calls that an upstream may queue, as a share of its slots, so that no slot stays idle
# until the next load report.
QUEUED_CALLS_SHARE = 1 / 8
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 60


class ServiceQueue:
    """Queue and balancer of one service."""

    __slots__ = ("settings", "queue", "balancer")

    def __init__(self, settings, balancer):
        self.settings = settings
        self.queue = FairQueue()
        self.balancer = balancer


class UpstreamCriteria:
    """Criteria by which an upstream is chosen for a call.

    Parameters
    ----------
    service : ServiceSettings
        Service that the call is for.
    model : str or None
        Model that the upstream must have loaded.
    affinity : str
        Text that calls with a common prefix share.
    fingerprint : bytes
        Identifies the request in the quarantine.

    Attributes
    ----------
    excluded : set of str
        Upstreams that must not get the call.
    """

    __slots__ = ("service", "model", "affinity", "fingerprint", "excluded")

    def __init__(self, service, model=None, affinity="", fingerprint=b""):
        self.service = service
        self.model = model
        self.affinity = affinity
        self.fingerprint = fingerprint
        self.excluded = set()


class Dispatcher(Service):
    """Admits calls to services and chooses their upstreams.

    Each service has one queue and one balancer on this host.

    Parameters
    ----------
    upstreams : UpstreamTable
        Upstreams and their load.
    quarantine : Quarantine
        Suspect requests.
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
        self._criteria = {}
        upstreams.subscribe(self.admit_waiting)

    def _get_queue(self, service):
        service_queue = self._queues.get(service.name)
        if service_queue is None or service_queue.settings.balancer != service.balancer:
            balancer = BALANCERS[service.balancer](self._upstreams, self._random)
            previous = service_queue
            service_queue = self._queues[service.name] = ServiceQueue(service, balancer)
            if previous is not None:
                service_queue.queue = previous.queue
        service_queue.settings = service
        return service_queue

    def choose(self, criteria, needs_slot=False):
        """Return an upstream for a call, or None.

        Parameters
        ----------
        criteria : UpstreamCriteria
            The call's criteria.
        needs_slot : bool
            Whether to consider only upstreams with a free slot.
        """
        service = criteria.service
        states = self._upstreams.list_usable(service, criteria.model, criteria.excluded)
        policy = RECOVERY_POLICIES[service.recovery]
        states = policy.filter_upstreams(states, self._upstreams.measure_distance)
        states = self._separate_suspects(states, criteria.fingerprint)
        if needs_slot:
            states = [state for state in states if has_slot(state)]
        if not states:
            return None
        return self._get_queue(service).balancer.choose(states, criteria.affinity)

    def _separate_suspects(self, states, fingerprint):
        """Return the upstreams on which a request stays apart from suspect requests.

        After one crash, a suspect request goes where the fewest others run. After two
        crashes, it goes only where no other runs. An upstream reserved for such a
        request gets no other suspect request, and gets other requests only if there
        is no other upstream.
        """
        shared = [
            state for state in states if not self._is_reserved(state, fingerprint)
        ]
        if not self._quarantine.is_suspect(fingerprint):
            return shared or states
        if self._quarantine.must_run_alone(fingerprint):
            return [state for state in shared if not state.suspects - {fingerprint}]
        fewest = min((len(state.suspects) for state in shared), default=0)
        return [state for state in shared if len(state.suspects) == fewest]

    def _is_reserved(self, state, fingerprint):
        """Return whether an upstream runs another request as its only suspect."""
        return any(
            self._quarantine.must_run_alone(other)
            for other in state.suspects - {fingerprint}
        )

    async def admit(self, criteria, organisation, priority, cost, deadline_s):
        """Wait until a call is admitted to an upstream or refused.

        The call is already counted as running on the upstream that is returned.

        Parameters
        ----------
        criteria : UpstreamCriteria
            The call's criteria.
        organisation : Organisation
            Organisation of the caller.
        priority : int
            Waiting calls with a higher priority are admitted first.
        cost : float
            Work that the fair queue charges to the organisation, such as the
            most tokens that the call may generate.
        deadline_s : float
            Monotonic time of the call's deadline.

        Returns
        -------
        expression.Result of UpstreamState or Problem
        """
        service_queue = self._get_queue(criteria.service)
        if not self._upstreams.list_usable(criteria.service, criteria.model):
            return Error(self._refuse(UNAVAILABLE, "no upstream", MIN_RETRY_AFTER_S))
        if not len(service_queue.queue):
            state = self.choose(criteria, needs_slot=True)
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
        service_queue.queue.push(ticket)
        self._criteria[ticket] = criteria
        self._refuse_late(service_queue)
        return await self._wait_for_admission(service_queue, ticket)

    async def _wait_for_admission(self, service_queue, ticket):
        try:
            async with asyncio.timeout(ticket.deadline_s - self._clock.monotonic()):
                return await asyncio.shield(ticket.admitted)
        except TimeoutError:
            return Error(self._refuse_overloaded(service_queue, ticket))
        finally:
            service_queue.queue.remove(ticket)
            self._criteria.pop(ticket, None)

    def admit_waiting(self):
        """Admit waiting calls while there are free slots."""
        for service_queue in self._queues.values():
            while len(service_queue.queue):
                if not self._admit_next(service_queue):
                    break
            self._refuse_late(service_queue)

    def _admit_next(self, service_queue):
        """Admit the first of the next eight waiting calls that fits an upstream.

        Returns
        -------
        bool
            Whether a call was admitted.
        """
        for ticket in service_queue.queue.list_waiting()[:8]:
            state = self.choose(self._criteria[ticket], needs_slot=True)
            if state is None:
                continue
            service_queue.queue.pop_ticket(ticket)
            if not ticket.admitted.done():
                self._upstreams.begin_call(state)
                ticket.admitted.set_result(Ok(state))
            return True
        return False

    def _refuse_late(self, service_queue):
        """Refuse waiting calls that would start after their deadline."""
        waiting = service_queue.queue.list_waiting()
        if not waiting:
            return
        start_interval_s = self._estimate_start_interval(service_queue)
        now_s = self._clock.monotonic()
        for ahead, ticket in enumerate(waiting):
            if now_s + (ahead + 1) * start_interval_s > ticket.deadline_s:
                service_queue.queue.remove(ticket)
                if not ticket.admitted.done():
                    ticket.admitted.set_result(
                        Error(self._refuse_overloaded(service_queue, ticket))
                    )

    def _estimate_start_interval(self, service_queue):
        """Return the mean time between two starts, in seconds, with all slots busy."""
        states = self._upstreams.list_usable(service_queue.settings)
        slots = sum(state.capacity for state in states)
        if not slots:
            return 0.0
        duration_s = sum(state.duration_s for state in states) / len(states)
        return duration_s / slots

    def _refuse_overloaded(self, service_queue, ticket):
        wait_s = (len(service_queue.queue) + 1) * self._estimate_start_interval(
            service_queue
        )
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
    async def _admit_waiting_periodically(self):
        while not self.should_stop:
            await self._clock.sleep(QUEUE_CHECK_INTERVAL_S)
            self.admit_waiting()


def has_slot(state):
    """Return whether an upstream may get one more call, to run or to queue there."""
    return state.free_slots > -QUEUED_CALLS_SHARE * state.capacity
