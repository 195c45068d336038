"""How settings and the list of hosts reach every host.

Two hosts of each availability zone, chosen by rendezvous among the live ones,
keep a watch on the platform. The others get versions from their peers: pushed
when they are new, pulled when a heartbeat shows that a peer has more.
"""

import asyncio

from mode import Service

from sapphirerock.connection.messages import SettingsDelta, SettingsPull
from sapphirerock.connection.platform import HostEntry, HostList
from sapphirerock.process.peers.gossip import HostsNews
from sapphirerock.process.peers.rendezvous import rank_candidates
from sapphirerock.process.settings.store import SETTINGS_PREFIX

WATCHERS_PER_ZONE = 2
WATCH_WAIT_S = 2.0
HOSTS_INTERVAL_S = 1.0
RETRY_PAUSE_S = 0.3
START_BOUND_S = 1.5
DELTA_LIMIT_BYTES = 1 << 20
PULL_PAUSE_S = 0.2


class SettingsSpread(Service):
    """Watches, pushes and pulls of one host.

    Parameters
    ----------
    store : SettingsStore
        The settings in force.
    platform : PlatformClient
        Where settings are accepted.
    peers : PeerTable
        Streams to peers.
    gossip : Gossip
        Carries the list of hosts.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, platform, peers, gossip, clock, **kwargs):
        super().__init__(**kwargs)
        self.is_synchronised = False
        self._store = store
        self._platform = platform
        self._peers = peers
        self._gossip = gossip
        self._clock = clock
        self._last_pull_s = {}
        self._list_listeners = []
        peers.read_horizon = lambda: store.horizon
        peers.register_handler(SettingsDelta, self._take_delta)
        peers.register_handler(SettingsPull, self._answer_pull)
        peers.on_heartbeat.append(self._compare_horizon)
        peers.on_connect.append(self._push_hosts)
        gossip.subscribe(HostsNews, self._take_hosts)
        self._newest_hosts = None

    def subscribe_hosts(self, listener):
        """Call a function with each newer list of hosts."""
        self._list_listeners.append(listener)

    @property
    def is_watcher(self):
        """Whether this host is to watch the platform for its zone."""
        hosts = self._peers.hosts
        names = [address.host for address in hosts.list_zone()]
        return hosts.own.host in rank_candidates(names, "watch")[:WATCHERS_PER_ZONE]

    async def fetch(self, wait_s=0.0):
        """Read what changed in the platform; return whether it answered."""
        after = self._store.horizon
        read = await self._platform.watch(SETTINGS_PREFIX, after, wait_s)
        if read.is_error():
            return False
        self.is_synchronised = True
        objects = [
            (
                change.path,
                change.version,
                None if change.deleted else change.value.encode(),
            )
            for change in read.ok.changes
        ]
        self._apply(after, read.ok.horizon, objects, None)
        return True

    def _apply(self, after, horizon, objects, source):
        """Take over changes and push them on if they are new."""
        if not self._store.apply(after, horizon, objects):
            return
        delta = SettingsDelta(after, horizon, [list(item) for item in objects])
        self._peers.send_all(delta, "settings", lambda stream: stream is not source)

    def _take_delta(self, stream, message):
        self.is_synchronised = True
        objects = [tuple(item) for item in message.objects]
        self._apply(message.after, message.horizon, objects, stream)

    def _answer_pull(self, stream, message):
        """Send what a peer lacks, in parts of bounded size."""
        after, part, size = message.after, [], 0
        for change in self._store.list_changes(message.after):
            part.append(change)
            size += len(change[2] or b"")
            if size > DELTA_LIMIT_BYTES:
                self._send_part(stream, after, change[1], part)
                after, part, size = change[1], [], 0
        self._send_part(stream, after, self._store.horizon, part)

    def _send_part(self, stream, after, horizon, part):
        size = stream.send(SettingsDelta(after, horizon, part))
        self._peers.count_bytes(stream, "settings", size)

    def _compare_horizon(self, stream, heartbeat):
        if heartbeat.settings_horizon <= self._store.horizon:
            return
        now_s = self._clock.monotonic()
        if now_s - self._last_pull_s.get(stream.host, -PULL_PAUSE_S) >= PULL_PAUSE_S:
            self._last_pull_s[stream.host] = now_s
            stream.send(SettingsPull(self._store.horizon))

    def _push_hosts(self, stream):
        if self._newest_hosts is not None:
            self._gossip.spread(self._newest_hosts)

    def _take_hosts(self, news):
        entries = tuple(HostEntry(*fields) for fields in news.entries)
        host_list = HostList(news.version, entries)
        if self._peers.hosts.apply_list(host_list):
            self._newest_hosts = news
            for listener in self._list_listeners:
                listener(host_list)

    @Service.task
    async def _watch_settings(self):
        await self._start()
        while not self.should_stop:
            if not self.is_watcher or not await self.fetch(WATCH_WAIT_S):
                await self._clock.sleep(RETRY_PAUSE_S)

    async def _start(self):
        """Read the platform once and give peers a moment to show what they have."""
        try:
            async with asyncio.timeout(START_BOUND_S):
                await self.fetch()
        except TimeoutError:
            pass

    @Service.task
    async def _watch_hosts(self):
        while not self.should_stop:
            if self.is_watcher:
                await self._fetch_hosts()
            await self._clock.sleep(HOSTS_INTERVAL_S)

    async def _fetch_hosts(self):
        read = await self._platform.list_hosts()
        if read.is_ok() and read.ok.version > self._peers.hosts.list_version:
            entries = [
                [getattr(entry, name) for name in HostEntry.__slots__]
                for entry in read.ok.entries
            ]
            self._gossip.spread(HostsNews(read.ok.version, entries))
