"""Queues of generations that wait for free memory on the engines."""

import asyncio

from expression import Error, Ok
from loguru import logger
from mode import Service

from sapphirerock.decisions.admission import (
    Admission,
    AdmissionView,
    Verdict,
    decide_admission,
)
from sapphirerock.decisions.fairqueue import FairQueue, Ticket
from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.decisions.silence import choose_silence_wait
from sapphirerock.request.problem import (
    OVERLOADED,
    UNAVAILABLE,
    Problem,
    make_shutdown_problem,
)

# Short against the time between the ends of two runs on a few engines, at which
# memory becomes free.
QUEUE_CHECK_INTERVAL_S = 0.05
# Share of the target latency that a call may wait while there is no engine.
MAX_OUTAGE_WAIT_SHARE = 0.25
# Share of the target latency within which a call must start to be on time; the rest is
# spent on the prefill of its prompt.
START_TARGET_SHARE = 0.5
SHUTTING_DOWN = Admission(Verdict.REFUSE, "shutting down")


class AdmissionQueue(Service):
    """This host's admission queues, one for each service with model engines.

    Parameters
    ----------
    fleet : Fleet
        Chooses engines.
    stream_durations : StreamDurations
        Typical duration of a stream.
    shutdown : Shutdown
        The shutdown of this process, before which calls must end.
    count_hosts : callable
        Returns the number of hosts that share the engines.
    generator : random.Random
        Spreads the times at which refused callers retry.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        fleet,
        stream_durations,
        shutdown,
        count_hosts,
        generator,
        clock,
        **kwargs,
    ):
        super().__init__(**kwargs)
        self._fleet = fleet
        self._stream_durations = stream_durations
        self._shutdown = shutdown
        self._count_hosts = count_hosts
        self._generator = generator
        self._clock = clock
        self._queues = {}
        self._calls = {}
        self._has_waiting = asyncio.Event()

    async def admit(self, call):
        """Wait until a call is admitted or refused.

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
            max(1, call.metadata.prompt.memory_tokens),
            call.response_deadline_s,
            asyncio.get_running_loop().create_future(),
            started_s + START_TARGET_SHARE * call.route.target_latency_s,
        )
        queue.push(ticket)
        self._calls[ticket] = (call, started_s)
        self._has_waiting.set()
        try:
            return await ticket.admitted
        finally:
            queue.remove(ticket)
            del self._calls[ticket]

    def admit_waiting(self):
        """Admit the first waiting call that fits.

        Calls before it that cannot be served in time are refused.
        """
        for queue in self._queues.values():
            queued_ahead_tokens = 0
            for ticket in queue.list_waiting(self._clock.monotonic()):
                call, started_s = self._calls[ticket]
                admission, placement = self._decide(
                    call, queued_ahead_tokens, started_s
                )
                queued_ahead_tokens += call.metadata.prompt.memory_tokens
                if admission.verdict is Verdict.WAIT or ticket.admitted.done():
                    continue
                queue.pop_ticket(ticket)
                if admission.verdict is Verdict.REFUSE:
                    ticket.admitted.set_result(Error(self._refuse(call, admission)))
                    continue
                waited_s = round(self._clock.monotonic() - started_s, 3)
                logger.bind(request=call.metadata.attempt_id, waited_s=waited_s).info(
                    "queued call admitted"
                )
                ticket.admitted.set_result(Ok(placement))
                # The admitted call adds to the engine's load only when its attempt
                # begins, so the next decision waits for that.
                return

    @Service.task
    async def _admit_waiting_periodically(self):
        while not self.should_stop:
            if not self._calls:
                self._has_waiting.clear()
            await self._has_waiting.wait()
            await self._clock.sleep(QUEUE_CHECK_INTERVAL_S)
            self.admit_waiting()

    def _decide(self, call, queued_ahead_tokens, started_s):
        """Return the admission decision for a call, and its placement or None."""
        if not self._shutdown.can_take(call.route, call.response_deadline_s):
            return SHUTTING_DOWN, None
        placement = self._fleet.place(call, ())
        now_s = self._clock.monotonic()
        load = self._fleet.measure_load(call.service)
        run_s = self._stream_durations.typical_s
        admission = decide_admission(
            AdmissionView(
                needed_tokens=call.metadata.prompt.memory_tokens,
                free_tokens=placement.view.free_tokens if placement else None,
                capacity_tokens=load.capacity_tokens,
                queued_ahead_tokens=queued_ahead_tokens,
                freed_tokens_per_s=load.memory_tokens / run_s / self._count_hosts(),
                remaining_s=call.response_deadline_s - now_s,
                run_s=run_s,
                waited_s=now_s - started_s,
                rest_s=self._fleet.engines.measure_service_rest_s(call.service),
                max_outage_wait_s=(
                    0.0 if placement else self._choose_max_outage_wait(call, started_s)
                ),
            )
        )
        return admission, placement

    def _choose_max_outage_wait(self, call, started_s):
        """Return how long a call may wait while no engine is usable, in seconds."""
        max_wait_s = MAX_OUTAGE_WAIT_SHARE * call.route.target_latency_s
        if self._fleet.engines.await_silent_engine(call.service):
            remaining_s = call.response_deadline_s - started_s
            max_wait_s = max(max_wait_s, choose_silence_wait(remaining_s))
        return max_wait_s

    def _refuse(self, call, admission):
        if admission is SHUTTING_DOWN:
            problem = make_shutdown_problem()
        else:
            retry_after_s = choose_retry_after(admission.wait_s, self._generator)
            kind = UNAVAILABLE if admission.wait_s is None else OVERLOADED
            problem = Problem(kind, admission.reason, retry_after_s)
        logger.bind(
            request=call.metadata.attempt_id,
            reason=admission.reason,
            wait_s=admission.wait_s,
            retry_after_s=problem.retry_after_s,
        ).info("call refused by admission queue")
        return problem
