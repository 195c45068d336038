"""Authenticated connections between hosts, which carry messages both ways."""

import asyncio
import hashlib
import hmac
import itertools
import os

import msgpack
from expression import Error, Ok

from sapphirerock.connection.errors import PeerHandshakeFailed, PeerUnavailable
from sapphirerock.connection.messages import (
    FRAME_LIMIT_BYTES,
    Hello,
    Message,
    Proof,
    Refusal,
    decode_frame,
    encode_frame,
)
from sapphirerock.connection.timeouts import limit_wait

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 1 << 16
# A stream with more unsent data than this is closed, since its peer does not read it.
WRITE_BUFFER_LIMIT_BYTES = 8 << 20


class PeerStream:
    """An open, authenticated stream to a peer.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    hello : Hello
        Handshake message of the peer.
    on_message : callable
        Called with this stream, the correlation id and the message, for each message
        that is not a reply.
    unpacker : msgpack.Unpacker
        Decoder of the handshake, which may have buffered bytes of later messages.

    Attributes
    ----------
    is_dialled : bool
        Whether this host opened the connection.
    closes_when_idle : bool
        Whether the stream may be closed when idle.
    known_views : set of str
        Kinds of views in the peer's heartbeats so far.
    accepts_packed : bool
        Whether the peer has said that it reads compressed messages.
    last_received_s, last_used_s : float
        Monotonic times at which a message was last received and the stream was last
        used, in seconds. The owner of the stream sets `last_used_s`.
    sent_bytes : int
        Number of bytes sent so far.
    """

    __slots__ = (
        "hello",
        "is_dialled",
        "closes_when_idle",
        "known_views",
        "accepts_packed",
        "last_received_s",
        "last_used_s",
        "sent_bytes",
        "_reader",
        "_writer",
        "_on_message",
        "_pending_replies",
        "_correlations",
        "_unpacker",
    )

    def __init__(self, reader, writer, hello, on_message, unpacker):
        self.hello = hello
        self.is_dialled = False
        self.closes_when_idle = False
        self.known_views = set()
        self.accepts_packed = False
        self.last_received_s = 0.0
        self.last_used_s = 0.0
        self.sent_bytes = 0
        self._reader = reader
        self._writer = writer
        self._on_message = on_message
        self._pending_replies = {}
        self._correlations = itertools.count(1)
        self._unpacker = unpacker

    @property
    def host(self):
        """Name of the peer."""
        return self.hello.host

    @property
    def is_open(self):
        """Whether the stream is open, so that messages can be sent."""
        return not self._writer.is_closing()

    def send(self, message: Message, correlation=0):
        """Send a message without waiting.

        Closes the stream when too much data waits to be sent.

        Returns
        -------
        int
            Size of the frame in bytes; 0 when the stream is closed.
        """
        return self.send_frame(encode_frame(correlation, message))

    def send_frame(self, frame):
        """Send an encoded message as `send` does, for one that several peers get.

        Returns
        -------
        int
            Size of the frame in bytes; 0 when the stream is closed.
        """
        if not self.is_open:
            return 0
        self.sent_bytes += len(frame)
        self._writer.write(frame)
        if self._writer.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            self.close()
        return len(frame)

    async def ask(self, message, timeout_s):
        """Send a request and wait for its reply.

        Returns
        -------
        expression.Result of Message or PeerUnavailable
            A `Refusal` counts as `PeerUnavailable`.
        """
        if not self.is_open:
            return Error(PeerUnavailable(self.host, "stream already closed"))
        correlation = next(self._correlations)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[correlation] = reply
        self.send(message, correlation)
        try:
            async with limit_wait(timeout_s):
                answer = await reply
        except TimeoutError:
            return Error(PeerUnavailable(self.host, "no reply in time"))
        finally:
            self._pending_replies.pop(correlation, None)
        if answer is None:
            return Error(PeerUnavailable(self.host, "stream closed before the reply"))
        if isinstance(answer, Refusal):
            return Error(PeerUnavailable(self.host, answer.reason))
        return Ok(answer)

    async def run(self, clock):
        """Read and deliver messages until the stream ends; then close it."""
        try:
            while True:
                self._deliver_frames(clock)
                data = await self._reader.read(READ_CHUNK_BYTES)
                if not data:
                    return
                self._unpacker.feed(data)
        except (OSError, ValueError, msgpack.UnpackException):
            return
        finally:
            self.close()

    def _deliver_frames(self, clock):
        for frame in self._unpacker:
            self.last_received_s = clock.monotonic()
            correlation, message = decode_frame(frame)
            if correlation < 0:
                reply = self._pending_replies.get(-correlation)
                if reply is not None and not reply.done():
                    reply.set_result(message)
            else:
                self._on_message(self, correlation, message)

    def close(self):
        """Close the stream; requests that wait for a reply fail."""
        self._writer.close()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_result(None)


async def open_peer_stream(
    reader,
    writer,
    local_hello,
    shared_key,
    on_message,
    unpacker=None,
    hello=None,
    timeout_s=HANDSHAKE_TIMEOUT_S,
):
    """Run the handshake in which both ends authenticate each other.

    Parameters
    ----------
    reader, writer : asyncio streams
        A new connection.
    local_hello : Hello
        Handshake message of this host; this function sets its nonce.
    shared_key : bytes
        Secret that all peers share.
    on_message : callable
        See `PeerStream`.
    unpacker : msgpack.Unpacker or None
        Decoder with the bytes received so far.
    hello : Hello or None
        Handshake message of the peer if it has been read already.
    timeout_s : float
        Time limit in seconds.

    Returns
    -------
    expression.Result of PeerStream or PeerHandshakeFailed
    """
    unpacker = unpacker or make_unpacker()
    local_hello.nonce = os.urandom(NONCE_BYTES)
    try:
        async with limit_wait(timeout_s):
            writer.write(encode_frame(0, local_hello))
            if hello is None:
                hello = await read_handshake_message(reader, unpacker, Hello)
            writer.write(
                encode_frame(0, Proof(sign_nonce(shared_key, local_hello, hello)))
            )
            proof = await read_handshake_message(reader, unpacker, Proof)
    except (TimeoutError, OSError, ValueError, msgpack.UnpackException) as error:
        writer.close()
        return Error(PeerHandshakeFailed(repr(error)))
    if not hmac.compare_digest(
        proof.signature, sign_nonce(shared_key, hello, local_hello)
    ):
        writer.close()
        return Error(PeerHandshakeFailed("invalid signature"))
    return Ok(PeerStream(reader, writer, hello, on_message, unpacker))


async def read_first_message(reader, unpacker, expected):
    """Read the message that tells what an inbound connection is for.

    Parameters
    ----------
    expected : tuple of type
        Message types that may come first.

    Returns
    -------
    expression.Result of Message or PeerHandshakeFailed
    """
    try:
        async with limit_wait(HANDSHAKE_TIMEOUT_S):
            return Ok(await read_handshake_message(reader, unpacker, expected))
    except (TimeoutError, OSError, ValueError, msgpack.UnpackException) as error:
        return Error(PeerHandshakeFailed(repr(error)))


def make_unpacker():
    """Return a decoder of the frames of one connection."""
    return msgpack.Unpacker(max_buffer_size=FRAME_LIMIT_BYTES)


async def read_handshake_message(reader, unpacker, expected):
    """Read the next message of a handshake.

    Raises
    ------
    ValueError
        When the message is not of an expected type or the connection ends.
    """
    while True:
        for frame in unpacker:
            message = decode_frame(frame)[1]
            if not isinstance(message, expected):
                raise ValueError(f"unexpected {type(message).__name__} message")
            return message
        data = await reader.read(READ_CHUNK_BYTES)
        if not data:
            raise ValueError("connection closed during the handshake")
        unpacker.feed(data)


def sign_nonce(shared_key, signer, challenger):
    """Return the HMAC-SHA256 of the signer's host name and both ends' nonces."""
    text = signer.host.encode() + b"\0" + signer.nonce + challenger.nonce
    return hmac.new(shared_key, text, hashlib.sha256).digest()
