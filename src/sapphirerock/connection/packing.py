"""Compression of large messages between peers.

Hosts with narrow links send configurations of several hundred kilobytes to every host
of their zone. Such messages repeat themselves and compress to a small part.
"""

import zlib

import msgpack

from sapphirerock.connection.messages import (
    FRAME_LIMIT_BYTES,
    PackedMessage,
    decode_frame,
    encode_frame,
)

# Smaller messages fit into a few packets as they are.
MIN_PACKED_BYTES = 4 << 10
COMPRESSION_LEVEL = 1


def pack_message(message):
    """Return a compressed message, or None if the message is too small for it."""
    frame = encode_frame(0, message)
    if len(frame) < MIN_PACKED_BYTES:
        return None
    return PackedMessage(zlib.compress(frame, COMPRESSION_LEVEL))


def unpack_message(packed):
    """Return the message that a peer has compressed.

    Raises
    ------
    ValueError
        When the content is not a message, or exceeds `FRAME_LIMIT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        frame = decompressor.decompress(packed.content, FRAME_LIMIT_BYTES)
        if not decompressor.eof:
            raise ValueError("the packed message is incomplete or too large")
        return decode_frame(msgpack.unpackb(frame))[1]
    except (zlib.error, msgpack.UnpackException) as error:
        raise ValueError(f"malformed packed message: {error!r}") from error
