"""Rollouts: where the calls of a service go, and what the store is told of it.

Operators order that a service's traffic moves to another version. Each host sends its
calls by the newest state that it knows, and tells all others how both versions have
responded. One host a service, found as other duties are, writes the state.
"""

from functools import partial

from loguru import logger
from mode import Service

from sapphirerock.decisions.duties import pick_for_duty
from sapphirerock.decisions.rollout import (
    WARM_UP_S,
    RolloutState,
    RouteEvidence,
    Tally,
    UsualTime,
    choose_exposed_share,
    has_settled,
    judge_rollout,
    select_engines,
)
from sapphirerock.platform.names import ROLLOUTS_KIND
from sapphirerock.platform.rollouts import decode_rollout, encode_rollout_status
from sapphirerock.process.peers.gossip import RolloutEvidenceUpdate

CHECK_INTERVAL_S = 0.25
# Evidence is sent again after this time, for hosts that have started meanwhile.
FULL_UPDATE_INTERVAL_S = 3.0
# Routes whose usual response time is kept.
MAX_ROUTES = 5_000
MS_PER_S = 1000.0


class Rollout:
    """One order, and the evidence that this host knows.

    Parameters
    ----------
    order : RolloutOrder
        The order, with the newest known state.
    revision : int
        Revision of its object in the store.
    started_s : float
        Monotonic time of the order, as far as known.

    Attributes
    ----------
    rejection : Verdict or None
        Verdict against the new version, which stands; None while there is none.
    has_news : bool
        Whether the evidence of this host has changed since it was sent.
    sent_s : float
        Monotonic time at which it was sent.
    is_state_lost : bool
        Whether the store has come back without the state at which the rollout ended.
    """

    __slots__ = (
        "order",
        "revision",
        "started_s",
        "rejection",
        "has_news",
        "sent_s",
        "first_new_s",
        "ended_s",
        "is_state_lost",
        "own_evidence",
        "other_evidence",
    )

    def __init__(self, order, revision, started_s):
        self.order = order
        self.revision = revision
        self.started_s = self.sent_s = started_s
        self.rejection = None
        self.has_news = False
        # Time of the first call to the new version, and of the end.
        self.first_new_s = None
        self.ended_s = started_s
        self.is_state_lost = False
        self.own_evidence = {}
        # Evidence by host, replaced by each of its updates.
        self.other_evidence = {}

    def sum_evidence(self):
        """Return the evidence of all hosts by route."""
        total = {}
        for evidence in (self.own_evidence, *self.other_evidence.values()):
            for name, route in evidence.items():
                found = total.setdefault(name, RouteEvidence(Tally(), Tally()))
                found.new.add(route.new)
                found.old.add(route.old)
        return total


class RolloutTable(Service):
    """Keeps the rollouts of all services, and judges them.

    Parameters
    ----------
    hosts : HostTable
        Known hosts, one of which writes the state of a rollout.
    gossip : Gossip
        Exchanges evidence.
    store : StoreClient
        The store.
    exposed_share : float
        Share of a service's calls that a bad version may get.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts responses.
    """

    def __init__(self, hosts, gossip, store, exposed_share, clock, metrics, **kwargs):
        super().__init__(**kwargs)
        self._hosts = hosts
        self._gossip = gossip
        self._store = store
        self._exposed_share = exposed_share
        self._clock = clock
        self._metrics = metrics
        self._rollouts = {}
        self._usual_times = {}
        gossip.subscribe(RolloutEvidenceUpdate, self._apply_evidence)

    def apply_changes(self, changes):
        """Apply changed orders and states; a state that has ended is never left."""
        for change in changes:
            if change.is_deletion:
                self._rollouts.pop(change.name, None)
                continue
            decoded = decode_rollout(change.name, change.spec)
            if decoded.is_error():
                logger.bind(order=change.name, cause=str(decoded.error)).error(
                    "order of rollout ignored"
                )
                continue
            self._apply_order(decoded.ok, change.revision)

    def _apply_order(self, order, revision):
        known = self._rollouts.get(order.service)
        if known is None or known.order.target != order.target:
            now_s = self._clock.monotonic()
            self._rollouts[order.service] = Rollout(order, revision, now_s)
        elif known.order.has_ended and not order.has_ended:
            # A store that was restored from a copy shows what came before.
            known.revision, known.is_state_lost = revision, True
            return
        else:
            if order.has_ended and not known.order.has_ended:
                known.ended_s = self._clock.monotonic()
            known.order, known.revision = order, revision
            known.is_state_lost = False
        logger.bind(
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            state=order.state.value if order.state else None,
        ).info("rollout order or state changed")

    def select_engines(self, service, views, draw):
        """Return the engines of a service that a call may go to.

        Parameters
        ----------
        views : list of EngineView
            Usable engines of the service.
        draw : float
            Random number of the call, from 0 to 1.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return views
        order = rollout.order
        ended_s_ago = self._clock.monotonic() - rollout.ended_s
        if order.has_ended and has_settled(order.state, ended_s_ago):
            return views
        share = choose_exposed_share(
            order,
            self._measure_age_s(rollout),
            self._exposed_share,
            rollout.rejection is not None,
        )
        return select_engines(views, order.target, share, draw)

    def record_response(self, call, state, has_failed, time_s):
        """Count a response of an engine.

        Parameters
        ----------
        call : RoutedCall
            The call.
        state : EngineState
            The engine.
        has_failed : bool
            Whether the engine responded with a failure of its own.
        time_s : float
            Time until the response or its first event, in seconds.
        """
        name = call.route.name
        usual = self._find_usual_time(name)
        rollout = self._rollouts.get(call.service)
        is_running = rollout is not None and not rollout.order.has_ended
        is_new = is_running and state.entry.version == rollout.order.target
        is_slow = not has_failed and usual.is_slow(time_s)
        if not has_failed and not is_new:
            usual.record(time_s)
        if not is_running:
            return
        if is_new:
            now_s = self._clock.monotonic()
            rollout.first_new_s = rollout.first_new_s or now_s
            is_slow = is_slow and now_s - rollout.first_new_s > WARM_UP_S
        evidence = rollout.own_evidence.setdefault(
            name, RouteEvidence(Tally(), Tally())
        )
        tally = evidence.new if is_new else evidence.old
        is_bad = has_failed or is_slow
        tally.add(Tally(1, int(is_bad)))
        self._metrics.rollout_responses.labels(
            "new" if is_new else "old", "bad" if is_bad else "good"
        ).inc()
        # What only the old version has done shows nothing yet.
        rollout.has_news |= is_new

    def _find_usual_time(self, route_name):
        """Return the usual response time of a route, a new one at its first call."""
        if len(self._usual_times) >= MAX_ROUTES:
            # Most are of routes that later configurations dropped.
            self._usual_times.clear()
        return self._usual_times.setdefault(route_name, UsualTime())

    def _measure_age_s(self, rollout):
        return self._clock.monotonic() - rollout.started_s

    def _apply_evidence(self, update):
        rollout = self._rollouts.get(update.service)
        if rollout is None or rollout.order.target != update.target:
            return
        if update.host == self._hosts.own_address.host:
            return
        started_s = self._clock.monotonic() - update.age_ms / MS_PER_S
        rollout.started_s = min(rollout.started_s, started_s)
        rollout.other_evidence[update.host] = {
            name: RouteEvidence(Tally(new, new_bad), Tally(old, old_bad))
            for name, new, new_bad, old, old_bad in update.rows
        }

    @Service.task
    async def _judge_periodically(self):
        while not self.should_stop:
            await self._clock.sleep(CHECK_INTERVAL_S)
            await self.judge_all()

    async def judge_all(self):
        """Send the evidence of this host, and judge rollouts that have not ended."""
        for rollout in list(self._rollouts.values()):
            order = rollout.order
            if not order.has_ended:
                self._send_evidence(rollout)
                await self._judge(rollout)
            elif rollout.is_state_lost and self._has_duty(order):
                await self._write_state(rollout, order.state)

    def _send_evidence(self, rollout):
        now_s = self._clock.monotonic()
        is_due = now_s - rollout.sent_s > FULL_UPDATE_INTERVAL_S
        if not rollout.own_evidence or not (rollout.has_news or is_due):
            return
        rollout.has_news, rollout.sent_s = False, now_s
        rows = [
            [name, route.new.responses, route.new.bad, route.old.responses]
            + [route.old.bad]
            for name, route in rollout.own_evidence.items()
        ]
        self._gossip.broadcast(
            RolloutEvidenceUpdate(
                self._hosts.own_address.host,
                rollout.order.service,
                rollout.order.target,
                int(self._measure_age_s(rollout) * MS_PER_S),
                rows,
            )
        )

    async def _judge(self, rollout):
        """Judge a rollout; write its state if that is the duty of this host."""
        evidence = rollout.sum_evidence()
        age_s = self._measure_age_s(rollout)
        verdict = rollout.rejection
        if verdict is None:
            verdict = judge_rollout(rollout.order, evidence, age_s)
            if verdict.state is RolloutState.ROLLED_BACK:
                rollout.rejection = verdict
                self._log_verdict(rollout, verdict, evidence, "new version rejected")
        if verdict.state is rollout.order.state or not self._has_duty(rollout.order):
            return
        if await self._write_state(rollout, verdict.state):
            self._log_verdict(rollout, verdict, evidence, "state of rollout written")

    async def _write_state(self, rollout, state):
        """Write the state of a rollout unless its object has changed meanwhile.

        Returns
        -------
        bool
            Whether it was written. It is tried again at the next interval otherwise.
        """
        service, target = rollout.order.service, rollout.order.target
        written = await self._store.replace_status(
            ROLLOUTS_KIND,
            service,
            encode_rollout_status(target, state),
            rollout.revision,
        )
        if written.is_error():
            logger.bind(service=service, cause=repr(written.error)).info(
                "state of rollout not written"
            )
            return False
        item = written.ok
        decoded = decode_rollout(item.name, item.content)
        decoded.map(partial(self._apply_order, revision=item.revision))
        return True

    def _log_verdict(self, rollout, verdict, evidence, event):
        logger.bind(
            service=rollout.order.service,
            target=rollout.order.target,
            state=verdict.state.value,
            reason=verdict.reason,
            after_s=round(self._measure_age_s(rollout), 2),
            responses=sum(route.new.responses for route in evidence.values()),
            bad=sum(route.new.bad for route in evidence.values()),
        ).info(event)

    def _has_duty(self, order):
        """Return whether this host writes the state of a rollout."""
        own_host = self._hosts.own_address.host
        names = [own_host, *(address.host for address in self._hosts.list_live())]
        classes = self._hosts.list_capacity_classes()
        return pick_for_duty(names, f"rollout {order.service}", classes) == own_host
