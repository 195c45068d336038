"""What engines state of themselves in their responses, told to all hosts.

A statement of one run of an engine holds for all hosts, until a later response to a
later request no longer has it. A final statement holds until the run ends.
"""

from dataclasses import dataclass

from loguru import logger

from sapphirerock.connection.messages import EngineStatements
from sapphirerock.process.peers.gossip import EngineStatementUpdate

VIEW = "engine-statements"
# Value of a statement that an engine no longer makes.
ENDED = -1.0
# For this time after a response to this host had a statement, other hosts can't end it:
# what they saw may be older.
END_GUARD_S = 1.0
STATEMENTS = {}
FINAL_STATEMENTS = set()


def register_statement(name, attribute, is_final=False):
    """Register a statement under its name in messages between hosts.

    Parameters
    ----------
    attribute : str
        Attribute of `ResponseHead` and of `EngineState` that holds the value; None if
        the engine does not state it.
    is_final : bool
        Whether a statement that was made once holds until the engine ends.
    """
    STATEMENTS[name] = attribute
    if is_final:
        FINAL_STATEMENTS.add(name)


register_statement("refusal-tolerance", "refusal_tolerance")
register_statement("leaving", "leaving", is_final=True)


@dataclass(slots=True)
class StatementTimes:
    """Monotonic times at which a statement last changed and was last made."""

    changed_s: float
    stated_s: float


class EngineStatementTable:
    """Records statements in the states of engines, and exchanges them with peers.

    Parameters
    ----------
    engines : EngineTable
        Registered engines, whose states hold the statements.
    peers : PeerTable
        Streams to the other hosts.
    gossip : Gossip
        Announces statements to all hosts.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_engines", "_peers", "_gossip", "_clock")

    def __init__(self, engines, peers, gossip, clock):
        self._engines = engines
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        gossip.subscribe(EngineStatementUpdate, self._apply_update)
        peers.register_handler(EngineStatements, self._handle_statements)
        peers.announce_support(VIEW, self._send_statements)

    def record_response(self, state, head, sent_s):
        """Record what the response to a request that was sent at ``sent_s`` states."""
        if head.is_other_engine:
            return
        now_s = self._clock.monotonic()
        for name, attribute in STATEMENTS.items():
            value = getattr(head, attribute)
            times = state.statement_times.get(name)
            if value is not None and times is not None:
                times.stated_s = now_s
            if value == getattr(state, attribute):
                continue
            if value is None and name in FINAL_STATEMENTS:
                continue
            if value is None and times is not None and sent_s <= times.changed_s:
                # Responses overtake each other: this one may be older.
                continue
            self._set(state, name, value, "response", now_s)
            update = EngineStatementUpdate(
                state.name, state.entry.born_ms, name, ENDED if value is None else value
            )
            self._gossip.broadcast(update)

    def _set(self, state, name, value, source, stated_s):
        attribute = STATEMENTS[name]
        logger.bind(
            engine=state.name,
            statement=name,
            value=value,
            before=getattr(state, attribute),
            source=source,
        ).info("engine statement changed")
        setattr(state, attribute, value)
        if name in FINAL_STATEMENTS:
            self._engines.keep_statement(state, attribute, value)
        state.statement_times[name] = StatementTimes(self._clock.monotonic(), stated_s)

    def _apply_update(self, update):
        """Apply what another host has observed."""
        self._apply(update.engine, update.born_ms, update.name, update.value, "gossip")

    def _apply(self, engine, born_ms, name, value, source):
        state = self._engines.get(engine)
        if state is None or state.entry.born_ms != born_ms or name not in STATEMENTS:
            return
        value = None if value < 0 else value
        if value is None and name in FINAL_STATEMENTS:
            return
        if value == getattr(state, STATEMENTS[name]):
            return
        times = state.statement_times.get(name)
        now_s = self._clock.monotonic()
        if value is None and times and now_s - times.stated_s < END_GUARD_S:
            return
        stated_s = times.stated_s if times else -END_GUARD_S
        self._set(state, name, value, source, stated_s)

    def _send_statements(self, stream):
        """Send the known statements to a host that has just connected."""
        statements = [
            [state.name, state.entry.born_ms, name, getattr(state, attribute)]
            for state in self._engines.list_all()
            for name, attribute in STATEMENTS.items()
            if getattr(state, attribute) is not None
        ]
        if statements:
            size = stream.send(EngineStatements(statements))
            self._peers.count_bytes(stream, "engine-statement", size)

    def _handle_statements(self, stream, message):
        for engine, born_ms, name, value in message.statements:
            self._apply(engine, born_ms, name, value, stream.host)
