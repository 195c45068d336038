"""The driver's side of the journal: writes tokens ahead to one peer, the holder.

Appends to one holder are batched: while one batch is in flight, further appends
queue up for the next. A token is released to its caller once the holder has
acknowledged it or after `RELEASE_TIMEOUT_S`. In the second case it is counted as
unprotected.
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

OPEN_TIMEOUT_S = 0.15
RELEASE_TIMEOUT_S = 0.02
ACK_TIMEOUT_S = 1.0
HOLDER_ASSIGN_INTERVAL_S = 0.5
CANDIDATES_PER_ZONE = 2


@dataclass(slots=True, frozen=True)
class OpenResult:
    """Result of opening the journal of a key.

    Parameters
    ----------
    holder : str
        Host that keeps the journal from now on; empty if there is none.
    record : JournalRecordMessage or None
        The existing record, if the key had one.
    """

    holder: str
    record: JournalRecordMessage | None


class JournalClient(Service):
    """Journals of the generations that this host drives.

    Parameters
    ----------
    peers : PeerTable
        Connections to holders.
    store : JournalStore
        Records that this host itself holds.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts released tokens, and those released unprotected.
    enabled : bool
        If False, every token is released at once without a journal.
    """

    def __init__(self, peers, store, clock, metrics, enabled=True, **kwargs):
        super().__init__(**kwargs)
        self.enabled = enabled
        self._peers = peers
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._queues = {}
        self._unassigned = set()
        self._tasks = BackgroundTasks()

    def rank_holders(self, key):
        """Return the hosts to choose a new holder from, in order of preference.

        Hosts in other availability zones of this host's region come first, so that
        the loss of one zone loses no tokens. Other regions are never used.
        """
        own_address = self._peers.hosts.own_address
        near, far = [], []
        for address in self._peers.hosts.list_live():
            if address.region == own_address.region:
                same_zone = address.availability_zone == own_address.availability_zone
                (near if same_zone else far).append(address.host)
        return rank_candidates(far, key) + rank_candidates(near, key)

    def list_candidates(self, key):
        """Return the peers that may already hold a key's journal.

        Each zone of the region contributes its first candidates, because a driver in
        any of them may have written the journal.
        """
        own_address = self._peers.hosts.own_address
        zones = {own_address.availability_zone: [own_address.host]}
        for address in self._peers.hosts.list_live():
            if address.region == own_address.region:
                zones.setdefault(address.availability_zone, []).append(address.host)
        candidates = set()
        for names in zones.values():
            candidates.update(rank_candidates(names, key)[:CANDIDATES_PER_ZONE])
        return candidates - {own_address.host}

    async def open(self, organisation, key, digest, generation_id, branch, hint=""):
        """Find the record of a key and choose the holder of its journal.

        Parameters
        ----------
        organisation, key : str
            The generation's organisation and idempotency key.
        digest : bytes
            Digest of the request's body.
        generation_id, branch : str
            Id to use if the generation is new, and the branch of this driver.
        hint : str
            Host that the caller's last event id names as the holder; empty for none.

        Returns
        -------
        OpenResult
        """
        if not self.enabled:
            return OpenResult("", None)
        rendezvous_key = make_rendezvous_key(organisation, key)
        request = JournalOpen(organisation, key, digest, generation_id, branch)
        ranked = self.rank_holders(rendezvous_key)
        opened, other_holder = await asyncio.gather(
            self._open_first(ranked, request),
            self._find_other_holder(rendezvous_key, ranked[:1], hint, request),
        )
        if opened.record is not None:
            return opened
        local = self._store.find(organisation, key)
        if local is not None:
            record = self._store.open(request)
            return OpenResult(opened.holder, record)
        if other_holder:
            return await self._open_first([other_holder], request)
        return opened

    async def _open_first(self, hosts, request):
        """Open the journal on the first host that answers and mark the others dead."""
        for host in hosts[: CANDIDATES_PER_ZONE + 1]:
            answer = await self._peers.ask(host, request, OPEN_TIMEOUT_S)
            if answer.is_ok():
                record = answer.ok if answer.ok.found else None
                return OpenResult(host, record)
            self._peers.hosts.mark_dead(host)
        return OpenResult("", None)

    async def _find_other_holder(self, rendezvous_key, asked, hint, request):
        """Return the host with the longest record of a key, "" for none.

        Hosts in `asked` are left out.
        """
        hosts = self.list_candidates(rendezvous_key) - set(asked)
        if hint and hint != self._peers.hosts.own_address.host:
            hosts.add(hint)
        question = JournalFind(request.organisation, request.key)
        answers = await asyncio.gather(
            *(self._peers.ask(host, question, OPEN_TIMEOUT_S) for host in hosts)
        )
        best_host, most_bytes = "", -1
        for host, answer in zip(hosts, answers, strict=True):
            if (
                answer.is_ok()
                and answer.ok.found
                and len(answer.ok.tokens) > most_bytes
            ):
                best_host, most_bytes = host, len(answer.ok.tokens)
        return best_host

    def append(self, generation, offset):
        """Write tokens from an offset on to the holder before they are released."""
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
        """Return an append that names the engine only if it has changed."""
        source = (generation.upstream, generation.incarnation)
        if source == generation.journaled_source:
            source = ("", "")
        else:
            generation.journaled_source = source
        return PendingAppend(generation, offset, end, *source, generation.finish_reason)

    def _release_unprotected(self, generation, end, count):
        """Release tokens before `end` and count `count` of them as unprotected."""
        if count > 0:
            if self.enabled:
                self._metrics.tokens_unprotected.inc(count)
            self._count_released(generation, end)
        generation.release(end)

    def _count_released(self, generation, end):
        if end > generation.released_end:
            self._metrics.tokens.inc(end - generation.released_end)

    async def _send_batches(self, queue):
        try:
            while queue.pending:
                batch = queue.pop_all()
                append_task = self._tasks.spawn(self._send_batch(queue.host, batch))
                done, _ = await asyncio.wait({append_task}, timeout=RELEASE_TIMEOUT_S)
                if not done:
                    for item in batch:
                        count = item.end - max(
                            item.offset, item.generation.released_end
                        )
                        self._release_unprotected(item.generation, item.end, count)
        finally:
            queue.is_sending = False

    async def _send_batch(self, host, batch):
        message = JournalAppend([item.to_entry() for item in batch])
        reached = await self._peers.get_stream(host)
        if reached.is_error():
            self._handle_holder_failure(host, batch)
            return
        stream = reached.ok
        before = stream.sent_bytes
        answer = await stream.ask(message, ACK_TIMEOUT_S)
        self._peers.count_bytes(stream, "journal", stream.sent_bytes - before)
        if answer.is_error():
            self._handle_holder_failure(host, batch)
            return
        self._handle_acknowledgement(batch, answer.ok)

    def _handle_acknowledgement(self, batch, acknowledgement):
        for item in batch:
            generation = item.generation
            if generation.generation_id in acknowledgement.superseded:
                generation.fail(make_superseded_problem())
            elif generation.generation_id in acknowledgement.unknown:
                self._assign_holder_later(generation)
            else:
                generation.journaled_end = max(generation.journaled_end, item.end)
                self._count_released(generation, item.end)
                generation.release(item.end)

    def _handle_holder_failure(self, host, batch):
        self._peers.hosts.mark_dead(host)
        for item in batch:
            if item.generation.holder == host:
                self._assign_holder_later(item.generation)
            self._release_unprotected(
                item.generation,
                item.end,
                item.end - max(item.offset, item.generation.released_end),
            )

    def _assign_holder_later(self, generation):
        generation.holder = ""
        if needs_journal(generation) and generation not in self._unassigned:
            self._unassigned.add(generation)
            self._tasks.spawn(self._assign_holder(generation))

    def add_unassigned(self, generation):
        """Register a generation without a holder, to be assigned one later."""
        if self.enabled:
            self._unassigned.add(generation)

    async def _assign_holder(self, generation):
        """Send the whole generation to the first host that accepts it as holder."""
        key = make_rendezvous_key(generation.organisation.name, generation.key)
        end = len(generation.tokens)
        for host in self.rank_holders(key)[:CANDIDATES_PER_ZONE]:
            answer = await self._peers.ask(
                host, make_backfill(generation, end), ACK_TIMEOUT_S
            )
            if answer.is_error():
                self._peers.hosts.mark_dead(host)
                continue
            self._unassigned.discard(generation)
            if generation.generation_id in answer.ok.superseded:
                generation.fail(make_superseded_problem())
                return
            self._confirm_holder(generation, host, end)
            return
        self._release_unprotected(generation, end, end - generation.released_end)

    def _confirm_holder(self, generation, host, end):
        """Set a new holder, which has all tokens before `end`, and append the rest."""
        generation.holder = host
        generation.journaled_end = max(generation.journaled_end, end)
        generation.journaled_source = None
        self._count_released(generation, end)
        generation.release(end)
        if len(generation.tokens) > end:
            self.append(generation, end)

    def close(self, generation):
        """Have the holder remove a generation that callers no longer need."""
        self._unassigned.discard(generation)
        stream = self._peers.streams.get(generation.holder)
        if stream is not None:
            stream.send(JournalClose([generation.generation_id]))

    @Service.task
    async def _maintain_holders(self):
        while not self.should_stop:
            await self._clock.sleep(HOLDER_ASSIGN_INTERVAL_S)
            self._store.prune()
            for generation in list(self._unassigned):
                if needs_journal(generation):
                    await self._assign_holder(generation)
                else:
                    self._unassigned.discard(generation)


def needs_journal(generation):
    """Return whether a generation has neither failed nor released all its tokens."""
    return generation.problem is None and not generation.is_fully_released


def make_rendezvous_key(organisation, key):
    """Return the key by which hosts are ranked as holders of a generation."""
    return f"{organisation}\0{key}"


def make_superseded_problem():
    """Return the problem of a generation that another driver has taken over."""
    return Problem(SUPERSEDED, "another connection took the generation over", 0)
