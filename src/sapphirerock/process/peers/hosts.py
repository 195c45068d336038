"""Entry hosts as far as this one knows: where they are and who is alive."""

from dataclasses import dataclass

from sapphirerock.process.settings.hostsettings import HostAddress

DEAD_FOR_S = 3.0


@dataclass(slots=True)
class KnownHost:
    """An entry host and this host's opinion of it.

    Parameters
    ----------
    address : HostAddress
        Where it is.
    leaving : bool
        Whether it is shutting down.
    dead_until_s : float
        Monotonic time until which it is taken for dead.
    """

    address: HostAddress
    leaving: bool = False
    dead_until_s: float = 0.0


class HostTable:
    """All known entry hosts but this one.

    Parameters
    ----------
    own : HostAddress
        This host.
    seeds : iterable of HostAddress
        Hosts from this host's settings.
    clock : Clock
        Source of time.
    """

    __slots__ = ("own", "_hosts", "_seeds", "_clock")

    def __init__(self, own, seeds, clock):
        self.own = own
        self._clock = clock
        self._seeds = {peer.host for peer in seeds}
        self._hosts = {peer.host: KnownHost(peer) for peer in seeds}
        self._hosts.pop(own.host, None)

    def learn(self, address):
        """Take note of a host that introduced itself."""
        known = self._hosts.get(address.host)
        if known is None or known.address != address:
            self._hosts[address.host] = KnownHost(address)
        else:
            known.leaving = False

    def learn_registered(self, address):
        """Take note of a host that stands in the store."""
        known = self._hosts.get(address.host)
        if known is None or known.address != address:
            self._hosts[address.host] = KnownHost(address)

    def forget(self, host):
        """Drop a host that is registered no more, unless the settings name it."""
        if host not in self._seeds:
            self._hosts.pop(host, None)

    def mark_leaving(self, host):
        """Take note that a host shuts down."""
        if host in self._hosts:
            self._hosts[host].leaving = True

    def mark_dead(self, host):
        """Leave a host out of choices for a while."""
        if host in self._hosts:
            self._hosts[host].dead_until_s = self._clock.monotonic() + DEAD_FOR_S

    def mark_alive(self, host):
        """Take a host for alive again."""
        if host in self._hosts:
            self._hosts[host].dead_until_s = 0.0

    def find(self, host):
        """Return the address of a host, or None."""
        known = self._hosts.get(host)
        return known.address if known else None

    def list_live(self):
        """Return the addresses of hosts that are neither dead nor leaving."""
        now_s = self._clock.monotonic()
        return [
            known.address
            for known in self._hosts.values()
            if not known.leaving and known.dead_until_s <= now_s
        ]

    def list_known(self):
        """Return the addresses of all known hosts."""
        return [known.address for known in self._hosts.values()]

    def list_zone(self):
        """Return the live hosts of this host's availability zone, with itself."""
        zone = self.own.availability_zone
        return [self.own] + [
            address for address in self.list_live() if address.availability_zone == zone
        ]
