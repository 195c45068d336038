"""Known entry hosts: their addresses and whether they are alive."""

import math
from dataclasses import dataclass

from sapphirerock.process.settings.hostsettings import HostAddress

DEAD_HOST_COOLDOWN_S = 3.0
# A host that can't be reached may be cut off and go on for this time or longer.
UNREACHABLE_HOST_TTL_S = 60.0
# A new host tells its capacity on its first stream and in its entry. One that has not
# after this time is of an earlier build.
CAPACITY_WAIT_S = 2.0
# The capacity classes are looked up anew after this time, or once one has changed.
CLASSES_TTL_S = 0.5


@dataclass(slots=True)
class KnownHost:
    """An entry host and its liveness as seen from this host.

    Parameters
    ----------
    address : HostAddress
        Name, location and ports of the host.
    is_shutting_down : bool
        Whether the host is shutting down.
    dead_until_s : float
        Monotonic time until which the host is considered dead.
    unreachable_since_s : float or None
        Monotonic time since which no connection to the host could be made.
    known_since_s : float
        Monotonic time at which the host became known.
    capacity_class : int or None
        Class of the host's capacity; None if it has not told it.
    """

    address: HostAddress
    is_shutting_down: bool = False
    dead_until_s: float = 0.0
    unreachable_since_s: float | None = None
    known_since_s: float = 0.0
    capacity_class: int | None = None


class HostTable:
    """All known entry hosts except this one.

    Parameters
    ----------
    own_address : HostAddress
        This host.
    seeds : iterable of HostAddress
        Hosts named in this host's settings, kept even without a registration.
    clock : Clock
        Source of time.
    own_class : int or None
        Capacity class of this host; None if capacities are not used.
    """

    __slots__ = (
        "own_address",
        "own_class",
        "_hosts",
        "_seeds",
        "_clock",
        "_classes",
        "_classes_until_s",
    )

    def __init__(self, own_address, seeds, clock, own_class=None):
        self.own_address = own_address
        self.own_class = own_class
        self._clock = clock
        self._classes = {}
        self._classes_until_s = -math.inf
        self._seeds = {peer.host for peer in seeds}
        self._hosts = {peer.host: KnownHost(peer) for peer in seeds}
        self._hosts.pop(own_address.host, None)

    def update_from_handshake(self, address):
        """Add or update a host after a handshake, which shows that it is running."""
        known = self._hosts.get(address.host)
        if known is None or known.address != address:
            self._add(address)
        else:
            known.is_shutting_down = False

    def update_from_registration(self, address, capacity_class=None):
        """Add or update a host from its registration in the store."""
        known = self._hosts.get(address.host)
        if known is None or known.address != address:
            self._add(address)
        if capacity_class is not None:
            self.note_capacity(address.host, capacity_class)

    def _add(self, address):
        now_s = self._clock.monotonic()
        self._hosts[address.host] = KnownHost(address, known_since_s=now_s)
        self._classes_until_s = -math.inf

    def note_capacity(self, host, capacity_class):
        """Record the capacity class that a host has told."""
        known = self._hosts.get(host)
        if known is not None and known.capacity_class != capacity_class:
            known.capacity_class = capacity_class
            self._classes_until_s = -math.inf

    def list_capacity_classes(self):
        """Return the capacity class of each host; none unless all hosts tell theirs.

        Returns
        -------
        dict of str to int
        """
        now_s = self._clock.monotonic()
        if now_s >= self._classes_until_s:
            self._classes = self._collect_classes()
            self._classes_until_s = now_s + CLASSES_TTL_S
        return self._classes

    def _collect_classes(self):
        if self.own_class is None:
            return {}
        oldest_s = self._clock.monotonic() - CAPACITY_WAIT_S
        classes = {self.own_address.host: self.own_class}
        for name, known in self._hosts.items():
            if known.capacity_class is not None:
                classes[name] = known.capacity_class
            elif known.known_since_s <= oldest_s and not known.is_shutting_down:
                return {}
        return classes

    def remove(self, host):
        """Drop a host whose registration has ended, unless the settings name it."""
        if host not in self._seeds:
            self._hosts.pop(host, None)
            self._classes_until_s = -math.inf

    def mark_shutting_down(self, host):
        """Record that a host is shutting down."""
        if host in self._hosts:
            self._hosts[host].is_shutting_down = True

    def mark_dead(self, host):
        """Consider a host dead for `DEAD_HOST_COOLDOWN_S`."""
        known = self._hosts.get(host)
        if known is None:
            return
        now_s = self._clock.monotonic()
        known.dead_until_s = now_s + DEAD_HOST_COOLDOWN_S
        if known.unreachable_since_s is None:
            known.unreachable_since_s = now_s

    def mark_alive(self, host):
        """End the time for which a host is considered dead."""
        if host in self._hosts:
            self._hosts[host].dead_until_s = 0.0
            self._hosts[host].unreachable_since_s = None

    def find(self, host):
        """Return the address of a host, or None."""
        known = self._hosts.get(host)
        return known.address if known else None

    def list_live(self):
        """Return the addresses of hosts that are neither dead nor shutting down."""
        now_s = self._clock.monotonic()
        return [
            known.address
            for known in self._hosts.values()
            if not known.is_shutting_down and known.dead_until_s <= now_s
        ]

    def list_dead(self):
        """Return the names of hosts that are considered dead."""
        now_s = self._clock.monotonic()
        return [
            name for name, known in self._hosts.items() if known.dead_until_s > now_s
        ]

    def count_possibly_running(self):
        """Return the number of hosts that may be running, this one included.

        Hosts that became unreachable within `UNREACHABLE_HOST_TTL_S` count.
        """
        oldest_s = self._clock.monotonic() - UNREACHABLE_HOST_TTL_S
        return 1 + sum(
            not known.is_shutting_down
            and (
                known.unreachable_since_s is None
                or known.unreachable_since_s >= oldest_s
            )
            for known in self._hosts.values()
        )

    def count_reachable(self):
        """Return the number of running hosts that can be reached, this one included."""
        return 1 + sum(
            not known.is_shutting_down and known.unreachable_since_s is None
            for known in self._hosts.values()
        )

    def can_reach_all(self):
        """Return whether all known hosts can be reached that are not shutting down."""
        return all(
            known.is_shutting_down or known.unreachable_since_s is None
            for known in self._hosts.values()
        )

    def list_known(self):
        """Return the addresses of all known hosts."""
        return [known.address for known in self._hosts.values()]

    def list_live_in_zone(self):
        """Return the live hosts of this host's availability zone, itself included."""
        zone = self.own_address.availability_zone
        return [self.own_address] + [
            address for address in self.list_live() if address.availability_zone == zone
        ]
