"""Which hosts take the duties that a few hosts do for all.

Handles fleets of unequal hosts, where most have half a core and a narrow link: the
names of hosts alone would give most duties to them. Hosts of the highest capacity class
come first, and rendezvous hashing decides among equals. Until each host has told its
capacity, as hosts of earlier builds never do, all count as equal, so that all hosts
make the same choice.

=======================  ==========================  =================================
duty                     candidates                  who asks
=======================  ==========================  =================================
hubs                     hosts of a zone             `PeerTable.choose_neighbours`
watcher of the store     hosts of a zone             `ObjectFeed`, in the order of hubs
owner of turns           all hosts, for each engine  `EngineLimitTable`
owner of slots           all hosts, for each engine  `EngineSlotTable`
writer of origins        all hosts                   `StoredOrigins`
writer of a version      all hosts                   `VersionHistory`
=======================  ==========================  =================================
"""

import math
from dataclasses import dataclass

from sapphirerock.decisions.rendezvous import pick_candidate, rank_candidates

HUB_DUTY = "hub"


@dataclass(slots=True, frozen=True)
class HostCapacity:
    """What a process may use of its host.

    Parameters
    ----------
    cores : float
        Processor cores.
    memory_mb : float
        Memory, in MB.
    link_mbps : float
        Bandwidth of the network link, in Mbit/s.
    """

    cores: float
    memory_mb: float
    link_mbps: float


# A host of the lowest class; each further class has twice as much of everything.
LOWEST_CAPACITY = HostCapacity(cores=0.5, memory_mb=128.0, link_mbps=20.0)


def classify_capacity(capacity):
    """Return the class of a host, by its scarcest resource; 0 is the lowest."""
    ratio = min(
        capacity.cores / LOWEST_CAPACITY.cores,
        capacity.memory_mb / LOWEST_CAPACITY.memory_mb,
        capacity.link_mbps / LOWEST_CAPACITY.link_mbps,
    )
    return max(0, math.floor(math.log2(ratio))) if ratio > 0 else 0


def rank_for_duty(names, duty, classes):
    """Return hosts in the order in which they take a duty.

    Parameters
    ----------
    names : list of str
        The candidates.
    duty : str
        Name of the duty.
    classes : dict of str to int
        Capacity class of each host; empty if not all are known.
    """
    ranked = []
    for group in _group_by_class(names, classes):
        ranked += rank_candidates(group, duty)
    return ranked


def pick_for_duty(names, duty, classes):
    """Return the host that takes a duty, or None if there are no candidates."""
    groups = _group_by_class(names, classes)
    return pick_candidate(groups[0], duty) if groups else None


def _group_by_class(names, classes):
    """Return the candidates of each class, the highest class first."""
    groups = {}
    for name in names:
        groups.setdefault(classes.get(name, 0), []).append(name)
    return [groups[key] for key in sorted(groups, reverse=True)]
