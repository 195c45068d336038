"""Paths from this host to engines: directly, or through a peer that relays.

An engine that this host can't reach may be reachable for other hosts. Before it counts
as down, peers are asked to relay a probe. If one of them reaches it, its calls go
through peers until this host reaches it again.
"""

import asyncio
from dataclasses import dataclass

from loguru import logger
from mode import Service

from sapphirerock.connection.relay import make_relay_session
from sapphirerock.decisions.relays import RelayCandidate, rank_relays
from sapphirerock.process.engines.prober import EngineProber, ProbeOutcome, ProbeResult
from sapphirerock.process.tasks import BackgroundTasks

# Three round trips between regions, and a busy relay and engine.
RELAYED_PROBE_TIMEOUT_S = 0.4
DIRECT_PROBE_TIMEOUT_S = 0.25
# Peers that relay a probe at the same time. If a cut affects several hosts, it is
# unlikely that all of these are among them.
CONFIRMING_PEERS = 3
# Peers that are asked in turn to relay a call or a probe. Most may be cut off as well,
# and refuse at once.
MAX_RELAYS_ASKED = 6
# Peers among them that may leave the question unanswered.
MAX_SILENT_RELAYS = 2
# Probes of an engine that asked this host for rest. It may get two requests in a rest;
# the other is left to a call that was under way.
MAX_PROBES_IN_REST = 1
# Interval at which one engine that is reached through peers is probed directly.
RECHECK_INTERVAL_S = 0.5
# An engine counts as used by this host for this time after a call or an answer.
USED_ENGINE_S = 5.0
# Peers are asked about one engine at most this often.
CHECK_INTERVAL_S = 1.0
MAX_CHECKED_ENGINES = 1_000
# After a path was lost, the paths to all other engines are checked once in this time.
CHECK_ALL_INTERVAL_S = 2.0


@dataclass(slots=True, frozen=True)
class EnginePath:
    """A way to send requests to an engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Opens the connections.
    relay : str or None
        Name of the peer that relays them; None for direct connections.
    """

    session: object
    relay: str | None = None


class EnginePaths(Service, EngineProber):
    """Paths from this host to all engines, and probes on them.

    Parameters
    ----------
    engines : EngineTable
        Registered engines.
    hosts : HostTable
        Peers that may relay.
    session : aiohttp.ClientSession
        Direct connections to engines.
    dialect : EngineDialect
        Protocol of the engines.
    generator : random.Random
        Spreads relayed connections over peers.
    clock : Clock
        Source of time.
    metrics : EdgeMetrics
        Counts engines that are reached through peers.
    """

    def __init__(
        self, engines, hosts, session, dialect, generator, clock, metrics, **kwargs
    ):
        Service.__init__(self, **kwargs)
        EngineProber.__init__(self, session, dialect, clock)
        self._engines = engines
        self._hosts = hosts
        self._generator = generator
        self._relay_sessions = {}
        self._relay_failed_at_s = {}
        self._checked_at_s = {}
        self._checked_all_at_s = -CHECK_ALL_INTERVAL_S
        self._tasks = BackgroundTasks()
        self._metrics = metrics
        metrics.relayed_engines.set_function(lambda: len(self._list_relayed()))

    async def on_stop(self):
        """Cancel checks and close the sessions with peers."""
        self._tasks.cancel()
        for _, session in self._relay_sessions.values():
            await session.close()

    def list_paths(self, state):
        """Return the paths to an engine, in the order in which to try them.

        Returns
        -------
        list of EnginePath
        """
        if not state.is_relayed:
            return [EnginePath(self._session)]
        return self._list_relayed_paths()[:MAX_RELAYS_ASKED]

    def report_relay(self, path, is_available, has_replied=True):
        """Record whether a peer relayed a connection.

        If it did not even reply, the attempts that it relays are told of its silence.
        """
        if path.relay is None:
            return
        if not is_available and not has_replied:
            self._report_silence(path.relay)
        self._metrics.relayed_attempts.labels(
            "opened" if is_available else "refused"
        ).inc()
        if is_available:
            self._relay_failed_at_s.pop(path.relay, None)
        else:
            self._relay_failed_at_s[path.relay] = self._clock.monotonic()

    def _report_silence(self, relay):
        for state in self._engines.list_all():
            for attempt in list(state.attempts):
                if attempt.relay == relay:
                    attempt.report_silence(is_relay=True)

    def _list_relayed_paths(self):
        own_address, now_s = self._hosts.own_address, self._clock.monotonic()
        addresses = {address.host: address for address in self._hosts.list_live()}
        candidates = []
        for address in addresses.values():
            failed_at_s = self._relay_failed_at_s.get(address.host)
            candidates.append(
                RelayCandidate(
                    address.host,
                    address.availability_zone,
                    address.region,
                    None if failed_at_s is None else now_s - failed_at_s,
                )
            )
        ranked = rank_relays(
            candidates,
            own_address.availability_zone,
            own_address.region,
            self._generator,
        )
        return [
            EnginePath(self._get_relay_session(addresses[host]), host)
            for host in ranked
        ]

    def _get_relay_session(self, address):
        known_address, session = self._relay_sessions.get(address.host, (None, None))
        if known_address != address:
            if session is not None:
                self._tasks.spawn(session.close())
            session = make_relay_session(self._hosts.own_address.address, address)
            self._relay_sessions[address.host] = (address, session)
        return session

    def _list_relayed(self):
        return [state for state in self._engines.list_all() if state.is_relayed]

    def _is_relayed(self, entry):
        state = self._engines.get(entry.name)
        is_same_run = state is not None and state.entry.born_ms == entry.born_ms
        return is_same_run and state.is_relayed

    async def probe(self, entry, timeout_s):
        """Probe an engine on the path that this host's calls to it take."""
        if not self._is_relayed(entry):
            return await self._probe_directly(entry, timeout_s)
        in_use = {attempt.relay for attempt in self._engines.get(entry.name).attempts}
        paths = self._list_relayed_paths()
        paths.sort(key=lambda path: path.relay not in in_use)
        result = ProbeResult(ProbeOutcome.NO_ANSWER, "no peer to relay")
        silent_relays = 0
        for path in paths[:MAX_RELAYS_ASKED]:
            result = await self._probe_through(path, entry)
            if result.outcome is not ProbeOutcome.RELAY_FAILED:
                return result
            silent_relays += not result.is_answered
            if silent_relays >= MAX_SILENT_RELAYS:
                break
        # A peer that relays nothing shows nothing about the engine. One that replies
        # may relay calls soon.
        has_replied = result.is_answered
        outcome = ProbeOutcome.RESTING if has_replied else ProbeOutcome.RELAY_FAILED
        return ProbeResult(outcome, result.detail)

    async def _probe_directly(self, entry, timeout_s):
        """Probe an engine directly, but only once while it wants no requests."""
        state = self._engines.get(entry.name)
        if state is not None and self._engines.measure_rest_s(state):
            if state.rest_probes >= MAX_PROBES_IN_REST:
                return ProbeResult(ProbeOutcome.RESTING, "engine asked for rest")
            state.rest_probes += 1
        return await super().probe(entry, timeout_s)

    async def _probe_through(self, path, entry):
        result = await self._probe(path.session, entry, RELAYED_PROBE_TIMEOUT_S)
        is_available = result.outcome is not ProbeOutcome.RELAY_FAILED
        self.report_relay(path, is_available, has_replied=result.is_answered)
        return result

    async def confirm(self, entry, result):
        """Return the result of a probe after peers have been asked to relay another.

        The outcome is ``PATH_LOST`` if a peer reaches the engine. Until this host
        reaches it again, its calls go through peers.
        """
        if result.is_answered or result.outcome not in (
            ProbeOutcome.ENDED,
            ProbeOutcome.NO_ANSWER,
        ):
            return result
        asked_s = self._clock.monotonic()
        found = await self._ask_peers(entry)
        state = self._engines.get(entry.name)
        if found is None or state is None or state.entry.born_ms != entry.born_ms:
            return result
        if not state.is_relayed and state.heard_s >= asked_s:
            # The engine was silent for a moment, and so was not reached.
            return ProbeResult(ProbeOutcome.RUNNING, "answered meanwhile", True)
        if found.outcome is ProbeOutcome.ENDED:
            return found
        self._engines.lift_down(state)
        self._set_relayed(state, True, "engine path lost", result.detail)
        self._check_all_soon(state)
        return ProbeResult(
            ProbeOutcome.PATH_LOST, result.detail, shows_start=found.shows_start
        )

    async def _ask_peers(self, entry):
        """Return the first answer of an engine that a peer relays, or None."""
        paths = self._select_confirming_paths()
        probes = [
            asyncio.ensure_future(self._probe_through(path, entry)) for path in paths
        ]
        try:
            for finished in asyncio.as_completed(probes):
                result = await finished
                has_failed = result.outcome is ProbeOutcome.RELAY_FAILED
                if result.is_answered and not has_failed:
                    return result
        finally:
            for task in probes:
                task.cancel()
        return None

    def _select_confirming_paths(self):
        """Return paths through peers, one of each zone first.

        The hosts of one zone may be cut off together.
        """
        first_of_zone, others, zones = [], [], set()
        for path in self._list_relayed_paths():
            zone = self._hosts.find(path.relay).availability_zone
            (others if zone in zones else first_of_zone).append(path)
            zones.add(zone)
        return (first_of_zone + others)[:CONFIRMING_PEERS]

    def _set_relayed(self, state, is_relayed, event, cause):
        if state.is_relayed == is_relayed:
            return
        state.is_relayed = is_relayed
        logger.bind(
            engine=state.name,
            cause=cause,
            attempts=len(state.attempts),
            relayed_engines=len(self._list_relayed()),
        ).warning(event)

    def check(self, state):
        """Find out in the background whether peers reach an engine.

        Engines that this host does not use are not checked, nor those that were a
        moment ago: a peer that can't connect for this host checks them as well.
        """
        now_s = self._clock.monotonic()
        is_used = now_s - state.last_received_s <= USED_ENGINE_S
        checked_s = self._checked_at_s.get(state.name, -CHECK_INTERVAL_S)
        if not is_used or now_s - checked_s < CHECK_INTERVAL_S:
            return
        if len(self._checked_at_s) >= MAX_CHECKED_ENGINES:
            self._checked_at_s.clear()
        self._checked_at_s[state.name] = now_s
        self._tasks.spawn(self._check(state))

    async def _check(self, state):
        unreachable = ProbeResult(ProbeOutcome.NO_ANSWER, "connection failed")
        await self.confirm(state.entry, unreachable)

    def _check_all_soon(self, found_state):
        """Check the direct paths to all other engines, since one was lost."""
        now_s = self._clock.monotonic()
        if now_s - self._checked_all_at_s < CHECK_ALL_INTERVAL_S:
            return
        self._checked_all_at_s = now_s
        for state in self._engines.list_all():
            if state is not found_state and not state.is_relayed:
                self._tasks.spawn(
                    self.probe_and_confirm(state.entry, DIRECT_PROBE_TIMEOUT_S)
                )

    @Service.task
    async def _recheck_direct_paths(self):
        """Probe engines that are reached through peers directly, one at a time.

        When one answers, the others are probed at once.
        """
        position = 0
        while not self.should_stop:
            await self._clock.sleep(RECHECK_INTERVAL_S)
            relayed = self._list_relayed()
            if not relayed:
                continue
            position += 1
            state = relayed[position % len(relayed)]
            if await self._recheck(state):
                for other in relayed:
                    if other is not state:
                        self._tasks.spawn(self._recheck(other))

    async def _recheck(self, state):
        """Use direct connections again if the engine answers on one.

        Returns
        -------
        bool
            Whether the engine answered.
        """
        result = await self._probe_directly(state.entry, DIRECT_PROBE_TIMEOUT_S)
        if result.outcome is not ProbeOutcome.RUNNING:
            return False
        self._set_relayed(state, False, "engine path restored", result.detail)
        return True
