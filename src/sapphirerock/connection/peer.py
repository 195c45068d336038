"""Authenticated message streams between two hosts."""

import asyncio
import hashlib
import hmac
import itertools
import os

import msgpack
from expression import Error, Ok

from sapphirerock.connection.errors import PeerRejected, PeerUnavailable
from sapphirerock.connection.messages import (
    FRAME_LIMIT_BYTES,
    Hello,
    Message,
    Proof,
    Refusal,
    decode_frame,
    encode_frame,
)

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 1.0
READ_BYTES = 1 << 16
# A peer is treated as unreachable when more sent data than this waits to be read.
WRITE_BUFFER_LIMIT_BYTES = 8 << 20


class PeerStream:
    """An open, authenticated stream to a peer.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    hello : Hello
        Handshake message of the peer.
    receive : callable
        Called with this stream, the correlation and the message, for each message
        that is not a reply.
    unpacker : msgpack.Unpacker
        Decoder that may hold bytes received after the handshake.

    Attributes
    ----------
    is_dialled : bool
        Whether this host opened the connection.
    closes_when_idle : bool
        Whether the stream may be closed when idle.
    last_received_s, last_used_s : float
        Monotonic times of the last message received and of the last use.
    sent_bytes : int
        Number of bytes sent so far.
    """

    __slots__ = (
        "hello",
        "is_dialled",
        "closes_when_idle",
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

    def __init__(self, reader, writer, hello, receive, unpacker):
        self.hello = hello
        self.is_dialled = False
        self.closes_when_idle = False
        self.last_received_s = 0.0
        self.last_used_s = 0.0
        self.sent_bytes = 0
        self._reader = reader
        self._writer = writer
        self._on_message = receive
        self._pending_replies = {}
        self._correlations = itertools.count(1)
        self._unpacker = unpacker

    @property
    def host(self):
        """Name of the peer."""
        return self.hello.host

    @property
    def is_open(self):
        """Whether messages can still be sent."""
        return not self._writer.is_closing()

    def send(self, message: Message, correlation=0):
        """Send a message without waiting.

        Closes the stream when too much data waits to be sent.

        Returns
        -------
        int
            Size of the frame in bytes; 0 when the stream is closed.
        """
        if not self.is_open:
            return 0
        frame = encode_frame(correlation, message)
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
            async with asyncio.timeout(timeout_s):
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
        """Read messages until the stream ends."""
        try:
            while True:
                self._deliver_frames(clock)
                data = await self._reader.read(READ_BYTES)
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
        """Close the stream and fail all requests that wait for a reply."""
        self._writer.close()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_result(None)


async def open_peer_stream(reader, writer, own, key, receive):
    """Run the handshake in which both ends authenticate each other.

    Parameters
    ----------
    reader, writer : asyncio streams
        A new connection.
    own : Hello
        Handshake message of this host; its nonce is set here.
    key : bytes
        Secret that all peers share.
    receive : callable
        See `PeerStream`.

    Returns
    -------
    expression.Result of PeerStream or PeerRejected
    """
    unpacker = msgpack.Unpacker(max_buffer_size=FRAME_LIMIT_BYTES)
    own.nonce = os.urandom(NONCE_BYTES)
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            writer.write(encode_frame(0, own))
            hello = await read_handshake(reader, unpacker, Hello)
            writer.write(encode_frame(0, Proof(sign_nonce(key, own, hello))))
            proof = await read_handshake(reader, unpacker, Proof)
    except (TimeoutError, OSError, ValueError, msgpack.UnpackException) as error:
        writer.close()
        return Error(PeerRejected(repr(error)))
    if not hmac.compare_digest(proof.signature, sign_nonce(key, hello, own)):
        writer.close()
        return Error(PeerRejected("invalid signature"))
    return Ok(PeerStream(reader, writer, hello, receive, unpacker))


async def read_handshake(reader, unpacker, expected):
    """Return the next message.

    Raises
    ------
    ValueError
        When the message is not of the expected type or the connection ends.
    """
    while True:
        for frame in unpacker:
            message = decode_frame(frame)[1]
            if not isinstance(message, expected):
                raise ValueError(f"expected a {expected.__name__} message")
            return message
        data = await reader.read(READ_BYTES)
        if not data:
            raise ValueError("connection closed during the handshake")
        unpacker.feed(data)


def sign_nonce(key, signer, challenger):
    """Return the signer's HMAC of its host name and both nonces."""
    text = signer.host.encode() + b"\0" + signer.nonce + challenger.nonce
    return hmac.new(key, text, hashlib.sha256).digest()
