"""Structured logs: JSON lines for machines or text for people."""

import asyncio
import atexit
import logging
import os
import select
import sys
from collections import deque

import orjson
from loguru import logger

from sapphirerock.process.clock import SystemClock

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {message} {extra}"
# Every writable pipe accepts this many bytes without blocking (POSIX).
ATOMIC_WRITE_BYTES = 4096
# Limit of lines buffered for a slow reader; lines beyond it are dropped and counted.
BUFFER_LIMIT_BYTES = 256 << 10
# Ten times what a host writes at 20 requests a second with 7 lines of 300 bytes each.
RATE_LIMIT_BYTES_PER_S = 400 << 10
# Limit of a burst of lines during an incident: a few thousand lines.
BURST_LIMIT_BYTES = 1 << 20
# Length of the event and the request id in a line that is too long to write whole;
# request ids have 16 to 64 characters.
SHORTENED_CHARACTERS = 200
FLUSH_INTERVAL_S = 0.02
FLUSH_RETRY_INTERVAL_S = 0.25


class LoguruHandler(logging.Handler):
    """Forwards records of the standard library's loggers to loguru."""

    def emit(self, record):
        """Log one record at its own level."""
        name = logging.getLevelName(min(record.levelno, logging.CRITICAL))
        logger.opt(exception=record.exc_info).log(name, record.getMessage())


class LineSink:
    """Writes JSON lines to a file descriptor without ever blocking.

    Lines are buffered while the reader of the descriptor is slow. Lines beyond the
    buffer's limit or the rate limit are dropped, and their number is logged afterwards.

    Parameters
    ----------
    descriptor : int
        File descriptor, such as that of standard output.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_descriptor",
        "_clock",
        "_lines",
        "_buffered_bytes",
        "_dropped_lines",
        "_allowance_bytes",
        "_refilled_at_s",
        "_poll",
        "_is_flush_scheduled",
    )

    def __init__(self, descriptor, clock):
        self._descriptor = descriptor
        self._clock = clock
        self._allowance_bytes = BURST_LIMIT_BYTES
        self._refilled_at_s = clock.monotonic()
        self._lines = deque()
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._is_flush_scheduled = False

    def __call__(self, message):
        """Buffer a loguru message and schedule a flush."""
        self._buffer_line(encode_record(message.record))
        self._schedule_flush(FLUSH_INTERVAL_S)

    def _buffer_line(self, line):
        self._refill_allowance()
        if (
            self._buffered_bytes + len(line) > BUFFER_LIMIT_BYTES
            or len(line) > self._allowance_bytes
        ):
            self._dropped_lines += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._allowance_bytes -= len(line)

    def _refill_allowance(self):
        """Add to the allowance for the time since the last refill."""
        now_s = self._clock.monotonic()
        refilled = (
            self._allowance_bytes
            + (now_s - self._refilled_at_s) * RATE_LIMIT_BYTES_PER_S
        )
        self._allowance_bytes = min(BURST_LIMIT_BYTES, refilled)
        self._refilled_at_s = now_s

    def _schedule_flush(self, delay_s):
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(delay_s, self._run_scheduled_flush)

    def _run_scheduled_flush(self):
        self._is_flush_scheduled = False
        self.flush()
        if self._lines or self._dropped_lines:
            self._schedule_flush(FLUSH_RETRY_INTERVAL_S)

    def flush(self):
        """Write as many buffered lines as the descriptor accepts without blocking."""
        while self._lines and self._poll.poll(0):
            batch, size = [], 0
            while self._lines and size + len(self._lines[0]) <= ATOMIC_WRITE_BYTES:
                batch.append(self._lines.popleft())
                size += len(batch[-1])
            self._buffered_bytes -= size
            try:
                os.write(self._descriptor, b"".join(batch))
            except OSError:
                # The reader has closed the pipe; there is no other place to log this.
                self._lines.clear()
                self._buffered_bytes = 0
        self._refill_allowance()
        has_room = self._allowance_bytes >= ATOMIC_WRITE_BYTES
        if self._dropped_lines and not self._lines and has_room:
            dropped, self._dropped_lines = self._dropped_lines, 0
            logger.bind(lines=dropped).warning("log lines dropped")


def encode_record(record):
    """Encode a loguru record as a line of JSON of at most `ATOMIC_WRITE_BYTES`.

    A longer line keeps only its time, level, event and request, the last two shortened.
    """
    fields = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
        fields["traceback"] = format_traceback(record["exception"].traceback)
    line = orjson.dumps(fields, default=str) + b"\n"
    if len(line) <= ATOMIC_WRITE_BYTES:
        return line
    kept = {name: fields[name] for name in ("time", "level")}
    for name in ("event", "request"):
        kept[name] = str(fields.get(name))[:SHORTENED_CHARACTERS]
    return orjson.dumps({**kept, "shortened_bytes": len(line)}) + b"\n"


def format_traceback(traceback):
    """List the frames of a traceback by file, line and function, innermost last."""
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        file = os.path.basename(code.co_filename)
        frames.append(f"{file}:{traceback.tb_lineno} {code.co_name}")
        traceback = traceback.tb_next
    return frames


def configure_logs(style="text", level="INFO"):
    """Write all log lines to standard output or standard error.

    Parameters
    ----------
    style : {"text", "json"}
        One JSON object a line on standard output, or readable text on standard
        error.
    level : str
        Lowest level that is written.
    """
    logger.remove()
    # Tracebacks omit the values of variables, which may hold keys.
    options = {"level": level, "backtrace": False, "diagnose": False}
    if style == "json":
        sink = LineSink(sys.stdout.fileno(), SystemClock())
        logger.add(sink, format="{message}", **options)
        # The event loop ends before the flush of the last lines is due.
        atexit.register(sink.flush)
    else:
        logger.add(sys.stderr, format=TEXT_FORMAT, **options)
    logging.basicConfig(handlers=[LoguruHandler()], level=logging.WARNING, force=True)
