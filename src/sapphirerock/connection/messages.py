"""Message types that peers exchange, encoded with msgpack.

A frame is the array ``[code, correlation, fields...]``. The correlation id is 0 for
a message without a reply, a positive number for a request, and the negative of
that number for its reply.

The driver of a generation is the host that runs it for a caller, and its holder is a
peer that stores a copy of its journal. The hubs of a zone are the hosts that exchange
messages with other zones on behalf of the zone's other hosts.
"""

from dataclasses import dataclass, fields

import msgpack

MESSAGE_TYPES = {}
FRAME_LIMIT_BYTES = 8 << 20


def register_message(code):
    """Register a message type under the code that identifies it in frames."""

    def register(cls):
        MESSAGE_TYPES[code] = cls
        cls.code = code
        cls.field_names = tuple(field.name for field in fields(cls))
        return cls

    return register


class Message:
    """Base class of all messages between peers.

    Attributes
    ----------
    code : int
        Number of the type in frames.
    field_names : tuple of str
        Names of the fields in the order of the frame.
    """

    __slots__ = ()
    code = 0
    field_names = ()

    def to_fields(self):
        """Return the values of the fields in the order of the frame."""
        return [getattr(self, name) for name in self.field_names]


@register_message(1)
@dataclass(slots=True)
class Hello(Message):
    """First message of both ends: the sender's identity and a nonce to sign.

    Parameters
    ----------
    address : str
        IP address of the sender's ports.
    caller_port, peer_port : int
        Ports on which the sender accepts callers and peers.
    incarnation : int
        Number of the sender's process; a later process has a higher one.
    nonce : bytes
        Random bytes, new for each handshake.
    """

    host: str
    availability_zone: str
    region: str
    address: str
    caller_port: int
    peer_port: int
    incarnation: int
    nonce: bytes


@register_message(2)
@dataclass(slots=True)
class Proof(Message):
    """Second message of both ends: an HMAC that proves knowledge of the shared key."""

    signature: bytes


@register_message(3)
@dataclass(slots=True)
class Heartbeat(Message):
    """Heartbeat with views of the sender's replicated state.

    Parameters
    ----------
    leaving : bool
        Whether the sender is shutting down.
    views : list of [str, int, int, int, str]
        Kind of objects, highest revision that the sender's replica has applied,
        number of objects in it, milliseconds since a host was last in contact with
        the store, and the name of that host. For the crash log: its name, its digest,
        its size, 0 and an empty string. For the digests of the replicas: their name, a
        dict of digests by kind, and fields without a meaning. A host ignores kinds that
        it doesn't know.
    """

    leaving: bool
    views: list


@register_message(4)
@dataclass(slots=True)
class Refusal(Message):
    """Reply to a request that can't be fulfilled."""

    reason: str


@register_message(10)
@dataclass(slots=True)
class JournalOpen(Message):
    """Request that a holder create a generation's journal or return the existing one.

    The reply is a `JournalRecordMessage`.

    Parameters
    ----------
    organisation, key : str
        Organisation that owns the generation, and its idempotency key.
    body_digest : bytes
        Digest of the body of the caller's request.
    generation_id : str
        Id to use if the holder does not have the generation yet.
    branch : str
        Id of the driver that sends the request; each takeover has a new one.
    """

    organisation: str
    key: str
    body_digest: bytes
    generation_id: str
    branch: str


@register_message(11)
@dataclass(slots=True)
class JournalRecordMessage(Message):
    """A journal record as the holder has stored it.

    Parameters
    ----------
    found : bool
        Whether the holder had stored the generation before the request.
    history : list of [str, int]
        Branch of each driver, and the token offset at which it started.
    tokens : bytes
        All tokens, as little-endian 32-bit integers.
    upstream, incarnation : str
        Engine that last ran the generation; empty when unknown.
    finish_reason : str
        Empty until the generation is finished.
    """

    found: bool
    generation_id: str
    body_digest: bytes
    history: list
    tokens: bytes
    upstream: str
    incarnation: str
    finish_reason: str


@register_message(12)
@dataclass(slots=True)
class JournalFind(Message):
    """Read-only query for a generation that a peer holds or drives.

    The reply is a `JournalRecordMessage`.
    """

    organisation: str
    key: str


@register_message(13)
@dataclass(slots=True)
class JournalBackfill(Message):
    """Complete journal of a generation, sent to a new holder.

    The fields are those of `JournalRecordMessage`.
    """

    organisation: str
    key: str
    body_digest: bytes
    generation_id: str
    history: list
    tokens: bytes
    upstream: str
    incarnation: str
    finish_reason: str


@register_message(14)
@dataclass(slots=True)
class JournalAppend(Message):
    """Request that a holder append tokens to the journals of several generations.

    Parameters
    ----------
    entries : list of [str, str, int, bytes, str, str, str]
        Generation id, branch, offset of the first token, tokens, upstream,
        incarnation, finish reason. An empty upstream means that it has not changed.
    """

    entries: list


@register_message(15)
@dataclass(slots=True)
class JournalAck(Message):
    """Reply to `JournalAppend`.

    Parameters
    ----------
    superseded : list of str
        Ids of generations that another driver has taken over.
    unknown : list of str
        Ids of generations that the holder does not have.
    """

    superseded: list
    unknown: list


@register_message(16)
@dataclass(slots=True)
class JournalClose(Message):
    """Request that a holder delete generations that callers no longer need."""

    generation_ids: list


@register_message(22)
@dataclass(slots=True)
class ObjectDelta(Message):
    """All changes to the store's objects of a kind between two revisions.

    Parameters
    ----------
    after, horizon : int
        Revisions: the changes are those later than `after`, up to and including
        `horizon`. With an `after` of 0 the message is a part of the full list.
    changes : list of [str, int, object]
        Name, revision and content; the content is None for a deletion.
    all_names : list of str or None
        Names of all objects, in the last part of the full list only.
    """

    kind: str
    after: int
    horizon: int
    changes: list
    all_names: list | None


@register_message(23)
@dataclass(slots=True)
class ObjectPull(Message):
    """Request for the changes to a kind's objects after a revision."""

    kind: str
    after: int


@register_message(24)
@dataclass(slots=True)
class HostLoads(Message):
    """Load that the sender has placed on engines, sent to the hubs of its zone.

    Parameters
    ----------
    cells : list of [str, int, int, int, int]
        Engine, prompt tokens not yet processed, number of runs, tokens in KV
        memory, tokens of KV copies. The load of engines not listed is unchanged.
    """

    cells: list


@register_message(25)
@dataclass(slots=True)
class ZoneLoads(Message):
    """Load that all hosts of a zone have placed on engines, summed by its hub.

    Parameters
    ----------
    cells : list of [str, int, int, int, int]
        As in `HostLoads`.
    """

    availability_zone: str
    cells: list


@register_message(26)
@dataclass(slots=True)
class CrashLogPull(Message):
    """Request for the receiver's whole crash log, whose digest its heartbeat had."""


@register_message(27)
@dataclass(slots=True)
class CrashLogContent(Message):
    """A host's whole crash log; the fields are those of `CrashLogRecords`."""

    crashes: list
    blocked: list


@register_message(28)
@dataclass(slots=True)
class PackedMessage(Message):
    """Another message, compressed; see `sapphirerock.connection.packing`."""

    content: bytes


@register_message(30)
@dataclass(slots=True)
class GossipUpdate(Message):
    """An update that peers forward to every host in its scope.

    Parameters
    ----------
    topic : str
        Name of a registered topic.
    scope : str
        Availability zone to which the update is limited; empty for all hosts.
    origin : str
        Host that created the update.
    incarnation : int
        The origin's incarnation.
    number : int
        Sequence number of the update among those of the origin's incarnation.
    content : list
        Values of the fields of the topic's type.
    """

    topic: str
    scope: str
    origin: str
    incarnation: int
    number: int
    content: list


@dataclass(slots=True, frozen=True)
class LoadSample:
    """An upstream's load at one moment.

    Parameters
    ----------
    sampled_at : float
        Wall-clock time at the upstream, in seconds since the epoch. A newer sample
        replaces an older one.
    running, queued, capacity : int
        Calls that the upstream runs, calls in its queue, and calls that it can run
        concurrently.
    """

    upstream: str
    sampled_at: float
    running: int
    queued: int
    capacity: int

    def to_entry(self):
        """Return the fields in the order of a `LoadDigest` entry."""
        return [
            self.upstream,
            self.sampled_at,
            self.running,
            self.queued,
            self.capacity,
        ]


@register_message(31)
@dataclass(slots=True)
class LoadDigest(Message):
    """New load samples.

    Parameters
    ----------
    entries : list of [str, float, int, int, int]
        Values of the fields of `LoadSample`.
    """

    entries: list

    @classmethod
    def from_samples(cls, samples):
        """Return a digest with the given samples."""
        return cls([sample.to_entry() for sample in samples])

    def to_samples(self):
        """Return the samples of the digest."""
        return [LoadSample(*entry) for entry in self.entries]


@register_message(40)
@dataclass(slots=True)
class ClaimRequest(Message):
    """Request that the owner of a ledger bucket add an entry with its next write.

    Parameters
    ----------
    service : str
        Name of the service that is called.
    bucket : int
        Number of the bucket that the idempotency key hashes to.
    entry : list
        Fields of a `LedgerEntry`: a claim or an outcome.
    """

    service: str
    bucket: int
    entry: list


@register_message(41)
@dataclass(slots=True)
class ClaimReply(Message):
    """Reply to `ClaimRequest`.

    Parameters
    ----------
    entry : list
        Fields of the entry that is stored after the write; empty for none.
    """

    entry: list


@register_message(50)
@dataclass(slots=True)
class ShareRequest(Message):
    """Request for a share of an organisation's rate limit, sent to its owner.

    Parameters
    ----------
    organisation : str
        Organisation that the limit applies to.
    demand_per_s : float
        Recent rate of requests at the sender, per second.
    limit_per_s : float
        Limit of the organisation over all hosts, in requests per second.
    """

    organisation: str
    demand_per_s: float
    limit_per_s: float


@register_message(51)
@dataclass(slots=True)
class ShareReply(Message):
    """Reply to `ShareRequest`.

    Parameters
    ----------
    rate_per_s : float
        Requests per second that the host may admit until its next `ShareRequest`.
    """

    rate_per_s: float


@register_message(52)
@dataclass(slots=True)
class EngineLimits(Message):
    """Limits on requests that engines state, sent on each new connection.

    Parameters
    ----------
    limits : list of [str, int, float]
        Engine, start time in Unix milliseconds, requests per second.
    """

    limits: list


@register_message(53)
@dataclass(slots=True)
class TurnRequest(Message):
    """Request for a turn at an engine with a limit, sent to the owner of its turns.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time of the engine in Unix milliseconds.
    limit_per_s : float
        The engine's limit as known to the sender, in requests per second.
    max_wait_s : float
        Longest time until the turn, in seconds.
    """

    engine: str
    born_ms: int
    limit_per_s: float
    max_wait_s: float


@register_message(54)
@dataclass(slots=True)
class TurnReply(Message):
    """Reply to `TurnRequest`.

    Parameters
    ----------
    is_granted : bool
        Whether a turn is reserved for the sender.
    wait_s, next_wait_s : float
        Times until this turn and until the next free one, in seconds.
    owner : str
        Host that owns the turns, if it is not the receiver of the request; else empty.
    """

    is_granted: bool
    wait_s: float
    next_wait_s: float
    owner: str


@register_message(55)
@dataclass(slots=True)
class StreamOrigins(Message):
    """Records of where streams began.

    Parameters
    ----------
    groups : list of [str, str, int, bytes]
        Service, software version of the engine, seconds until the records expire, and
        the keys of the streams, 8 bytes each.
    """

    groups: list


@register_message(71)
@dataclass(slots=True)
class StreamOriginEngines(Message):
    """Records of where streams began, with their engines.

    Parameters
    ----------
    groups : list of [str, str, int, bytes, bytes]
        As in `StreamOrigins`, and the number of each stream's engine, 2 bytes each.
    engines : list of str
        Ids of the engines, numbered from 1; 0 stands for an unknown one.
    """

    groups: list
    engines: list


@register_message(72)
@dataclass(slots=True)
class StreamOriginCopies(Message):
    """Records of where streams began, with their engines and KV copies.

    Parameters
    ----------
    groups : list of [str, str, int, bytes, bytes, bytes, list of str]
        As in `StreamOriginEngines`, and for each stream the number of the engine that
        keeps a KV copy, 2 bytes, how often the record has changed, 1 byte, and a digest
        of the request, 8 bytes; then the attempt ids of the copied runs.
    engines : list of str
        As in `StreamOriginEngines`.
    """

    groups: list
    engines: list


@register_message(56)
@dataclass(slots=True)
class SoundParts(Message):
    """Prompt parts of the sender's crash log that caused no crash.

    Parameters
    ----------
    parts : list of [bytes, int]
        Fingerprint of each part, and time since an engine last wrote on it, in
        milliseconds.
    """

    parts: list


@register_message(60)
@dataclass(slots=True)
class RelayOpen(Message):
    """First message of a connection that a peer relays to an engine.

    Parameters
    ----------
    address : str
        Address of the engine, as ``ip:port``.
    """

    address: str


@register_message(61)
@dataclass(slots=True)
class RelayOpened(Message):
    """Reply to `RelayOpen`: the peer is connected to the engine."""


@register_message(62)
@dataclass(slots=True)
class EngineStatements(Message):
    """What engines state of themselves in their responses, as known to the sender.

    Parameters
    ----------
    statements : list of [str, int, str, float]
        Id and start time in Unix milliseconds of an engine, name of the statement, and
        its value.
    """

    statements: list


@register_message(63)
@dataclass(slots=True)
class SlotRequest(Message):
    """Request to the owner of an engine's slots to lease one.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time of the engine in Unix milliseconds.
    room : list of [int, int, float]
        Slots, KV memory in tokens and tolerated refusals a second of the engine.
    lease : str
        Id of the lease, unique among all hosts.
    memory_tokens : int
        KV memory that the call will occupy, in tokens.
    hold_s, max_wait_s : float
        Longest times for which the call may hold the slot and wait for it, in seconds.
    """

    engine: str
    born_ms: int
    room: list
    lease: str
    memory_tokens: int
    hold_s: float
    max_wait_s: float


@register_message(64)
@dataclass(slots=True)
class SlotReply(Message):
    """Reply to `SlotRequest`.

    Parameters
    ----------
    is_granted : bool
        Whether a slot is leased to the sender of the request.
    wait_s : float
        If not granted, estimated time until a slot is free, in seconds.
    """

    is_granted: bool
    wait_s: float


@register_message(65)
@dataclass(slots=True)
class SlotRelease(Message):
    """End of a lease, or of the wait for it.

    Parameters
    ----------
    was_refused : bool
        Whether the engine turned the call away.
    """

    engine: str
    born_ms: int
    lease: str
    was_refused: bool


@register_message(66)
@dataclass(slots=True)
class EngineRest(Message):
    """An engine asked the receiver for rest, in a response that the receiver relayed.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time of the engine in Unix milliseconds.
    rest_s : float
        Time for which the engine wants no requests, in seconds.
    """

    engine: str
    born_ms: int
    rest_s: float


def encode_frame(correlation, message):
    """Return a message as the bytes of a frame."""
    return msgpack.packb([message.code, correlation, *message.to_fields()])


def decode_frame(frame):
    """Return the correlation id and the message of a frame.

    Parameters
    ----------
    frame : list
        Array unpacked by msgpack.

    Raises
    ------
    ValueError
        When the frame has an unknown code or a wrong number of fields.
    """
    try:
        code, correlation, *values = frame
        return correlation, MESSAGE_TYPES[code](*values)
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed frame: {error!r}") from error
