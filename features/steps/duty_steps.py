"""Steps on the choice of hosts for duties."""

from behave import given, then, when
from tools.localfleet import Fleet

from sapphirerock.decisions.duties import (
    HUB_DUTY,
    HostCapacity,
    classify_capacity,
    rank_for_duty,
)
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.process.peers.owners import find_owner
from sapphirerock.process.peers.table import HUBS_PER_ZONE
from sapphirerock.process.settings.hostsettings import HostAddress

ENGINES = tuple(f"engine-{number}" for number in range(40))


@given("a host with {cores:g} cores, {memory:g} MB and {link:g} Mbit/s")
def make_capacity(context, cores, memory, link):
    context.capacity = HostCapacity(cores, memory, link)


@then("its capacity class is {expected:d}")
def check_class(context, expected):
    assert classify_capacity(context.capacity) == expected


@given("a fleet of {count:d} hosts in 6 zones, {large:d} of them large in each")
def make_unequal_fleet(context, count, large):
    context.fleet = Fleet(count, large)


def list_hubs(host):
    """Return the hubs of all zones as a host sees them."""
    host.peers.choose_neighbours()
    return sorted(host.peers._all_hubs)


def list_watchers(host):
    """Return the order in which the hosts of a host's zone watch the store."""
    names = [address.host for address in host.hosts.list_live_in_zone()]
    return rank_for_duty(names, HUB_DUTY, host.hosts.list_capacity_classes())


def list_small(fleet):
    return {host.name for host in fleet.hosts if not host.hosts.own_class}


@then("only large hosts are hubs, watchers and owners, and all hosts agree on them")
def check_duties(context):
    small = list_small(context.fleet)
    hubs, owners = set(), set()
    for host in context.fleet.hosts[::7]:
        hubs.add(tuple(list_hubs(host)))
        owners.add(tuple(find_owner(host.peers, name) for name in ENGINES))
        assert list_watchers(host)[0] not in small
    assert len(hubs) == len(owners) == 1
    (hubs,), (owners,) = hubs, owners
    assert small.isdisjoint(hubs) and small.isdisjoint(owners), (hubs, owners)
    assert len(set(owners)) > len(ENGINES) / 8


@when("the large hosts of a zone end")
def end_large_hosts(context):
    fleet = context.fleet
    ended = {host.name for host in fleet.hosts[-18:] if host.address.host[:2] == "a1"}
    fleet.hosts = [host for host in fleet.hosts if host.name not in ended]
    for host in fleet.hosts:
        for name in ended:
            host.hosts.mark_dead(name)
    assert len(ended) == 3, ended


@then("a small host of that zone is its first hub")
def check_small_hub(context):
    small = list_small(context.fleet)
    hubs = [name for name in list_hubs(context.fleet.hosts[5]) if name[:2] == "a1"]
    assert len(hubs) == 1 and small.issuperset(hubs), hubs


@when("a host that {tells} its capacity becomes known, and {after:g} s pass")
def add_host(context, tells, after):
    host = context.fleet.hosts[0].hosts
    host.update_from_handshake(HostAddress("a1-new", "a1", "a", "127.0.0.1", 1, 2))
    if tells == "tells":
        host.note_capacity("a1-new", 0)
    context.fleet.clock.advance(after)


@then("only large hosts are hubs")
def check_large_hubs(context):
    hubs = list_hubs(context.fleet.hosts[0])
    assert list_small(context.fleet).isdisjoint(hubs), hubs
    assert "a1-new" not in hubs


@then("hubs are chosen as if all hosts were equal")
def check_equal_hubs(context):
    host = context.fleet.hosts[0]
    names = [item.name for item in context.fleet.hosts if item.name[:2] == "b2"]
    expected = rank_candidates(names, HUB_DUTY)[:HUBS_PER_ZONE]
    hubs = [name for name in list_hubs(host) if name[:2] == "b2"]
    assert hubs == sorted(expected), (hubs, expected)
