"""One stream between two entry hosts: handshake, messages, replies."""

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
HANDSHAKE_BOUND_S = 1.0
READ_BYTES = 1 << 16
# A peer that reads nothing while this much waits is as good as gone.
WRITE_BUFFER_LIMIT_BYTES = 8 << 20


class PeerStream:
    """An open, authenticated stream to a peer.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    hello : Hello
        What the peer said of itself.
    receive : callable
        Takes this stream, the correlation and each message that is no reply.

    Attributes
    ----------
    is_dialled : bool
        Whether this end opened the connection.
    on_demand : bool
        Whether it may close when it is idle.
    """

    __slots__ = (
        "hello",
        "is_dialled",
        "on_demand",
        "last_heard_s",
        "last_used_s",
        "sent_bytes",
        "_reader",
        "_writer",
        "_receive",
        "_pending",
        "_numbers",
        "_unpacker",
    )

    def __init__(self, reader, writer, hello, receive, unpacker):
        self.hello = hello
        self.is_dialled = False
        self.on_demand = False
        self.last_heard_s = 0.0
        self.last_used_s = 0.0
        self.sent_bytes = 0
        self._reader = reader
        self._writer = writer
        self._receive = receive
        self._pending = {}
        self._numbers = itertools.count(1)
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
        """Send a message without waiting; return its size in bytes."""
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
        """
        if not self.is_open:
            return Error(PeerUnavailable(self.host, "closed"))
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        self.send(message, number)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await reply
        except TimeoutError:
            return Error(PeerUnavailable(self.host, "no answer in time"))
        finally:
            self._pending.pop(number, None)
        if answer is None:
            return Error(PeerUnavailable(self.host, "stream closed"))
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
            self.last_heard_s = clock.monotonic()
            correlation, message = decode_frame(frame)
            if correlation < 0:
                reply = self._pending.get(-correlation)
                if reply is not None and not reply.done():
                    reply.set_result(message)
            else:
                self._receive(self, correlation, message)

    def close(self):
        """Close the stream and fail what waits for a reply."""
        self._writer.close()
        for reply in self._pending.values():
            if not reply.done():
                reply.set_result(None)


async def open_peer_stream(reader, writer, own, key, receive):
    """Prove both ends to each other.

    Parameters
    ----------
    reader, writer : asyncio streams
        A new connection.
    own : Hello
        What this host says of itself; its nonce is filled in here.
    key : bytes
        The secret that peers share.
    receive : callable
        Where messages go.

    Returns
    -------
    expression.Result of PeerStream or PeerRejected
    """
    unpacker = msgpack.Unpacker(max_buffer_size=FRAME_LIMIT_BYTES)
    own.nonce = os.urandom(NONCE_BYTES)
    try:
        async with asyncio.timeout(HANDSHAKE_BOUND_S):
            writer.write(encode_frame(0, own))
            hello = await read_handshake(reader, unpacker, Hello)
            writer.write(encode_frame(0, Proof(sign_nonce(key, own, hello))))
            proof = await read_handshake(reader, unpacker, Proof)
    except (TimeoutError, OSError, ValueError, msgpack.UnpackException) as error:
        writer.close()
        return Error(PeerRejected(repr(error)))
    if not hmac.compare_digest(proof.signature, sign_nonce(key, hello, own)):
        writer.close()
        return Error(PeerRejected("wrong signature"))
    return Ok(PeerStream(reader, writer, hello, receive, unpacker))


async def read_handshake(reader, unpacker, expected):
    """Return the next message, which must be of one type."""
    while True:
        for frame in unpacker:
            message = decode_frame(frame)[1]
            if not isinstance(message, expected):
                raise ValueError(f"expected {expected.__name__}")
            return message
        data = await reader.read(READ_BYTES)
        if not data:
            raise ValueError("closed during the handshake")
        unpacker.feed(data)


def sign_nonce(key, signer, challenger):
    """Return the signature of the challenger's nonce by the signer."""
    text = signer.host.encode() + b"\0" + signer.nonce + challenger.nonce
    return hmac.new(key, text, hashlib.sha256).digest()
