"""Faults that every stand-in takes over HTTP: `POST /faults`."""

import asyncio
import os
import signal
import time

from aiohttp import web

FAULTS = {}
EXIT_STATUS_KILLED = 137


def register_fault(kind):
    """Register a function ``(standin, order)`` under the name of a fault."""

    def register(function):
        FAULTS[kind] = function
        return function

    return register


class FaultOrder:
    """One fault as ordered.

    Parameters
    ----------
    kind : str
        Name in the registry.
    seconds : float
        How long, where that applies.
    amount : float
        How much or how many, where that applies.
    manner : str
        In which way, where there are several.
    source : str
        What the addresses of those that meet it begin with, separated by commas;
        empty for all.
    """

    __slots__ = ("kind", "seconds", "amount", "manner", "source")

    def __init__(self, kind, seconds=0.0, amount=1.0, manner="", source=""):
        self.kind = kind
        self.seconds = seconds
        self.amount = amount
        self.manner = manner
        self.source = source


@register_fault("die")
def exit_at_once(standin, order):
    """End the process without a word."""
    os.kill(os.getpid(), signal.SIGKILL)


@register_fault("freeze")
def block_process(standin, order):
    """Stop everything for a while, then go on as if nothing had happened."""
    asyncio.get_running_loop().call_later(0.01, time.sleep, order.seconds)


@register_fault("crash")
def crash_and_restart(standin, order):
    """Lose all work and connections and come back as a new incarnation."""
    standin.crash()


@register_fault("reset-connections")
def reset_connections(standin, order):
    """Reset the connections open now and go on."""
    standin.reset_connections()


@register_fault("silence")
def silence_connections(standin, order):
    """Send nothing more on connections open now; accept new ones."""
    standin.silent_before = standin.connection_count


@register_fault("slow")
def slow_down(standin, order):
    """Multiply the time that each step takes."""
    standin.slowness = order.amount


@register_fault("down")
def refuse_all(standin, order):
    """Turn calls away for a while: busy, many, reset or silent; from some or all."""
    standin.down_until = time.monotonic() + order.seconds
    standin.down_manner = order.manner or "busy"
    standin.down_source = order.source


@register_fault("lose-answer")
def lose_answers(standin, order):
    """Drop the answers of the next calls after their effect."""
    standin.answers_to_lose = int(order.amount)


@register_fault("stale")
def answer_stale(standin, order):
    """Answer reads with what stood some seconds ago; those that allow it, or all."""
    standin.stale_s = order.seconds
    standin.all_stale = order.manner != "allowed"


@register_fault("forget-history")
def forget_history(standin, order):
    """Drop the changes so far: watches from before them can't go on."""
    standin.forget_history()


@register_fault("lapse")
def lapse_objects(standin, order):
    """Drop all objects of the kind that is named."""
    standin.lapse(order.manner)


@register_fault("occupy")
def occupy_slots(standin, order):
    """Let a sister firm take a number of slots."""
    standin.occupied = int(order.amount)


@register_fault("garble")
def garble_streams(standin, order):
    """Send events that no engine should send, this many of them."""
    standin.garbled_events = int(order.amount)


@register_fault("leave")
def start_leaving(standin, order):
    """Say that this upstream is leaving."""
    standin.leaving = True


class FaultState:
    """What the faults set; stand-ins derive from it."""

    def __init__(self):
        self.connection_count = 0
        self.silent_before = 0
        self.slowness = 1.0
        self.down_until = 0.0
        self.down_manner = "busy"
        self.down_source = ""
        self.all_stale = False
        self.answers_to_lose = 0
        self.stale_s = 0.0
        self.occupied = 0
        self.leaving = False
        self.garbled_events = 0

    @property
    def is_down(self):
        """Whether calls are to be refused."""
        return time.monotonic() < self.down_until

    def turns_away(self, address):
        """Return whether calls from an address are to be refused."""
        sources = tuple(self.down_source.split(","))
        return self.is_down and (address or "").startswith(sources)

    def forget_history(self):
        """Drop what a watch could go back to."""

    def take_lost_answer(self):
        """Return whether this answer is to be dropped."""
        if self.answers_to_lose <= 0:
            return False
        self.answers_to_lose -= 1
        return True

    def crash(self):
        """Lose everything that a process loses."""

    async def handle_fault(self, request):
        """Answer ``POST /faults``."""
        body = await request.json()
        order = FaultOrder(
            body["kind"],
            body.get("seconds", 0.0),
            body.get("amount", 1.0),
            body.get("manner", ""),
            body.get("source", ""),
        )
        if order.kind not in FAULTS:
            raise web.HTTPBadRequest(text=f"unknown fault {order.kind!r}")
        FAULTS[order.kind](self, order)
        return web.json_response({"fault": order.kind})


def drop_connection(request):
    """Close a caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
