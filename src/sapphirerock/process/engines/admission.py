"""Where generations wait for room at the engines."""

import asyncio

from expression import Error, Ok
from loguru import logger
from mode import Service

from sapphirerock.decisions.admission import AdmissionView, Verdict, admit
from sapphirerock.decisions.fairqueue import FairQueue, Ticket
from sapphirerock.decisions.refusal import choose_retry_after
from sapphirerock.request.problem import OVERLOADED, UNAVAILABLE, Problem

# A fraction of the time between two ends of runs on a few engines.
PUMP_INTERVAL_S = 0.05
# Part of the target latency that a call may wait while there is no engine.
OUTAGE_HOLD_SHARE = 0.25
# Part of the target latency within which a call must start to be on time; the rest
# goes to reading its prompt.
START_SHARE = 0.5


class AdmissionQueue(Service):
    """Queues of all services with model engines on this host.

    Parameters
    ----------
    fleet : Fleet
        Chooses engines.
    stream_length : StreamLength
        Typical time of a stream.
    count_hosts : callable
        Returns the number of hosts that share the engines.
    generator : random.Random
        Spreads returns of callers.
    clock : Clock
        Source of time.
    """

    def __init__(self, fleet, stream_length, count_hosts, generator, clock, **kwargs):
        super().__init__(**kwargs)
        self._fleet = fleet
        self._stream_length = stream_length
        self._count_hosts = count_hosts
        self._generator = generator
        self._clock = clock
        self._queues = {}
        self._calls = {}

    async def admit(self, call):
        """Wait for a turn and an engine.

        Returns
        -------
        expression.Result of Placement or Problem
        """
        queue = self._queues.setdefault(call.service, FairQueue())
        started_s = self._clock.monotonic()
        if not len(queue):
            admission, placement = self._decide(call, 0, started_s)
            if admission.verdict is Verdict.START:
                return Ok(placement)
            if admission.verdict is Verdict.REFUSE:
                return Error(self._refuse(call, admission))
        ticket = Ticket(
            call.organisation or "",
            1,
            -call.priority,
            max(1, call.terms.prompt.memory_tokens),
            call.limit_s,
            asyncio.get_running_loop().create_future(),
            started_s + START_SHARE * call.route.target_latency_s,
        )
        queue.push(ticket)
        self._calls[ticket] = (call, started_s)
        try:
            return await ticket.admitted
        finally:
            queue.remove(ticket)
            del self._calls[ticket]

    def pump(self):
        """Admit those who wait, in their order, as long as there is room."""
        for queue in self._queues.values():
            ahead_tokens = 0
            for ticket in queue.list_waiting(self._clock.monotonic()):
                call, started_s = self._calls[ticket]
                admission, placement = self._decide(call, ahead_tokens, started_s)
                ahead_tokens += call.terms.prompt.memory_tokens
                if admission.verdict is Verdict.WAIT or ticket.admitted.done():
                    continue
                queue.pop_ticket(ticket)
                if admission.verdict is Verdict.REFUSE:
                    ticket.admitted.set_result(Error(self._refuse(call, admission)))
                    continue
                waited_s = round(self._clock.monotonic() - started_s, 3)
                logger.bind(request=call.terms.attempt_id, waited_s=waited_s).info(
                    "admitted"
                )
                ticket.admitted.set_result(Ok(placement))
                # What was just admitted is counted once its attempt begins.
                return

    @Service.task
    async def _pump_regularly(self):
        while not self.should_stop:
            await self._clock.sleep(PUMP_INTERVAL_S)
            self.pump()

    def _decide(self, call, ahead_tokens, started_s):
        """Return the admission of a call, and its placement if it starts."""
        placement = self._fleet.place(call, ())
        now_s = self._clock.monotonic()
        load = self._fleet.measure_load(call.service)
        run_s = self._stream_length.seconds
        admission = admit(
            AdmissionView(
                needed_tokens=call.terms.prompt.memory_tokens,
                free_tokens=placement.view.free_tokens if placement else None,
                capacity_tokens=load.capacity_tokens,
                ahead_tokens=ahead_tokens,
                freed_tokens_per_s=load.memory_tokens / run_s / self._count_hosts(),
                time_left_s=call.limit_s - now_s,
                run_s=run_s,
                waited_s=now_s - started_s,
                outage_hold_s=OUTAGE_HOLD_SHARE * call.route.target_latency_s,
            )
        )
        return admission, placement

    def _refuse(self, call, admission):
        retry_after_s = choose_retry_after(admission.wait_s, self._generator)
        kind = UNAVAILABLE if admission.wait_s is None else OVERLOADED
        logger.bind(
            request=call.terms.attempt_id,
            reason=admission.reason,
            wait_s=admission.wait_s,
            retry_after_s=retry_after_s,
        ).info("refused")
        return Problem(kind, admission.reason, retry_after_s)
