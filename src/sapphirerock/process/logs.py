"""Structured logs: JSON lines for machines or text for people."""

import logging
import sys

from loguru import logger

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level:<7} {message} {extra}"


class LoguruHandler(logging.Handler):
    """Pass records of the standard library's loggers on to loguru."""

    def emit(self, record):
        """Log one record at its own level."""
        level = min(record.levelno, logging.CRITICAL)
        logger.opt(exception=record.exc_info).log(level, record.getMessage())


def configure_logs(style="text", level="INFO"):
    """Send every log line to standard error.

    Parameters
    ----------
    style : {"text", "json"}
        One JSON object a line, or readable text.
    level : str
        Lowest level that is written.
    """
    logger.remove()
    # Tracebacks without the values of variables: those may hold keys.
    options = {"level": level, "backtrace": False, "diagnose": False}
    if style == "json":
        logger.add(sys.stderr, serialize=True, **options)
    else:
        logger.add(sys.stderr, format=TEXT_FORMAT, **options)
    logging.basicConfig(handlers=[LoguruHandler()], level=logging.WARNING, force=True)
