"""The holder's side of the journal: tokens of generations that other hosts drive."""

from array import array
from dataclasses import dataclass

from sapphirerock.connection.messages import JournalAck, JournalRecordMessage

FINISHED_RETENTION_S = 60.0
IDLE_RETENTION_S = 180.0
# Type code of token ids in `array.array`: unsigned int.
TOKEN_TYPE = "I"


@dataclass(slots=True)
class JournalRecord:
    """A holder's record of one generation.

    Parameters
    ----------
    body_digest : bytes
        Digest of the request's body.
    history : list of [str, int]
        Each driver's branch and the offset that it started from.
    tokens : array of unsigned int
        All tokens in order.
    upstream, incarnation : str
        The engine that last ran the generation.
    finish_reason : str
        Empty while the generation runs.
    last_used_s : float
        Monotonic time of the last use.
    """

    organisation: str
    key: str
    body_digest: bytes
    generation_id: str
    history: list
    tokens: array
    upstream: str = ""
    incarnation: str = ""
    finish_reason: str = ""
    last_used_s: float = 0.0

    @property
    def branch(self):
        """Branch of the driver that may append."""
        return self.history[-1][0]

    def to_message(self, found):
        """Return the record as a message to a peer."""
        return JournalRecordMessage(
            found,
            self.generation_id,
            self.body_digest,
            [list(item) for item in self.history],
            self.tokens.tobytes(),
            self.upstream,
            self.incarnation,
            self.finish_reason,
        )


def unpack_tokens(data):
    """Return the array of tokens in the bytes of a message."""
    tokens = array(TOKEN_TYPE)
    tokens.frombytes(data)
    return tokens


def is_resumable(history, branch, offset):
    """Return whether a caller may resume after an offset seen from a branch.

    Tokens of a branch at or after the offset where a later branch started are no
    longer part of the generation.

    Parameters
    ----------
    history : list of [str, int]
        Each driver's branch and the offset that it started from.
    branch : str
        Branch of the last event that the caller received.
    offset : int
        Offset of the last token that the caller has.
    """
    for position, (name, _) in enumerate(history):
        if name == branch:
            following = history[position + 1 :]
            return all(offset < start for _, start in following)
    return False


class JournalStore:
    """Journal records that this host holds for other hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_by_key", "_by_id", "_clock")

    def __init__(self, clock):
        self._by_key = {}
        self._by_id = {}
        self._clock = clock

    def __len__(self):
        return len(self._by_id)

    def find(self, organisation, key):
        """Return the record of a key, or None."""
        return self._by_key.get((organisation, key))

    def open(self, request):
        """Create a record, or pass an existing one to a new driver.

        A record with another body is returned unchanged, since the caller used one
        key for two requests.
        """
        record = self._by_key.get((request.organisation, request.key))
        if record is None:
            record = JournalRecord(
                request.organisation,
                request.key,
                request.body_digest,
                request.generation_id,
                [[request.branch, 0]],
                array(TOKEN_TYPE),
            )
            self.put_record(record)
            return record.to_message(found=False)
        if record.body_digest == request.body_digest:
            self._change_driver(record, request.branch)
        return record.to_message(found=True)

    def _change_driver(self, record, branch):
        record.last_used_s = self._clock.monotonic()
        if record.branch != branch and not record.finish_reason:
            record.history.append([branch, len(record.tokens)])

    def put_record(self, record):
        """Store a record and replace an older one of the same key."""
        previous = self._by_key.get((record.organisation, record.key))
        if previous is not None:
            self._by_id.pop(previous.generation_id, None)
        record.last_used_s = self._clock.monotonic()
        self._by_key[(record.organisation, record.key)] = record
        self._by_id[record.generation_id] = record

    def backfill(self, message):
        """Store a whole generation from its driver, unless it is superseded."""
        current = self._by_id.get(message.generation_id)
        if current is not None and not extends_history(current, message.history):
            return JournalAck([message.generation_id], [])
        self.put_record(
            JournalRecord(
                message.organisation,
                message.key,
                message.body_digest,
                message.generation_id,
                [list(item) for item in message.history],
                unpack_tokens(message.tokens),
                message.upstream,
                message.incarnation,
                message.finish_reason,
            )
        )
        return JournalAck([], [])

    def append(self, message):
        """Append tokens of several generations.

        The acknowledgement lists the generations whose driver is superseded, and those
        that are unknown here or lack earlier tokens.
        """
        acknowledgement = JournalAck([], [])
        for entry in message.entries:
            self._append_entry(entry, acknowledgement)
        return acknowledgement

    def _append_entry(self, entry, acknowledgement):
        generation_id, branch, offset, tokens, upstream, incarnation, finish = entry
        record = self._by_id.get(generation_id)
        if record is None or offset > len(record.tokens):
            acknowledgement.unknown.append(generation_id)
            return
        if record.branch != branch:
            acknowledgement.superseded.append(generation_id)
            return
        overlap = len(record.tokens) - offset
        record.tokens.extend(unpack_tokens(tokens)[overlap:])
        if upstream:
            record.upstream = upstream
            record.incarnation = incarnation
        record.finish_reason = finish
        record.last_used_s = self._clock.monotonic()

    def close(self, message):
        """Remove generations that callers no longer need."""
        for generation_id in message.generation_ids:
            self._remove(generation_id)

    def prune(self):
        """Remove records that were finished or idle for too long."""
        now_s = self._clock.monotonic()
        for record in list(self._by_id.values()):
            retention_s = (
                FINISHED_RETENTION_S if record.finish_reason else IDLE_RETENTION_S
            )
            if now_s - record.last_used_s > retention_s:
                self._remove(record.generation_id)

    def _remove(self, generation_id):
        record = self._by_id.pop(generation_id, None)
        if record is not None:
            self._by_key.pop((record.organisation, record.key), None)


def extends_history(record, history):
    """Return whether a driver's history starts with the whole history of a record."""
    return [list(item) for item in record.history] == [
        list(item) for item in history[: len(record.history)]
    ]
