"""A queue that shares a service among organisations by weight.

Start-time fair queueing: each organisation has a virtual time that grows with
the work it was given, divided by its weight. The next request is that of the
highest priority, and among those of the organisation furthest behind. A request that
has missed its target goes after those that can still make theirs: under overload,
first come first served would make all of them late.
"""

import asyncio
import itertools
import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits.

    Parameters
    ----------
    organisation : str
        Whose request.
    weight : int
        Share of the organisation.
    priority : int
        Higher goes first.
    cost : float
        Work that it is counted as.
    deadline_s : float
        Monotonic time at which it is given up.
    target_s : float
        Monotonic time until which it must start to be on time.
    admitted : asyncio.Future
        Done once the request may go.
    """

    organisation: str
    weight: int
    priority: int
    cost: float
    deadline_s: float
    admitted: asyncio.Future
    target_s: float = math.inf
    number: int = 0
    start: float = 0.0


class FairQueue:
    """Requests of one service that wait for an upstream."""

    __slots__ = ("_waiting", "_finish", "_virtual", "_numbers")

    def __init__(self):
        self._waiting = []
        self._finish = {}
        self._virtual = 0.0
        self._numbers = itertools.count()

    def __len__(self):
        return len(self._waiting)

    def push(self, ticket):
        """Add a request."""
        ticket.number = next(self._numbers)
        ticket.start = max(self._virtual, self._finish.get(ticket.organisation, 0.0))
        finish = ticket.start + ticket.cost / ticket.weight
        self._finish[ticket.organisation] = finish
        self._waiting.append(ticket)

    def pop(self):
        """Remove and return the request that is next, or None."""
        if not self._waiting:
            return None
        return self.pop_ticket(min(self._waiting, key=rank_ticket))

    def pop_ticket(self, ticket):
        """Remove and return a request that starts now."""
        self._waiting.remove(ticket)
        self._virtual = max(self._virtual, ticket.start)
        if not self._waiting:
            self._finish.clear()
            self._virtual = 0.0
        return ticket

    def remove(self, ticket):
        """Take out a request that nobody waits for any more."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def count_ahead(self, ticket):
        """Return how many requests go before one."""
        rank = rank_ticket(ticket)
        return sum(rank_ticket(other) < rank for other in self._waiting)

    def list_waiting(self, now_s=-math.inf):
        """Return all waiting requests in their order at a moment."""
        return sorted(
            self._waiting,
            key=lambda ticket: (
                -ticket.priority,
                ticket.target_s < now_s,
                *rank_ticket(ticket),
            ),
        )


def rank_ticket(ticket):
    """Return the key that tickets are served by."""
    return -ticket.priority, ticket.start, ticket.number
