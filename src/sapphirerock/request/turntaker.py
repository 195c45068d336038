"""Turns and slots that a call takes at limited and at brittle engines."""

from loguru import logger

from sapphirerock.decisions.retryafter import choose_retry_after
from sapphirerock.decisions.slots import EngineRoom
from sapphirerock.decisions.turns import Turn
from sapphirerock.process.engines.limits import OWNER_RETRY_S, TURN_TIMEOUT_S
from sapphirerock.request.problem import OVERLOADED, Problem

# A call may end this much later than its deadline.
SLOT_HOLD_SLACK_S = 0.5
# Time that an owner of turns has to reply to a call for which another owner was silent.
# A round trip between regions, and a busy owner.
NEXT_OWNER_TIMEOUT_S = 0.1
# Silent owners for which one call waits. Several hosts may stand still together.
MAX_SILENT_OWNERS = 3


class TurnTaker:
    """Takes a turn and a slot for one attempt at a call.

    Parameters
    ----------
    runtime : EdgeRuntime
        Services of the process.
    call : RoutedCall
        The call.

    Attributes
    ----------
    engines_without_turn : set of str
        Engines that had no turn or no slot for the call.
    engines_without_answer : set of str
        Engines that did not answer a probe.
    """

    __slots__ = (
        "engines_without_turn",
        "engines_without_answer",
        "_runtime",
        "_call",
        "_waits_s",
        "_silent_owners",
        "_slot",
        "_slot_waits_end_s",
    )

    def __init__(self, runtime, call):
        self.engines_without_turn = set()
        self.engines_without_answer = set()
        self._runtime = runtime
        self._call = call
        self._waits_s = []
        self._silent_owners = 0
        self._slot = None
        # Monotonic time until which the call may wait for slots.
        self._slot_waits_end_s = 0.0

    async def take(self, state, max_wait_s):
        """Take what a call needs at an engine and wait for it; return whether it could.

        A limited engine needs a turn, and a brittle one a slot.
        """
        if not await self._take_slot(state, max_wait_s):
            return False
        if not await self.take_turn(state, max_wait_s):
            self.release()
            return False
        if not self._runtime.fleet.is_usable(state):
            # The engine asked for rest, drains or went down during the wait.
            self._record_wait(state, self._runtime.fleet.engines.measure_rest_s(state))
            self.release()
            return False
        return True

    async def take_turn(self, state, max_wait_s):
        """Take a turn at an engine and wait for it; return whether there was one.

        An engine without a limit needs no turn.
        """
        if state.limit_per_s is None:
            return True
        turn = await self._ask_for_turn(state, max_wait_s)
        logger.bind(
            request=self._call.metadata.attempt_id,
            engine=state.name,
            limit_per_s=state.limit_per_s,
            granted=turn.is_granted,
            wait_s=round(turn.wait_s, 3),
            max_wait_s=round(max_wait_s, 3),
        ).info("turn at limited engine")
        if not turn.is_granted:
            self._record_wait(state, turn.wait_s)
            return False
        if turn.wait_s:
            await self._runtime.clock.sleep(turn.wait_s)
        return True

    async def _ask_for_turn(self, state, max_wait_s):
        """Ask the owner of an engine's turns, unless too many owners were silent."""
        if self._silent_owners >= MAX_SILENT_OWNERS:
            return Turn(False, OWNER_RETRY_S, OWNER_RETRY_S, has_owner=False)
        timeout_s = NEXT_OWNER_TIMEOUT_S if self._silent_owners else TURN_TIMEOUT_S
        limits = self._runtime.engine_limits
        turn = await limits.take_turn(state, max_wait_s, timeout_s)
        self._silent_owners += not turn.has_owner
        return turn

    async def _take_slot(self, state, max_wait_s):
        """Lease a slot of a brittle engine; return whether the call may be sent.

        Waits at several engines, one after the other, together take no longer than the
        first may.
        """
        runtime, call = self._runtime, self._call
        tolerance = runtime.fleet.engines.get_refusal_tolerance(state)
        if tolerance is None:
            return True
        memory_tokens = call.metadata.prompt.memory_tokens
        room = EngineRoom(
            state.entry.slots,
            runtime.fleet.get_memory_tokens(call.service) if memory_tokens else 0,
            tolerance,
        )
        started_s = runtime.clock.monotonic()
        if not self.engines_without_turn:
            self._slot_waits_end_s = started_s + max_wait_s
        max_wait_s = min(max_wait_s, max(0.0, self._slot_waits_end_s - started_s))
        hold_s = call.response_deadline_s - started_s + SLOT_HOLD_SLACK_S
        leased = await runtime.engine_slots.take(
            state, room, memory_tokens, hold_s, max_wait_s
        )
        is_granted = not isinstance(leased, float)
        logger.bind(
            request=call.metadata.attempt_id,
            engine=state.name,
            tolerance=tolerance,
            granted=is_granted,
            waited_s=round(runtime.clock.monotonic() - started_s, 3),
            max_wait_s=round(max_wait_s, 3),
        ).info("slot at brittle engine")
        if is_granted:
            self._slot = leased
        else:
            self._record_wait(state, leased)
        return is_granted

    def _record_wait(self, state, wait_s):
        self.engines_without_turn.add(state.name)
        self._waits_s.append(wait_s)

    def pop_slot(self):
        """Return the slot that was taken, which the caller releases; None if none."""
        slot, self._slot = self._slot, None
        return slot

    def release(self):
        """Release the slot that was taken, unless it has been handed on."""
        slot = self.pop_slot()
        if slot is not None:
            slot.release()

    def make_problem(self):
        """Return the refusal of a call for which no engine had a turn."""
        retry_after_s = choose_retry_after(min(self._waits_s), self._runtime.generator)
        detail = "all engines are at their request limits"
        logger.bind(
            request=self._call.metadata.attempt_id,
            engines=len(self._waits_s),
            retry_after_s=retry_after_s,
        ).info("call refused by engine limits")
        return Problem(OVERLOADED, detail, retry_after_s)
