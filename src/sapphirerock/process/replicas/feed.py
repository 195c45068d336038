"""How objects of the store reach every host.

In each availability zone the first hub keeps a watch on the store and tells the
others, who read the store themselves, one after the other, only while nobody in the
zone is in contact with it. So calls to the store grow with zones, not with hosts, and
a host that the store turns away learns from its peers.
"""

import asyncio
from dataclasses import dataclass

import orjson
from expression import Error
from loguru import logger
from mode import Service

from sapphirerock.connection.messages import ObjectDelta, ObjectPull
from sapphirerock.connection.storeobjects import HistoryGone, StoreUnavailable
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.process.replicas.replica import Replica, ReplicaChange

WATCHERS_PER_ZONE = 1
# Bounds how late a watch that went silent is noticed; each wait is one call.
WATCH_WAIT_S = 1.0
RETRY_PAUSE_S = 0.3
# A store that turns this host away is asked again after at most this long.
MAX_RETRY_PAUSE_S = 1.0
RETRY_GROWTH = 1.5
# A watch that waits says nothing, so a contact counts for more than that.
CONTACT_LIFE_S = 2.2
# Hosts take over from a zone's watcher one after the other.
TAKEOVER_STEP_S = 0.4
# A peer's change that an own watch has not shown by now means that it is silent.
WATCH_LAG_S = 0.4
PULL_PAUSE_S = 0.2
# A message that a link of 5 Mbit/s carries within a second.
DELTA_LIMIT_BYTES = 512 << 10
# Time that the platform gives entries to come back after it was away.
RETURN_GRACE_S = 2.0
# Entries lapse after three missed heartbeats; shorter outages end none.
OUTAGE_S = 1.5
NEVER_S = -1e9
NO_CONTACT_MS = 1 << 30


@dataclass(slots=True, frozen=True)
class Contact:
    """A host's last contact with the store.

    Parameters
    ----------
    at_s : float
        Monotonic time, `NEVER_S` for none.
    host : str
        The host that had it.
    """

    at_s: float
    host: str


NO_CONTACT = Contact(NEVER_S, "")


class FeedState:
    """What a feed knows of contacts with the store.

    Attributes
    ----------
    contact_at_s : float
        Monotonic time at which this host last heard from the store.
    is_lost : bool
        Whether this host's last call failed.
    is_synchronised : bool
        Whether the store or a peer has told all that there is.
    peers : dict of str to Contact
        The last contact that each peer tells of.
    watch : asyncio.Task or None
        The call that waits for changes.
    turn : asyncio.Event
        Set when it may have become this host's turn to watch.
    """

    __slots__ = (
        "contact_at_s",
        "is_lost",
        "is_synchronised",
        "peers",
        "pulled_at_s",
        "watch",
        "turn",
    )

    def __init__(self):
        self.contact_at_s = NEVER_S
        self.is_lost = False
        self.is_synchronised = False
        self.peers = {}
        self.pulled_at_s = {}
        self.watch = None
        self.turn = asyncio.Event()

    @property
    def own_contact_s(self):
        """Time of this host's last contact, `NEVER_S` once it is lost."""
        return NEVER_S if self.is_lost else self.contact_at_s


@dataclass(slots=True, frozen=True)
class FollowedKind:
    """A kind of objects to follow.

    Parameters
    ----------
    replica : Replica
        Where they are kept.
    watch_wait_s : float
        Time that a watch waits, in seconds; longer for what may come late.
    """

    replica: Replica
    watch_wait_s: float = WATCH_WAIT_S


class ObjectFeed(Service):
    """Keeps replicas up to date from the store and from peers.

    Parameters
    ----------
    store : StoreClient
        Calls to the store.
    kinds : list of FollowedKind
        Kinds to follow.
    peers : PeerTable
        Streams to peers.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, kinds, peers, clock, **kwargs):
        super().__init__(**kwargs)
        self._store = store
        self._replicas = {item.replica.kind: item.replica for item in kinds}
        self._waits_s = {item.replica.kind: item.watch_wait_s for item in kinds}
        self._states = {kind: FeedState() for kind in self._replicas}
        self._peers = peers
        self._clock = clock
        peers.register_handler(ObjectDelta, self._take_delta)
        peers.register_handler(ObjectPull, self._answer_pull)
        peers.on_heartbeat.append(self._compare_views)
        peers.describe_views = self.describe_views

    async def on_start(self):
        """Follow each kind."""
        for replica in self._replicas.values():
            self.add_future(self._follow(replica))

    def describe_views(self):
        """Return [kind, newest, size, age in milliseconds, host] of each replica.

        The age is that of a contact with the store: this host's own, or, from a
        hub, that of a host of its zone. What hubs say is not passed on, so that no
        contact is made to look newer by going round.
        """
        now_s = self._clock.monotonic()
        views = []
        for kind, replica in self._replicas.items():
            contact = self._find_contact(kind)
            age_ms = min(int((now_s - contact.at_s) * 1000), NO_CONTACT_MS)
            views.append([kind, replica.newest, len(replica), age_ms, contact.host])
        return views

    def _find_contact(self, kind):
        """Return the contact that this host tells of."""
        state, own = self._states[kind], self._peers.hosts.own.host
        contacts = [Contact(state.own_contact_s, own)]
        if self._peers.is_hub(own):
            contacts += [
                state.peers.get(host, NO_CONTACT) for host in self._list_members()
            ]
        return max(contacts, key=lambda contact: contact.at_s)

    def _list_members(self):
        """Return the peers of the own zone that are no hubs."""
        zone = self._peers.hosts.own.availability_zone
        return [
            host
            for host, stream in self._peers.streams.items()
            if stream.hello.availability_zone == zone and not self._peers.is_hub(host)
        ]

    def measure_age_s(self, kind):
        """Return the time since a contact with the store is known of, in seconds."""
        state = self._states[kind]
        contacts = [state.own_contact_s]
        contacts += [contact.at_s for contact in self._list_contacts(state)]
        return self._clock.monotonic() - max(contacts)

    def _list_contacts(self, state):
        """Return the contacts that connected peers tell of."""
        return [state.peers.get(host, NO_CONTACT) for host in self._peers.streams]

    @property
    def is_watcher(self):
        """Whether this host is to watch the store for its zone."""
        return self._find_rank() < WATCHERS_PER_ZONE

    def is_synchronised(self, kind):
        """Return whether all that there is of a kind has been heard once."""
        return self._states[kind].is_synchronised

    async def fetch(self, kind):
        """Read what changed in the store; return whether it answered."""
        replica, state = self._replicas[kind], self._states[kind]
        if replica.horizon:
            read = await self._watch(replica, state, 0.0)
            if read.is_ok():
                return True
        return (await self._read_list(replica, state)).is_ok()

    def _rank_zone(self):
        """Return the live hosts of the zone in the order in which they watch."""
        names = [address.host for address in self._peers.hosts.list_zone()]
        return rank_candidates(names, "hub")

    def _find_rank(self):
        return self._rank_zone().index(self._peers.hosts.own.host)

    async def _follow(self, replica):
        """Read the list once, then watch while it is this host's turn."""
        state = self._states[replica.kind]
        needs_list, pause_s = True, RETRY_PAUSE_S
        while not self.should_stop:
            if not needs_list and not self._is_due(replica.kind):
                await self._wait_turn(state)
                continue
            if needs_list or replica.horizon == 0:
                read = await self._read_list(replica, state)
            else:
                read = await self._watch_until_silent(replica, state)
            needs_list = read.is_error() and isinstance(read.error, HistoryGone)
            if read.is_error() and not needs_list:
                self._note_loss(replica.kind, state, read.error)
                await self._clock.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * RETRY_GROWTH)
            else:
                pause_s = RETRY_PAUSE_S

    async def _wait_turn(self, state):
        """Wait until a peer tells of a lost contact, or for a moment."""
        state.turn.clear()
        try:
            async with asyncio.timeout(RETRY_PAUSE_S):
                await state.turn.wait()
        except TimeoutError:
            pass

    def _is_due(self, kind):
        """Return whether this host is to watch: no host before it has contact."""
        ranking = self._rank_zone()
        own = ranking.index(self._peers.hosts.own.host)
        if own < WATCHERS_PER_ZONE:
            return True
        # Those after this host stop once it has contact, and other zones have
        # watchers of their own: two hosts that waited for each other would both stop.
        before = set(ranking[:own])
        contacts = [
            contact.at_s
            for contact in self._list_contacts(self._states[kind])
            if contact.host in before
        ]
        life_s = CONTACT_LIFE_S - WATCH_WAIT_S + self._waits_s[kind]
        starved_s = self._clock.monotonic() - max([NEVER_S, *contacts]) - life_s
        return starved_s > (own - WATCHERS_PER_ZONE) * TAKEOVER_STEP_S

    async def _read_list(self, replica, state):
        read = await self._store.list_all(replica.kind)
        if read.is_ok():
            changes = [
                ReplicaChange(item.name, item.revision, item.spec)
                for item in read.ok.objects
            ]
            names = [change.name for change in changes]
            self._take_contact(replica, state, 0, read.ok.revision, changes, names)
        return read

    async def _watch_until_silent(self, replica, state):
        """Watch, unless peers show that the watch has gone silent."""
        state.watch = asyncio.ensure_future(self._watch(replica, state))
        try:
            await asyncio.wait([state.watch])
            if state.watch.cancelled():
                return Error(StoreUnavailable("the watch is silent"))
            return state.watch.result()
        finally:
            state.watch.cancel()
            state.watch = None

    async def _watch(self, replica, state, wait_s=None):
        if wait_s is None:
            wait_s = self._waits_s[replica.kind]
        after = replica.horizon
        read = await self._store.watch(replica.kind, after, wait_s)
        if read.is_ok():
            changes = collapse_events(read.ok)
            self._take_contact(replica, state, after, read.ok.revision, changes)
        return read

    def _take_contact(self, replica, state, after, revision, changes, names=None):
        """Take over what the store said."""
        now_s = self._clock.monotonic()
        away_s = now_s - state.contact_at_s
        returned = state.is_lost and state.contact_at_s != NEVER_S
        if state.is_lost:
            state.is_lost = False
            logger.bind(kind=replica.kind, away_s=round(away_s, 2)).info(
                "store regained"
            )
        state.contact_at_s = now_s
        if returned and away_s > OUTAGE_S and len(replica):
            self.add_future(self._confirm(replica, state, after, revision, changes))
            return
        self._apply(replica, after, revision, changes, None, names)

    async def _confirm(self, replica, state, after, revision, changes):
        """Give entries that lapsed while the store was away time to come back.

        What is there is taken over at once; what is missing only if it is still
        missing afterwards.
        """
        present = [change for change in changes if not change.is_deletion]
        self._apply(replica, replica.horizon, replica.horizon, present, None)
        await self._clock.sleep(RETURN_GRACE_S)
        await self._read_list(replica, state)

    def _note_loss(self, kind, state, failure):
        if not state.is_lost:
            state.is_lost = True
            logger.bind(kind=kind, cause=repr(failure)).warning("store lost")
            self._peers.beat_all()

    def _apply(self, replica, after, horizon, changes, source, names=None):
        """Take over changes and tell peers of those that are new.

        Returns
        -------
        bool
            Whether there were any.
        """
        state = self._states[replica.kind]
        state.is_synchronised |= after > 0 or names is not None
        taken = replica.apply(after, horizon, changes, names)
        if not taken:
            return False
        # What is passed on are the changes that were new, not a whole list.
        packed = [pack_change(change) for change in taken]
        horizon = min(horizon, replica.horizon)
        delta = ObjectDelta(replica.kind, replica.newest, horizon, packed, None)
        self._peers.send_all(delta, "objects", lambda stream: stream is not source)
        return True

    def _take_delta(self, stream, message):
        replica = self._replicas.get(message.kind)
        if replica is not None:
            changes = [ReplicaChange(*item) for item in message.changes]
            if self._apply(
                replica,
                message.after,
                message.horizon,
                changes,
                stream,
                message.all_names,
            ):
                self._check_watch(replica, message.horizon)

    def _check_watch(self, replica, revision):
        """End a watch that has not shown what a peer learned from its own."""
        watch = self._states[replica.kind].watch
        if watch is None:
            return

        def compare():
            if not watch.done():
                logger.bind(kind=replica.kind, revision=revision).warning(
                    "watch is silent"
                )
                watch.cancel()

        asyncio.get_running_loop().call_later(WATCH_LAG_S, compare)

    def _answer_pull(self, stream, message):
        replica = self._replicas.get(message.kind)
        if replica is None or not replica.horizon:
            return
        after, changes = replica.list_changes(message.after)
        parts = split_changes(changes)
        for number, part in enumerate(parts, 1):
            is_last = number == len(parts)
            if after == 0:
                names = replica.list_names() if is_last else None
                delta = ObjectDelta(replica.kind, 0, replica.horizon, part, names)
            else:
                horizon = replica.horizon if is_last else part[-1][1]
                delta = ObjectDelta(replica.kind, after, horizon, part, None)
                after = horizon
            self._peers.count_bytes(stream, "objects", stream.send(delta))

    def _compare_views(self, stream, heartbeat):
        """Ask a peer for what it has and this host lacks."""
        now_s = self._clock.monotonic()
        for kind, newest, size, age_ms, host in heartbeat.views:
            replica = self._replicas.get(kind)
            if replica is None:
                continue
            state = self._states[kind]
            lost = age_ms >= NO_CONTACT_MS
            if lost and state.peers.get(stream.host, NO_CONTACT) is not NO_CONTACT:
                state.turn.set()
            contact = NO_CONTACT if lost else Contact(now_s - age_ms / 1000, host)
            state.peers[stream.host] = contact
            same = (newest, size) == (replica.newest, len(replica))
            state.is_synchronised |= same and not lost
            differs = newest == replica.newest and size != len(replica)
            if newest <= replica.newest and not differs:
                continue
            if now_s - state.pulled_at_s.get(stream.host, NEVER_S) >= PULL_PAUSE_S:
                state.pulled_at_s[stream.host] = now_s
                stream.send(ObjectPull(kind, 0 if differs else replica.horizon))


def pack_change(change):
    """Return a change as peers send it."""
    return [change.name, change.revision, change.spec]


def split_changes(changes):
    """Return changes as peers send them, in parts of bounded size; at least one."""
    parts, size = [[]], 0
    for change in changes:
        packed = pack_change(change)
        size += len(orjson.dumps(packed))
        if size > DELTA_LIMIT_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(packed)
    return parts


def collapse_events(read):
    """Return the last change of each object that a watch names.

    A deletion takes the revision that the watch reached: the object's own is that
    of a state before it.
    """
    last = {}
    for event in read.events:
        last[event.object.name] = event
    return [
        ReplicaChange(event.object.name, read.revision, None)
        if event.is_deleted
        else ReplicaChange(event.object.name, event.object.revision, event.object.spec)
        for event in last.values()
    ]
