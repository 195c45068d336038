"""The host that owns a thing which all hosts share, such as an engine's turns."""

from sapphirerock.decisions.duties import pick_for_duty


def find_owner(peers, name, without=None):
    """Return the live host that owns a thing, or None.

    Parameters
    ----------
    peers : PeerTable
        Streams to the other hosts.
    name : str
        Name of the thing.
    without : str or None
        Host that is left out.
    """
    names = [address.host for address in peers.hosts.list_live()]
    if not peers.is_shutting_down:
        names.append(peers.hosts.own_address.host)
    candidates = [host for host in names if host != without]
    return pick_for_duty(candidates, name, peers.hosts.list_capacity_classes())
