"""Structured logs: JSON lines for machines or text for people."""

import asyncio
import logging
import os
import select
import sys
from collections import deque

import orjson
from loguru import logger

from sapphirerock.process.clock import SystemClock

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {message} {extra}"
# A pipe that is writable takes at least this much without blocking (POSIX).
ATOMIC_WRITE_BYTES = 4096
# Lines that wait for a reader of standard output; more are dropped and counted.
WAITING_LIMIT_BYTES = 256 << 10
# Ten times what a host writes at 20 requests a second with 7 lines of 300 bytes each.
VOLUME_BYTES_PER_S = 400 << 10
# What a moment of trouble may take at once: some thousand lines.
VOLUME_BURST_BYTES = 1 << 20
# Of the event and the request in a line that is too long; ids are 16 to 64 long.
SHORTENED_CHARACTERS = 200
FLUSH_INTERVAL_S = 0.02
RETRY_INTERVAL_S = 0.25


class LoguruHandler(logging.Handler):
    """Pass records of the standard library's loggers on to loguru."""

    def emit(self, record):
        """Log one record at its own level."""
        name = logging.getLevelName(min(record.levelno, logging.CRITICAL))
        logger.opt(exception=record.exc_info).log(name, record.getMessage())


class LineSink:
    """Writes JSON lines to a file descriptor without ever blocking.

    Lines wait in a bounded buffer while nobody reads. What does not fit, or is more
    than the volume allows, is dropped, and its number is logged afterwards.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_descriptor",
        "_clock",
        "_lines",
        "_size",
        "_dropped",
        "_allowance",
        "_counted_s",
        "_poll",
        "_is_scheduled",
    )

    def __init__(self, descriptor, clock):
        self._descriptor = descriptor
        self._clock = clock
        self._allowance = VOLUME_BURST_BYTES
        self._counted_s = clock.monotonic()
        self._lines = deque()
        self._size = 0
        self._dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._is_scheduled = False

    def __call__(self, message):
        """Take a loguru message."""
        self._take(encode_record(message.record))
        self._schedule(FLUSH_INTERVAL_S)

    def _take(self, line):
        self._refill()
        if self._size + len(line) > WAITING_LIMIT_BYTES or len(line) > self._allowance:
            self._dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        self._allowance -= len(line)

    def _refill(self):
        """Add to the allowance what the time since the last line gives."""
        now_s = self._clock.monotonic()
        refilled = self._allowance + (now_s - self._counted_s) * VOLUME_BYTES_PER_S
        self._allowance = min(VOLUME_BURST_BYTES, refilled)
        self._counted_s = now_s

    def _schedule(self, delay_s):
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_scheduled = True
        loop.call_later(delay_s, self._flush_scheduled)

    def _flush_scheduled(self):
        self._is_scheduled = False
        self.flush()
        if self._lines or self._dropped:
            self._schedule(RETRY_INTERVAL_S)

    def flush(self):
        """Write what can be written at once."""
        while self._lines and self._poll.poll(0):
            batch, size = [], 0
            while self._lines and size + len(self._lines[0]) <= ATOMIC_WRITE_BYTES:
                batch.append(self._lines.popleft())
                size += len(batch[-1])
            self._size -= size
            try:
                os.write(self._descriptor, b"".join(batch))
            except OSError:
                # Nobody will ever read: there is no place left to say so.
                self._lines.clear()
                self._size = 0
        self._refill()
        has_room = self._allowance >= ATOMIC_WRITE_BYTES
        if self._dropped and not self._lines and has_room:
            dropped, self._dropped = self._dropped, 0
            logger.bind(lines=dropped).warning("log lines dropped")


def encode_record(record):
    """Return a loguru record as one line of JSON that can be written at once."""
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
    """Return the files and lines of a traceback, the innermost last."""
    places = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        file = os.path.basename(code.co_filename)
        places.append(f"{file}:{traceback.tb_lineno} {code.co_name}")
        traceback = traceback.tb_next
    return places


def configure_logs(style="text", level="INFO"):
    """Send every log line to the process's output.

    Parameters
    ----------
    style : {"text", "json"}
        One JSON object a line on standard output, or readable text on standard
        error.
    level : str
        Lowest level that is written.
    """
    logger.remove()
    # Tracebacks without the values of variables: those may hold keys.
    options = {"level": level, "backtrace": False, "diagnose": False}
    if style == "json":
        sink = LineSink(sys.stdout.fileno(), SystemClock())
        logger.add(sink, format="{message}", **options)
    else:
        logger.add(sys.stderr, format=TEXT_FORMAT, **options)
    logging.basicConfig(handlers=[LoguruHandler()], level=logging.WARNING, force=True)
