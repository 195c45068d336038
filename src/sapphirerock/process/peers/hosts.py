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
    listed : bool
        Whether the platform's list names it.
    """

    address: HostAddress
    leaving: bool = False
    dead_until_s: float = 0.0
    listed: bool = False


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

    __slots__ = ("own", "list_version", "_hosts", "_seeds", "_clock")

    def __init__(self, own, seeds, clock):
        self.own = own
        self.list_version = 0
        self._clock = clock
        self._seeds = {peer.host for peer in seeds}
        self._hosts = {peer.host: KnownHost(peer) for peer in seeds}
        self._hosts.pop(own.host, None)

    def apply_list(self, host_list):
        """Take over the platform's list if it is newer; return whether it was."""
        if host_list.version <= self.list_version:
            return False
        self.list_version = host_list.version
        for known in self._hosts.values():
            known.listed = False
        for entry in host_list.entries:
            if entry.role == "router" and entry.host != self.own.host:
                self._apply_entry(entry)
        self._forget_unlisted(bool(host_list.entries))
        return True

    def _apply_entry(self, entry):
        address = HostAddress(
            entry.host,
            entry.availability_zone,
            entry.region,
            entry.address,
            entry.caller_port,
            entry.peer_port,
        )
        known = self._hosts.setdefault(entry.host, KnownHost(address))
        known.listed = True
        known.leaving = known.leaving or entry.leaving
        if known.address != address:
            self._hosts[entry.host] = KnownHost(address, entry.leaving, listed=True)

    def _forget_unlisted(self, has_entries):
        if has_entries:
            self._hosts = {
                name: known
                for name, known in self._hosts.items()
                if known.listed or name in self._seeds
            }

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
            self._hosts[address.host] = KnownHost(address, listed=True)

    def forget(self, host):
        """Drop a host that is registered no more."""
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
