"""Messages between peers: a registry of types, packed with msgpack.

A frame is the array ``[code, correlation, fields...]``. Correlation 0 stands
for a message that no reply belongs to, a positive number for a request, and
the negative of that number for its reply.
"""

from dataclasses import dataclass, fields

import msgpack

MESSAGES = {}
FRAME_LIMIT_BYTES = 8 << 20


def register_message(code):
    """Register a message type under the code that frames carry."""

    def register(cls):
        MESSAGES[code] = cls
        cls.code = code
        cls.names = tuple(field.name for field in fields(cls))
        return cls

    return register


class Message:
    """Base class of everything that peers send."""

    __slots__ = ()
    code = 0
    names = ()

    def to_fields(self):
        """Return the values of the fields in their order."""
        return [getattr(self, name) for name in self.names]


@register_message(1)
@dataclass(slots=True)
class Hello(Message):
    """First message of both ends: who speaks, and a nonce to sign."""

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
    """Signature of the other end's nonce."""

    signature: bytes


@register_message(3)
@dataclass(slots=True)
class Heartbeat(Message):
    """Sign of life, with what the sender has.

    Parameters
    ----------
    leaving : bool
        Whether the sender is shutting down.
    views : list of [str, int, int, int, str]
        Kind of objects, revision of the last change that the sender knows, their
        number, milliseconds since a host heard from the store, and which.
    """

    leaving: bool
    views: list


@register_message(4)
@dataclass(slots=True)
class Refusal(Message):
    """Reply to a request that can't be met."""

    reason: str


@register_message(10)
@dataclass(slots=True)
class JournalOpen(Message):
    """Ask a holder to keep a generation, or to hand over one that it keeps.

    Parameters
    ----------
    organisation, key : str
        Whose generation, and its idempotency key.
    body_digest : bytes
        Digest of the request's body.
    generation_id : str
        Id to use if the holder has none.
    branch : str
        Name of the driver that asks, unique for each takeover.
    """

    organisation: str
    key: str
    body_digest: bytes
    generation_id: str
    branch: str


@register_message(11)
@dataclass(slots=True)
class JournalRecordMessage(Message):
    """A journal record as the holder has it.

    Parameters
    ----------
    found : bool
        Whether the holder had the generation before.
    history : list of [str, int]
        Each driver's branch and the offset that it started from.
    tokens : bytes
        Tokens as 32-bit numbers, little-endian.
    upstream, incarnation : str
        Engine that ran it last; empty when unknown.
    finish_reason : str
        Empty while the generation goes on.
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
    """Ask whether a peer holds or drives a generation; changes nothing."""

    organisation: str
    key: str


@register_message(13)
@dataclass(slots=True)
class JournalBackfill(Message):
    """Give a new holder a generation whole."""

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
    """Tokens of many generations.

    Parameters
    ----------
    entries : list of [str, str, int, bytes, str, str, str]
        Generation id, branch, offset, tokens, upstream, incarnation, finish
        reason. An empty upstream stands for the one named before.
    """

    entries: list


@register_message(15)
@dataclass(slots=True)
class JournalAck(Message):
    """Reply to `JournalAppend`: generations whose driver was superseded."""

    superseded: list
    unknown: list


@register_message(16)
@dataclass(slots=True)
class JournalClose(Message):
    """Generations that nobody will ask for again."""

    generation_ids: list


@register_message(22)
@dataclass(slots=True)
class ObjectDelta(Message):
    """Changes of the store's objects of a kind, complete between two revisions.

    Parameters
    ----------
    after, horizon : int
        Revisions; an `after` of 0 stands for a part of the whole list.
    changes : list of [str, int, object]
        Name, revision, content; None for a deletion.
    all_names : list of str or None
        With the last part of the whole list, the names of all objects.
    """

    kind: str
    after: int
    horizon: int
    changes: list
    all_names: list | None


@register_message(23)
@dataclass(slots=True)
class ObjectPull(Message):
    """Ask for the changes of a kind's objects after a revision."""

    kind: str
    after: int


@register_message(24)
@dataclass(slots=True)
class HostLoads(Message):
    """What the sender has under way on engines, for the hubs of its zone.

    Parameters
    ----------
    cells : list of [str, int, int, int, int]
        Engine; unread prompt tokens, runs, memory tokens, copies' tokens. What is
        not named has not changed.
    """

    cells: list


@register_message(25)
@dataclass(slots=True)
class ZoneLoads(Message):
    """What the hosts of a zone have under way on engines, added up by its hub."""

    availability_zone: str
    cells: list


@register_message(30)
@dataclass(slots=True)
class Rumour(Message):
    """Something that every host of a scope is to hear, passed from peer to peer.

    Parameters
    ----------
    topic : str
        Name of a registered topic.
    scope : str
        Name of an availability zone that it stays in; empty for everywhere.
    origin : str
        Host that it comes from.
    incarnation : int
        The origin's incarnation.
    number : int
        Grows with each rumour of an origin's incarnation.
    content : list
        Fields of the topic's type.
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
        The upstream's wall time, in seconds since the epoch; newer samples win.
    """

    upstream: str
    sampled_at: float
    running: int
    queued: int
    capacity: int

    def to_entry(self):
        """Return the fields as a digest carries them."""
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
    """New samples of loads.

    Parameters
    ----------
    entries : list of [str, float, int, int, int]
        Fields of `LoadSample`.
    """

    entries: list

    @classmethod
    def from_samples(cls, samples):
        """Return a digest of some samples."""
        return cls([sample.to_entry() for sample in samples])

    def to_samples(self):
        """Return the samples of the digest."""
        return [LoadSample(*entry) for entry in self.entries]


@register_message(40)
@dataclass(slots=True)
class ClaimRequest(Message):
    """Ask a bucket's owner to commit claims and outcomes with its next write.

    Parameters
    ----------
    service : str
        Service that the calls go to.
    bucket : int
        Bucket of the key.
    entry : list
        Fields of a ledger entry.
    """

    service: str
    bucket: int
    entry: list


@register_message(41)
@dataclass(slots=True)
class ClaimReply(Message):
    """The entry that stands in the platform after the commit."""

    entry: list


@register_message(50)
@dataclass(slots=True)
class ShareRequest(Message):
    """Ask a limit's owner for a part of an organisation's rate.

    Parameters
    ----------
    organisation : str
        Whose limit.
    demand_per_s : float
        Requests that arrived at the asking host lately, a second.
    limit_per_s : float
        The organisation's limit over all hosts.
    """

    organisation: str
    demand_per_s: float
    limit_per_s: float


@register_message(51)
@dataclass(slots=True)
class ShareReply(Message):
    """Requests a second that the host may admit until it asks again."""

    rate_per_s: float


def encode_frame(correlation, message):
    """Return a message as bytes."""
    return msgpack.packb([message.code, correlation, *message.to_fields()])


def decode_frame(frame):
    """Return the correlation and the message of an unpacked frame.

    Raises
    ------
    ValueError
        When the frame has an unknown code or a wrong number of fields.
    """
    try:
        code, correlation, *values = frame
        return correlation, MESSAGES[code](*values)
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed frame: {error!r}") from error
