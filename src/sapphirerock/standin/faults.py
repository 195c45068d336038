"""Fault injection over HTTP, common to the stand-ins: ``POST /faults``."""

import asyncio
import os
import signal
import time

from aiohttp import web

FAULTS = {}
# Exit status that shells report after SIGKILL: 128 + 9.
EXIT_STATUS_KILLED = 137


def register_fault(kind):
    """Register the function ``(standin, fault)`` that applies a kind of fault."""

    def register(function):
        FAULTS[kind] = function
        return function

    return register


class FaultRequest:
    """Parameters of one requested fault.

    Parameters
    ----------
    kind : str
        Name in the registry of faults.
    seconds : float
        Duration, for kinds that have one.
    amount : float
        Factor or count, for kinds that have one.
    manner : str
        Variant of the fault, for kinds that have several.
    source : str
        Comma-separated prefixes of the client addresses that are affected. Empty
        affects all.
    """

    __slots__ = ("kind", "seconds", "amount", "manner", "source")

    def __init__(self, kind, seconds=0.0, amount=1.0, manner="", source=""):
        self.kind = kind
        self.seconds = seconds
        self.amount = amount
        self.manner = manner
        self.source = source


@register_fault("die")
def kill_process(standin, fault):
    """Kill the process with SIGKILL."""
    os.kill(os.getpid(), signal.SIGKILL)


@register_fault("freeze")
def block_process(standin, fault):
    """Block the event loop for ``seconds``."""
    asyncio.get_running_loop().call_later(0.01, time.sleep, fault.seconds)


@register_fault("crash")
def crash_and_restart(standin, fault):
    """Drop all work and connections and change to a new incarnation."""
    standin.crash()


@register_fault("reset-connections")
def reset_connections(standin, fault):
    """Reset the open connections and keep running."""
    standin.reset_connections()


@register_fault("silence")
def silence_connections(standin, fault):
    """Send nothing more on the open connections, but serve new ones."""
    standin.last_silenced_connection = standin.connection_count


@register_fault("slow")
def slow_down(standin, fault):
    """Multiply the duration of all work by ``amount``."""
    standin.slowdown = fault.amount


@register_fault("down")
def reject_calls(standin, fault):
    """Reject calls for ``seconds``, from all clients or only those of ``source``.

    The manner is ``busy`` (status 503), ``many`` (status 429), ``reset`` (resets the
    connection) or ``silent`` (no response). Only the platform stand-in supports all of
    them, and ``source``. Other stand-ins answer 503 otherwise.
    """
    standin.down_until_s = time.monotonic() + fault.seconds
    standin.down_manner = fault.manner or "busy"
    standin.down_source = fault.source


@register_fault("lose-answer")
def drop_responses(standin, fault):
    """Execute the next ``amount`` calls, but drop their responses."""
    standin.responses_to_drop = int(fault.amount)


@register_fault("stale")
def serve_stale_reads(standin, fault):
    """Serve reads from the state ``seconds`` ago.

    The manner ``allowed`` restricts this to reads that allow stale data.
    """
    standin.staleness_s = fault.seconds
    standin.all_reads_stale = fault.manner != "allowed"


@register_fault("forget-history")
def compact_history(standin, fault):
    """Drop the change history, so that watches from older revisions fail."""
    standin.compact_history()


@register_fault("restore")
def restore_copy(standin, fault):
    """Return to the state of ``seconds`` ago and begin a new era."""
    standin.restore_copy(fault.seconds)


@register_fault("lapse")
def expire_objects(standin, fault):
    """Delete all objects of the kind named in ``manner``."""
    standin.expire_kind(fault.manner)


@register_fault("occupy")
def occupy_slots(standin, fault):
    """Mark ``amount`` slots as in use by a client outside this system."""
    standin.occupied_slots = int(fault.amount)


@register_fault("garble")
def send_malformed_events(standin, fault):
    """Send ``amount`` malformed events."""
    standin.malformed_events_to_send = int(fault.amount)


@register_fault("leave")
def start_draining(standin, fault):
    """Report this upstream as draining."""
    standin.is_draining = True


class FaultState:
    """Base class of stand-ins: holds the active faults.

    A stand-in reads only the settings of the faults that it supports.

    Attributes
    ----------
    connection_count : int
        Number of connections opened so far.
    last_silenced_connection : int
        Number of the last connection on which nothing more is sent.
    slowdown : float
        Factor by which all work takes longer.
    down_until_s : float
        Monotonic time at which the ``down`` fault ends.
    down_manner, down_source : str
        Manner of the ``down`` fault, and the addresses that it affects.
    staleness_s : float
        Age of the state that stale reads return, in seconds.
    all_reads_stale : bool
        Whether reads that do not allow stale data are stale, too.
    responses_to_drop, malformed_events_to_send : int
        Remaining responses and events.
    occupied_slots : int
        Slots that a client outside this system uses.
    is_draining : bool
        Whether the stand-in reports that it is draining.
    """

    def __init__(self):
        self.connection_count = 0
        self.last_silenced_connection = 0
        self.slowdown = 1.0
        self.down_until_s = 0.0
        self.down_manner = "busy"
        self.down_source = ""
        self.all_reads_stale = False
        self.responses_to_drop = 0
        self.staleness_s = 0.0
        self.occupied_slots = 0
        self.is_draining = False
        self.malformed_events_to_send = 0

    @property
    def is_down(self):
        """Whether the ``down`` fault is active."""
        return time.monotonic() < self.down_until_s

    def rejects_address(self, address):
        """Return whether the ``down`` fault rejects calls from an address."""
        sources = tuple(self.down_source.split(","))
        return self.is_down and (address or "").startswith(sources)

    def compact_history(self):
        """Drop the change history. Does nothing by default."""

    def restore_copy(self, age_s):
        """Return to the state of some seconds ago. Does nothing by default."""

    def consume_response_drop(self):
        """Return whether to drop this response, and count it as dropped."""
        if self.responses_to_drop <= 0:
            return False
        self.responses_to_drop -= 1
        return True

    def crash(self):
        """Drop all state that a process crash loses. Does nothing by default."""

    async def handle_fault(self, request):
        """Apply the fault in the body of ``POST /faults``."""
        body = await request.json()
        fault = FaultRequest(
            body["kind"],
            body.get("seconds", 0.0),
            body.get("amount", 1.0),
            body.get("manner", ""),
            body.get("source", ""),
        )
        if fault.kind not in FAULTS:
            raise web.HTTPBadRequest(text=f"unknown fault {fault.kind!r}")
        FAULTS[fault.kind](self, fault)
        return web.json_response({"fault": fault.kind})


def drop_connection(request):
    """Reset the connection of a request.

    The returned response satisfies aiohttp and is never sent.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
