"""Fair queue, which shares a service among organisations by their weights.

Uses start-time fair queueing: each organisation has a virtual time that advances by the
cost of its requests divided by its weight. Requests are ordered by priority, and
within a priority by virtual start time, so that the organisation that has received the
least service for its weight goes first. Within a priority, requests that have missed
their target go after those that can still meet it: under overload, serving requests in
the order of arrival would make all of them late.
"""

import asyncio
import itertools
import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request.

    Parameters
    ----------
    organisation : str
        Organisation of the request.
    weight : int
        Weight of the organisation.
    priority : int
        Higher priorities are served first.
    cost : float
        Work charged to the organisation for the request, in a unit that is the same for
        all requests of the queue, such as tokens.
    deadline_s : float
        Monotonic time after which the request no longer waits.
    admitted : asyncio.Future
        Done once the request may start or is refused; the owner of the queue sets it.
    target_s : float
        Latest monotonic time at which the request can start and still meet its latency
        target.
    arrival_number : int
        Position in the order of arrival, set by the queue.
    virtual_start : float
        Virtual start time, set by the queue.
    """

    organisation: str
    weight: int
    priority: int
    cost: float
    deadline_s: float
    admitted: asyncio.Future
    target_s: float = math.inf
    arrival_number: int = 0
    virtual_start: float = 0.0


class FairQueue:
    """Requests of one service that wait for an upstream."""

    __slots__ = ("_waiting", "_virtual_finish_times", "_virtual_time", "_sequence")

    def __init__(self):
        self._waiting = []
        self._virtual_finish_times = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self):
        return len(self._waiting)

    def push(self, ticket):
        """Add a request; set its arrival number and its virtual start time."""
        ticket.arrival_number = next(self._sequence)
        ticket.virtual_start = max(
            self._virtual_time, self._virtual_finish_times.get(ticket.organisation, 0.0)
        )
        virtual_finish = ticket.virtual_start + ticket.cost / ticket.weight
        self._virtual_finish_times[ticket.organisation] = virtual_finish
        self._waiting.append(ticket)

    def pop(self):
        """Remove and return the next request, or None if the queue is empty.

        Targets are not considered here, only in `list_waiting`.
        """
        if not self._waiting:
            return None
        return self.pop_ticket(min(self._waiting, key=rank_ticket))

    def pop_ticket(self, ticket):
        """Remove and return a given request; advance the virtual time to its start."""
        self._waiting.remove(ticket)
        self._virtual_time = max(self._virtual_time, ticket.virtual_start)
        if not self._waiting:
            self._virtual_finish_times.clear()
            self._virtual_time = 0.0
        return ticket

    def remove(self, ticket):
        """Remove a request that will not be served, if it is still queued."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def count_ahead(self, ticket):
        """Return how many waiting requests are served before a given one."""
        rank = rank_ticket(ticket)
        return sum(rank_ticket(other) < rank for other in self._waiting)

    def list_waiting(self, now_s=-math.inf):
        """Return the waiting requests in the order of service.

        Parameters
        ----------
        now_s : float
            Monotonic time; requests whose target lies before it go last.
        """
        return sorted(
            self._waiting,
            key=lambda ticket: (
                -ticket.priority,
                ticket.target_s < now_s,
                *rank_ticket(ticket),
            ),
        )


def rank_ticket(ticket):
    """Return the sort key of a ticket; the smallest is served first."""
    return -ticket.priority, ticket.virtual_start, ticket.arrival_number
