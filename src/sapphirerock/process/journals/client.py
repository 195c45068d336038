"""The driver's side of the journal: tokens are written ahead to one peer.

Appends to one holder are batched by themselves: while a batch is under way the
next one gathers. A token is released to its caller when the holder has it, or
after a short bound, which is counted as unprotected.
"""

import asyncio
from dataclasses import dataclass

from mode import Service

from sapphirerock.connection.messages import (
    JournalAppend,
    JournalClose,
    JournalFind,
    JournalOpen,
    JournalRecordMessage,
)
from sapphirerock.decisions.rendezvous import rank_candidates
from sapphirerock.process.journals.appends import (
    HolderQueue,
    PendingAppend,
    make_backfill,
)
from sapphirerock.process.tasks import BackgroundTasks
from sapphirerock.request.problem import SUPERSEDED, Problem

OPEN_BOUND_S = 0.15
RELEASE_BOUND_S = 0.02
ACK_BOUND_S = 1.0
REHOME_INTERVAL_S = 0.5
CANDIDATES_PER_ZONE = 2


@dataclass(slots=True, frozen=True)
class Opening:
    """What the journal says of a key.

    Parameters
    ----------
    holder : str
        Host that keeps the generation from now on; empty for none.
    record : JournalRecordMessage or None
        What was known before, if anything was.
    """

    holder: str
    record: JournalRecordMessage | None


class JournalClient(Service):
    """Journals of the generations that this host drives.

    Parameters
    ----------
    peers : PeerTable
        Streams to holders.
    store : JournalStore
        Records that this host itself holds.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts what was released unprotected.
    enabled : bool
        Without a journal every token is released at once.
    """

    def __init__(self, peers, store, clock, metrics, enabled=True, **kwargs):
        super().__init__(**kwargs)
        self.enabled = enabled
        self._peers = peers
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._queues = {}
        self._homeless = set()
        self._tasks = BackgroundTasks()

    def rank_holders(self, key):
        """Return hosts that may hold a key, the preferred one first.

        Hosts of other availability zones of the own region come first, so that
        the loss of a zone takes no prefix; other regions are never used.
        """
        own = self._peers.hosts.own
        near, far = [], []
        for address in self._peers.hosts.list_live():
            if address.region == own.region:
                same_zone = address.availability_zone == own.availability_zone
                (near if same_zone else far).append(address.host)
        return rank_candidates(far, key) + rank_candidates(near, key)

    def list_candidates(self, key):
        """Return hosts that may hold a key for a driver on any host."""
        own = self._peers.hosts.own
        zones = {own.availability_zone: [own.host]}
        for address in self._peers.hosts.list_live():
            if address.region == own.region:
                zones.setdefault(address.availability_zone, []).append(address.host)
        candidates = set()
        for names in zones.values():
            candidates.update(rank_candidates(names, key)[:CANDIDATES_PER_ZONE])
        return candidates - {own.host}

    async def open(self, organisation, key, digest, generation_id, branch, hint=""):
        """Find what is known of a key and choose its holder.

        Parameters
        ----------
        organisation, key : str
            Whose generation, and its idempotency key.
        digest : bytes
            Digest of the request's body.
        generation_id, branch : str
            Ids to use for a new generation and for this driver.
        hint : str
            Host that the caller's event id names as the holder.

        Returns
        -------
        Opening
        """
        if not self.enabled:
            return Opening("", None)
        rendezvous_key = make_rendezvous_key(organisation, key)
        request = JournalOpen(organisation, key, digest, generation_id, branch)
        ranked = self.rank_holders(rendezvous_key)
        opened, found = await asyncio.gather(
            self._open_first(ranked, request),
            self._find_elsewhere(rendezvous_key, ranked[:1], hint, request),
        )
        if opened.record is not None:
            return opened
        local = self._store.find(organisation, key)
        if local is not None:
            record = self._store.open(request)
            return Opening(opened.holder, record)
        if found:
            return await self._open_first([found], request)
        return opened

    async def _open_first(self, hosts, request):
        for host in hosts[: CANDIDATES_PER_ZONE + 1]:
            answer = await self._peers.ask(host, request, OPEN_BOUND_S)
            if answer.is_ok():
                record = answer.ok if answer.ok.found else None
                return Opening(host, record)
            self._peers.hosts.mark_dead(host)
        return Opening("", None)

    async def _find_elsewhere(self, rendezvous_key, asked, hint, request):
        hosts = self.list_candidates(rendezvous_key) - set(asked)
        if hint and hint != self._peers.hosts.own.host:
            hosts.add(hint)
        question = JournalFind(request.organisation, request.key)
        answers = await asyncio.gather(
            *(self._peers.ask(host, question, OPEN_BOUND_S) for host in hosts)
        )
        best, most = "", -1
        for host, answer in zip(hosts, answers, strict=True):
            if answer.is_ok() and answer.ok.found and len(answer.ok.tokens) > most:
                best, most = host, len(answer.ok.tokens)
        return best

    def append(self, generation, offset):
        """Write a generation's tokens from an offset on ahead of their release."""
        end = len(generation.tokens)
        if not generation.holder:
            self._release_unprotected(generation, end, end - offset)
            return
        queue = self._queues.get(generation.holder)
        if queue is None:
            queue = self._queues[generation.holder] = HolderQueue(generation.holder)
        queue.pending.append(self._make_append(generation, offset, end))
        if not queue.is_sending:
            queue.is_sending = True
            self._tasks.spawn(self._send_batches(queue))

    def _make_append(self, generation, offset, end):
        """Return an append that names the engine only when it has changed."""
        source = (generation.upstream, generation.incarnation)
        if source == generation.journaled_source:
            source = ("", "")
        else:
            generation.journaled_source = source
        return PendingAppend(generation, offset, end, *source, generation.finish_reason)

    def _release_unprotected(self, generation, end, count):
        if count > 0:
            if self.enabled:
                self._metrics.tokens_unprotected.inc(count)
            self._count_released(generation, end)
        generation.release(end)

    def _count_released(self, generation, end):
        if end > generation.released:
            self._metrics.tokens.inc(end - generation.released)

    async def _send_batches(self, queue):
        try:
            while queue.pending:
                batch = queue.take_batch()
                asked = self._tasks.spawn(self._ask_append(queue.host, batch))
                done, _ = await asyncio.wait({asked}, timeout=RELEASE_BOUND_S)
                if not done:
                    for item in batch:
                        count = item.end - max(item.offset, item.generation.released)
                        self._release_unprotected(item.generation, item.end, count)
        finally:
            queue.is_sending = False

    async def _ask_append(self, host, batch):
        message = JournalAppend([item.to_entry() for item in batch])
        reached = await self._peers.reach(host)
        if reached.is_error():
            self._lose_holder(host, batch)
            return
        stream = reached.ok
        before = stream.sent_bytes
        answer = await stream.ask(message, ACK_BOUND_S)
        self._peers.count_bytes(stream, "journal", stream.sent_bytes - before)
        if answer.is_error():
            self._lose_holder(host, batch)
            return
        self._take_acknowledgement(batch, answer.ok)

    def _take_acknowledgement(self, batch, acknowledgement):
        for item in batch:
            generation = item.generation
            if generation.generation_id in acknowledgement.superseded:
                generation.fail(make_superseded())
            elif generation.generation_id in acknowledgement.unknown:
                self._rehome_later(generation)
            else:
                generation.journaled = max(generation.journaled, item.end)
                self._count_released(generation, item.end)
                generation.release(item.end)

    def _lose_holder(self, host, batch):
        self._peers.hosts.mark_dead(host)
        for item in batch:
            if item.generation.holder == host:
                self._rehome_later(item.generation)
            self._release_unprotected(
                item.generation,
                item.end,
                item.end - max(item.offset, item.generation.released),
            )

    def _rehome_later(self, generation):
        generation.holder = ""
        if needs_journal(generation) and generation not in self._homeless:
            self._homeless.add(generation)
            self._tasks.spawn(self._rehome(generation))

    def watch_homeless(self, generation):
        """Look for a holder for a generation that started without one."""
        if self.enabled:
            self._homeless.add(generation)

    async def _rehome(self, generation):
        """Give a generation whole to the first holder that takes it."""
        key = make_rendezvous_key(generation.organisation.name, generation.key)
        end = len(generation.tokens)
        for host in self.rank_holders(key)[:CANDIDATES_PER_ZONE]:
            answer = await self._peers.ask(
                host, make_backfill(generation, end), ACK_BOUND_S
            )
            if answer.is_error():
                self._peers.hosts.mark_dead(host)
                continue
            self._homeless.discard(generation)
            if generation.generation_id in answer.ok.superseded:
                generation.fail(make_superseded())
                return
            self._settle(generation, host, end)
            return
        self._release_unprotected(generation, end, end - generation.released)

    def _settle(self, generation, host, end):
        """Go on with a new holder that has all tokens before an offset."""
        generation.holder = host
        generation.journaled = max(generation.journaled, end)
        generation.journaled_source = None
        self._count_released(generation, end)
        generation.release(end)
        if len(generation.tokens) > end:
            self.append(generation, end)

    def close(self, generation):
        """Tell the holder that nobody will ask for a generation."""
        self._homeless.discard(generation)
        stream = self._peers.streams.get(generation.holder)
        if stream is not None:
            stream.send(JournalClose([generation.generation_id]))

    @Service.task
    async def _keep_homes(self):
        while not self.should_stop:
            await self._clock.sleep(REHOME_INTERVAL_S)
            self._store.prune()
            for generation in list(self._homeless):
                if needs_journal(generation):
                    await self._rehome(generation)
                else:
                    self._homeless.discard(generation)


def needs_journal(generation):
    """Return whether callers may still ask for a generation's tokens."""
    return generation.problem is None and not generation.is_finished


def make_rendezvous_key(organisation, key):
    """Return the text that decides who may hold a generation."""
    return f"{organisation}\0{key}"


def make_superseded():
    """Return the answer of a driver whose generation another host took over."""
    return Problem(SUPERSEDED, "another connection took the generation over", 0)
