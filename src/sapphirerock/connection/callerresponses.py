"""Responses to callers: event streams, JSON documents and problem documents."""

import orjson
from aiohttp import web

STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-store",
    "Sapphirerock-Outcome": "ran",
}
HEARTBEAT = b": beat\n\n"


def make_problem_response(problem):
    """Return an HTTP response with a problem document."""
    return web.Response(
        status=problem.status, body=problem.encode(), headers=problem.make_headers()
    )


def encode_segment(generation, segment):
    """Return a server-sent event with the tokens of a segment.

    Its id is the position of the last token, from which a caller can resume.
    """
    position = generation.make_position(segment.end - 1).encode()
    data = orjson.dumps(
        {
            "generation_id": generation.generation_id,
            "offset": segment.offset,
            "tokens": segment.tokens,
            "text": segment.text,
        }
    )
    return b"id: %b\ndata: %b\n\n" % (position.encode(), data)


def encode_done(generation):
    """Return the final event of a complete stream."""
    data = orjson.dumps(
        {
            "generation_id": generation.generation_id,
            "tokens_total": len(generation.tokens),
            "finish_reason": generation.finish_reason,
        }
    )
    return b"event: done\ndata: %b\n\n" % data


def encode_problem(problem):
    """Return a problem as the final event of a stream that has already begun."""
    return b"event: error\ndata: %b\n\n" % problem.encode()


class GenerationReader:
    """Reads the tokens of a generation for one caller, and counts as its reader.

    Parameters
    ----------
    generation : Generation
        The generation to read.
    offset : int
        Offset of the first token to read.
    clock : Clock
        Source of time.
    metrics : Metrics
        Receives the time between lists of segments, in seconds.
    """

    __slots__ = ("_generation", "_offset", "_clock", "_metrics", "_last_segment_s")

    def __init__(self, generation, offset, clock, metrics):
        self._generation = generation
        self._offset = offset
        self._clock = clock
        self._metrics = metrics
        self._last_segment_s = None

    def __enter__(self):
        self._generation.readers += 1
        return self

    def __exit__(self, *exception):
        self._generation.readers -= 1
        self._generation.last_read_s = self._clock.monotonic()

    async def wait_for_first_token(self):
        """Wait for the first token, or for the end of a generation without tokens."""
        generation = self._generation
        while not self._has_unread_tokens() and not generation.is_over:
            await generation.wait_for_change()

    def _has_unread_tokens(self):
        return self._generation.released_end > self._offset

    async def read_segments(self):
        """Yield lists of segments until the generation is over.

        An empty list means that a heartbeat is due: the reader was woken but no
        tokens were released. A token is released once the journal's holder has it.
        """
        generation = self._generation
        while True:
            segments = generation.find_segments(self._offset)
            if segments:
                self._offset = segments[-1].end
                self._observe_gap()
                yield segments
            elif generation.problem is not None or generation.is_fully_released:
                return
            else:
                await generation.wait_for_change()
                if not self._has_unread_tokens() and not generation.is_over:
                    yield []

    def _observe_gap(self):
        now_s = self._clock.monotonic()
        if self._last_segment_s is not None:
            self._metrics.token_gap.observe(now_s - self._last_segment_s)
        self._last_segment_s = now_s


async def stream_generation(request, generation, reader):
    """Send a generation as server-sent events, up to its done or error event."""
    response = web.StreamResponse(headers=STREAM_HEADERS)
    await response.prepare(request)
    async for segments in reader.read_segments():
        await response.write(
            b"".join(encode_segment(generation, item) for item in segments) or HEARTBEAT
        )
    if generation.problem is not None:
        await response.write(encode_problem(generation.problem))
    else:
        await response.write(encode_done(generation))
    await response.write_eof()
    return response


async def collect_generation(generation, reader):
    """Wait for a generation to end and return it as one JSON document."""
    tokens, texts = [], []
    async for segments in reader.read_segments():
        for segment in segments:
            tokens.extend(segment.tokens)
            texts.append(segment.text)
    if generation.problem is not None:
        return make_problem_response(generation.problem)
    document = {
        "generation_id": generation.generation_id,
        "tokens": tokens,
        "text": "".join(texts),
        "finish_reason": generation.finish_reason,
    }
    return web.Response(
        body=orjson.dumps(document),
        content_type="application/json",
        headers={"Sapphirerock-Outcome": "ran"},
    )
