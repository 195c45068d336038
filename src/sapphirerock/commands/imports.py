"""Cheaper imports for processes that must start fast."""

import gc
import os
import sys
from contextlib import contextmanager
from types import ModuleType

# Variables that name the certificates which OpenSSL loads by default.
CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")
CRONITER_MODULES = ("croniter", "croniter.croniter")


@contextmanager
def skip_certificates():
    """Keep imports from loading the certificates of the system.

    aiohttp loads them twice when it is imported, for requests over TLS. Use this in
    processes that make none: its requests over TLS fail to verify servers afterwards.
    """
    previous = {name: os.environ.get(name) for name in CERTIFICATE_VARIABLES}
    os.environ.update(dict.fromkeys(CERTIFICATE_VARIABLES, os.devnull))
    try:
        yield
    finally:
        for name, value in previous.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value


@contextmanager
def pause_collection():
    """Collect no garbage meanwhile; exempt what exists at the end from collection.

    Imports make many objects and hardly any garbage, so that each collection traverses
    all modules in vain, and so would later collections.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


@contextmanager
def defer_croniter():
    """Let modules import croniter, which is loaded only when it is called.

    `mode` imports it for tasks at set times of day. It imports two libraries of time
    zones, and hosts have no such tasks.
    """
    if any(name in sys.modules for name in CRONITER_MODULES):
        yield
        return
    for name in CRONITER_MODULES:
        placeholder = sys.modules[name] = ModuleType(name)
        placeholder.croniter = load_croniter
    try:
        yield
    finally:
        for name in CRONITER_MODULES:
            del sys.modules[name]


def load_croniter(*arguments, **options):
    """Return a `croniter.croniter`, which is imported by the first call."""
    from croniter import croniter

    return croniter(*arguments, **options)
