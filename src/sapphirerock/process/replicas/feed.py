"""Distribution of the store's objects to all hosts.

In each availability zone the first hub is the watcher: it keeps a watch open on the
store and sends changes to the other hosts. The others take over in a fixed order,
only while no host ranked before them has contact with the store. So the number of
calls to the store grows with zones, not with hosts, and a host whose calls the store
rejects gets the objects from its peers. A host that starts gets them from its peers,
too: only the seeds, to which all hosts connect first, read the store at once.
"""

import asyncio

from expression import Error
from loguru import logger
from mode import Service

from sapphirerock.connection.messages import ObjectDelta, ObjectPull, PackedMessage
from sapphirerock.connection.packing import unpack_message
from sapphirerock.connection.storeobjects import (
    HistoryGone,
    ObjectEvents,
    StoreUnavailable,
    get_era,
)
from sapphirerock.decisions.duties import HUB_DUTY, rank_for_duty
from sapphirerock.decisions.replicaviews import (
    WHOLE_LIST,
    ReplicaPull,
    ReplicaView,
    choose_pull,
)
from sapphirerock.decisions.watches import choose_watch_pause
from sapphirerock.platform.contents import trim_content
from sapphirerock.process.replicas.deltas import (
    DeltaSender,
    collapse_events,
    split_changes,
)
from sapphirerock.process.replicas.feedstate import (
    NEVER_S,
    NO_CONTACT,
    WATCH_WAIT_S,
    Contact,
    FeedState,
)
from sapphirerock.process.replicas.replica import ReplicaChange

WATCHERS_PER_ZONE = 1
RETRY_PAUSE_S = 0.3
# Upper limit of the growing pause between calls to a store that rejects this host.
MAX_RETRY_PAUSE_S = 1.0
RETRY_GROWTH = 1.5
# Must exceed the wait of a watch, which returns nothing until it ends.
CONTACT_TIMEOUT_S = 2.2
# Delay between the takeovers of successive hosts in a zone's ranking.
TAKEOVER_STAGGER_S = 0.4
# A watch that lags behind a peer's change by more than this is taken as silent.
MAX_WATCH_LAG_S = 0.4
MIN_PULL_INTERVAL_S = 0.2
# A store that works answers within this time.
REFRESH_TIMEOUT_S = 0.3
# A host that starts reads the store itself if no peer has sent all objects after this
# time, in which it connects to a seed and gets a large configuration over a slow link.
START_FROM_PEERS_S = 1.0
START_POLL_S = 0.02
# A host that started from its peers leaves the watch to them for this time, in which it
# gets to know the hosts of its zone.
WATCH_SETTLE_S = 2.0
# Longer than the interval between heartbeats and a round trip.
PEER_SIGN_TIMEOUT_S = 0.7
PEER_SIGN_POLL_S = 0.05
# Time that the platform allows for registering again after an outage.
REREGISTRATION_GRACE_S = 2.0
# The platform expires an entry after three missed heartbeats, so a shorter outage
# expires none.
MIN_OUTAGE_S = 1.5
# View in a heartbeat by which a host says that it reads compressed messages.
PACKED_VIEW = "packed-messages"
# View in a heartbeat with the digests of a host's replicas by kind.
DIGESTS_VIEW = "object-digests"
# Age that stands for no contact in a heartbeat; also the highest age that is sent.
NO_CONTACT_MS = 1 << 30


class ObjectFeed(Service):
    """Keeps replicas up to date from the store and from peers.

    Parameters
    ----------
    store : StoreClient
        Calls to the store.
    kinds : list of ReplicatedKind
        Kinds to replicate.
    peers : PeerTable
        Streams to peers.
    clock : Clock
        Source of time.
    generator : random.Random
        Spreads the calls of the watchers of different zones.
    reads_store_first : bool
        Whether this host reads the store when it starts, even if peers may have the
        objects.
    """

    def __init__(
        self, store, kinds, peers, clock, generator, reads_store_first=True, **kwargs
    ):
        super().__init__(**kwargs)
        self._generator = generator
        self._store = store
        self._reads_store_first = reads_store_first
        self._started_s = clock.monotonic()
        self._batch_times_s = {item.replica.kind: item.batch_s for item in kinds}
        self._deltas = DeltaSender(peers)
        self._replicas = {item.replica.kind: item.replica for item in kinds}
        self._watch_waits_s = {item.replica.kind: item.watch_wait_s for item in kinds}
        self._states = {kind: FeedState() for kind in self._replicas}
        self._peers = peers
        self._clock = clock
        peers.register_handler(ObjectDelta, self._handle_delta)
        peers.register_handler(PackedMessage, self._handle_packed)
        peers.register_handler(ObjectPull, self._answer_pull)
        peers.on_heartbeat.append(self._compare_views)
        peers.view_sources.append(self.describe_views)

    async def on_start(self):
        """Start to replicate each kind."""
        self._started_s = self._clock.monotonic()
        for replica in self._replicas.values():
            self.add_future(self._replicate(replica))

    def describe_views(self):
        """Return [kind, newest revision, size, age in ms, host] of each replica.

        Further views tell the peer that it may send compressed messages, and the
        digests of the replicas.

        Age and host are those of the newest contact with the store: this host's
        own or, if this host is a hub, that of a host in its zone. Contacts that hubs
        report are not forwarded, so that no contact looks newer by circulating.
        """
        now_s = self._clock.monotonic()
        digests = {kind: replica.digest for kind, replica in self._replicas.items()}
        views = [
            [PACKED_VIEW, 0, 0, NO_CONTACT_MS, ""],
            [DIGESTS_VIEW, digests, 0, NO_CONTACT_MS, ""],
        ]
        for kind, replica in self._replicas.items():
            contact = self._find_reported_contact(kind)
            age_ms = min(int((now_s - contact.at_s) * 1000), NO_CONTACT_MS)
            views.append([kind, replica.newest, len(replica), age_ms, contact.host])
        return views

    def _find_reported_contact(self, kind):
        """Return the contact that this host reports to its peers."""
        state, own_host = self._states[kind], self._peers.hosts.own_address.host
        contacts = [Contact(state.own_contact_at_s, own_host)]
        if self._peers.is_hub(own_host):
            contacts += [
                state.peer_contacts.get(host, NO_CONTACT)
                for host in self._list_zone_members()
            ]
        return max(contacts, key=lambda contact: contact.at_s)

    def _list_zone_members(self):
        """Return the connected peers in this host's zone that are not hubs."""
        zone = self._peers.hosts.own_address.availability_zone
        return [
            host
            for host, stream in self._peers.streams.items()
            if stream.hello.availability_zone == zone and not self._peers.is_hub(host)
        ]

    def measure_age_s(self, kind):
        """Return the seconds since the newest known contact with the store."""
        state = self._states[kind]
        contacts = [state.own_contact_at_s]
        contacts += [contact.at_s for contact in self._list_peer_contacts(state)]
        return self._clock.monotonic() - max(contacts)

    def _list_peer_contacts(self, state):
        """Return the contacts that connected peers have reported."""
        return [
            state.peer_contacts.get(host, NO_CONTACT) for host in self._peers.streams
        ]

    @property
    def is_watcher(self):
        """Whether this host is ranked as a watcher of its zone."""
        return self._find_rank() < WATCHERS_PER_ZONE

    def is_synchronised(self, kind):
        """Return whether the replica of a kind has been complete once."""
        return self._states[kind].is_synchronised

    async def fetch(self, kind):
        """Read changes from the store without waiting; return whether it answered."""
        replica, state = self._replicas[kind], self._states[kind]
        if replica.horizon:
            read = await self._watch(replica, state, 0.0)
            if read.is_ok():
                return True
        return (await self._read_list(replica, state)).is_ok()

    async def refresh(self, kind):
        """Bring a replica up to date; return whether it is as of now.

        The store is read, or, if it does not answer, each connected peer must have
        sent something since. Peers send on changes at once.
        """
        asked_s = self._clock.monotonic()
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                has_answered = await self.fetch(kind)
        except TimeoutError:
            has_answered = False
        if has_answered:
            # After an outage, another task applies the objects.
            await asyncio.sleep(0)
            return True
        deadline_s = asked_s + REFRESH_TIMEOUT_S + PEER_SIGN_TIMEOUT_S
        while not self.has_heard_from_peers(asked_s):
            if self._clock.monotonic() > deadline_s:
                return False
            await self._clock.sleep(PEER_SIGN_POLL_S)
        return True

    def has_heard_from_peers(self, since_s):
        """Return whether each connected peer has sent something since a time.

        Not so if no peer is connected, unless no other host is known.
        """
        streams = self._peers.streams.values()
        if not streams:
            return not self._peers.hosts.list_known()
        return all(stream.last_received_s >= since_s for stream in streams)

    def _rank_zone(self):
        """Return the zone's live hosts in the order in which they become watchers."""
        hosts = self._peers.hosts
        names = [address.host for address in hosts.list_live_in_zone()]
        return rank_for_duty(names, HUB_DUTY, hosts.list_capacity_classes())

    def _find_rank(self):
        return self._rank_zone().index(self._peers.hosts.own_address.host)

    async def _replicate(self, replica):
        """Get all objects once, then watch whenever this host should."""
        state = self._states[replica.kind]
        needs_list = not await self._start_from_peers(replica)
        pause_s = RETRY_PAUSE_S
        while not self.should_stop:
            if not needs_list and not self._should_watch(replica.kind):
                await self._wait_for_lost_contact(state)
                continue
            if needs_list or replica.horizon == 0:
                read = await self._read_list(replica, state)
            else:
                read = await self._watch_until_silent(replica, state)
            needs_list = read.is_error() and isinstance(read.error, HistoryGone)
            if read.is_error() and not needs_list:
                self._record_failure(replica.kind, state, read.error)
                await self._clock.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * RETRY_GROWTH)
                continue
            pause_s = RETRY_PAUSE_S
            if read.is_ok() and has_events(read.ok):
                await self._clock.sleep(choose_watch_pause(self._generator))

    async def _start_from_peers(self, replica):
        """Wait for peers to send all objects; return whether they have.

        Objects of peers that have no contact with the store themselves may be old.
        """
        if self._reads_store_first:
            return False
        kind = replica.kind
        while not self.should_stop:
            is_current = self.measure_age_s(kind) <= CONTACT_TIMEOUT_S
            if self._states[kind].is_synchronised and replica.horizon and is_current:
                logger.bind(kind=kind, objects=len(replica)).info(
                    "objects loaded from peers"
                )
                return True
            if self._clock.monotonic() - self._started_s > START_FROM_PEERS_S:
                return False
            await self._clock.sleep(START_POLL_S)
        return False

    async def _wait_for_lost_contact(self, state):
        """Wait until a peer reports a lost contact, at most `RETRY_PAUSE_S`."""
        state.contact_lost.clear()
        try:
            async with asyncio.timeout(RETRY_PAUSE_S):
                await state.contact_lost.wait()
        except TimeoutError:
            pass

    def _should_watch(self, kind):
        """Return whether no host ranked before this one has contact with the store."""
        if not self._reads_store_first and self._leaves_watch_to_peers(kind):
            return False
        ranking = self._rank_zone()
        own_rank = ranking.index(self._peers.hosts.own_address.host)
        if own_rank < WATCHERS_PER_ZONE:
            return True
        # Contacts of lower-ranked hosts and of other zones don't count: lower-ranked
        # hosts stop watching once this host has contact, and other zones have their
        # own watchers. Two hosts that waited for each other would both stop watching.
        before = set(ranking[:own_rank])
        contacts = [
            contact.at_s
            for contact in self._list_peer_contacts(self._states[kind])
            if contact.host in before
        ]
        timeout_s = CONTACT_TIMEOUT_S - WATCH_WAIT_S + self._watch_waits_s[kind]
        overdue_s = self._clock.monotonic() - max([NEVER_S, *contacts]) - timeout_s
        return overdue_s > (own_rank - WATCHERS_PER_ZONE) * TAKEOVER_STAGGER_S

    def _leaves_watch_to_peers(self, kind):
        """Return whether this host has just started and peers have contact."""
        uptime_s = self._clock.monotonic() - self._started_s
        has_started = uptime_s > WATCH_SETTLE_S
        return not has_started and self.measure_age_s(kind) <= CONTACT_TIMEOUT_S

    async def _read_list(self, replica, state):
        read = await self._store.list_all(replica.kind)
        if read.is_ok():
            changes = [
                ReplicaChange(item.name, item.revision, item.content)
                for item in read.ok.objects
            ]
            names = [change.name for change in changes]
            self._apply_response(replica, state, 0, read.ok.revision, changes, names)
        return read

    async def _watch_until_silent(self, replica, state):
        """Watch until changes arrive or peers show that the watch is silent."""
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
            wait_s = self._watch_waits_s[replica.kind]
        after = replica.horizon
        read = await self._store.watch(replica.kind, after, wait_s)
        if read.is_ok():
            changes = collapse_events(read.ok)
            self._apply_response(replica, state, after, read.ok.revision, changes)
        return read

    def _apply_response(self, replica, state, after, revision, changes, names=None):
        """Record a contact with the store and apply what it returned."""
        now_s = self._clock.monotonic()
        away_s = now_s - state.contact_at_s
        is_recovery = state.last_call_failed and state.contact_at_s != NEVER_S
        if state.last_call_failed:
            state.last_call_failed = False
            logger.bind(kind=replica.kind, away_s=round(away_s, 2)).info(
                "store contact restored"
            )
        state.contact_at_s = now_s
        if is_recovery and away_s > MIN_OUTAGE_S and len(replica):
            self.add_future(
                self._confirm_deletions(replica, state, after, revision, changes)
            )
            return
        self._apply_and_forward(replica, after, revision, changes, None, names)

    async def _confirm_deletions(self, replica, state, after, revision, changes):
        """Apply deletions after an outage only if they outlast the grace period.

        The owners of entries that expired during the outage may register them again.
        Objects that exist are applied at once. Missing ones are deleted only if they
        are still missing after `REREGISTRATION_GRACE_S`.
        """
        present = [change for change in changes if not change.is_deletion]
        self._apply_and_forward(
            replica, replica.horizon, replica.horizon, present, None
        )
        await self._clock.sleep(REREGISTRATION_GRACE_S)
        await self._read_list(replica, state)

    def _record_failure(self, kind, state, failure):
        if not state.last_call_failed:
            state.last_call_failed = True
            logger.bind(kind=kind, cause=repr(failure)).warning("store contact lost")
            self._peers.send_heartbeats()

    def _apply_and_forward(self, replica, after, horizon, changes, source, names=None):
        """Apply changes and send those that were new to peers that may lack them.

        Returns
        -------
        bool
            Whether any change was new.
        """
        state = self._states[replica.kind]
        was_complete = replica.horizon > 0
        state.is_synchronised |= after > 0 or names is not None
        applied = replica.apply(after, horizon, changes, names)
        if source is None and replica.horizon and not was_complete:
            # Peers that start, too, can load the objects from here now.
            self._peers.send_heartbeats()
        if not applied:
            return False
        # Only the changes that were new are forwarded, not a whole list.
        batch_s = self._batch_times_s[replica.kind]
        if batch_s:
            self._deltas.add_to_batch(replica, applied, source, batch_s)
        else:
            horizon = min(horizon, replica.horizon)
            self._deltas.forward(replica, horizon, applied, source)
        return True

    def _handle_packed(self, stream, message):
        try:
            delta = unpack_message(message)
        except ValueError as error:
            logger.bind(peer=stream.host, cause=str(error)).warning(
                "packed message from peer ignored"
            )
            return
        if isinstance(delta, ObjectDelta):
            self._handle_delta(stream, delta)

    def _handle_delta(self, stream, message):
        replica = self._replicas.get(message.kind)
        if replica is not None:
            self._store.observe_era(get_era(message.horizon))
            changes = [
                make_peer_change(message.kind, *item) for item in message.changes
            ]
            if self._apply_and_forward(
                replica,
                message.after,
                message.horizon,
                changes,
                stream,
                message.all_names,
            ):
                self._check_watch_lag(replica, message.horizon)

    def _check_watch_lag(self, replica, revision):
        """Cancel the watch if it soon still lacks changes that a peer has sent."""
        watch = self._states[replica.kind].watch
        if watch is None:
            return

        def cancel_if_silent():
            if not watch.done():
                logger.bind(kind=replica.kind, revision=revision).warning(
                    "silent store watch cancelled"
                )
                watch.cancel()

        asyncio.get_running_loop().call_later(MAX_WATCH_LAG_S, cancel_if_silent)

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
            self._deltas.send_delta(delta, [stream])

    def _compare_views(self, stream, heartbeat):
        """Record a peer's contacts and pull the changes that this host lacks."""
        now_s = self._clock.monotonic()
        views = heartbeat.views
        digests = next((view[1] for view in views if view[0] == DIGESTS_VIEW), {})
        for kind, newest, size, age_ms, host in views:
            stream.accepts_packed |= kind == PACKED_VIEW
            replica = self._replicas.get(kind)
            if replica is None:
                continue
            state = self._states[kind]
            has_no_contact = age_ms >= NO_CONTACT_MS
            if (
                has_no_contact
                and state.peer_contacts.get(stream.host, NO_CONTACT) is not NO_CONTACT
            ):
                state.contact_lost.set()
            contact = (
                NO_CONTACT if has_no_contact else Contact(now_s - age_ms / 1000, host)
            )
            state.peer_contacts[stream.host] = contact
            own = ReplicaView(replica.newest, len(replica), replica.digest)
            peer = ReplicaView(newest, size, digests.get(kind))
            state.is_synchronised |= own.is_same(peer) and not has_no_contact
            last_pull = state.pulls.get(stream.host)
            after = choose_pull(own, peer, replica.horizon, last_pull, now_s)
            if after is None and not replica.horizon and not has_no_contact:
                after = WHOLE_LIST
            if after is None:
                continue
            if last_pull is None or now_s - last_pull.at_s >= MIN_PULL_INTERVAL_S:
                state.pulls[stream.host] = ReplicaPull(now_s, own, peer)
                if own.newest == peer.newest and own.newest:
                    logger.bind(
                        kind=kind, peer=stream.host, newest=newest, after=after
                    ).info("replica differs from peer's")
                stream.send(ObjectPull(kind, after))


def make_peer_change(kind, name, revision, content):
    """Return a change from a peer, which may send more than hosts keep."""
    if content is not None:
        content = trim_content(kind, name, content)
    return ReplicaChange(name, revision, content)


def has_events(result):
    """Return whether a result of the store is of a watch that returned changes."""
    return isinstance(result, ObjectEvents) and bool(result.events)
