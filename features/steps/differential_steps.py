"""Steps that compare the ledger and the journal with naive versions."""

import asyncio
import random
from array import array

from behave import given, then
from hypothesis import given as over
from hypothesis import settings
from hypothesis import strategies as st
from tools.memoryplatform import MemoryPlatform

from sapphirerock.connection.messages import JournalAppend, JournalOpen
from sapphirerock.process.clock import ManualClock
from sapphirerock.process.journals.store import (
    TOKEN_TYPE,
    JournalStore,
    is_resumable,
    unpack_tokens,
)
from sapphirerock.process.orders.bucket import (
    DONE,
    RELEASED,
    LedgerEntry,
    make_entry_key,
)
from sapphirerock.process.orders.ledger import ENTRY_RETENTION_S, Ledger
from sapphirerock.request.generation import Generation

SPLIT_BYTES = 30_000
FAULT_KINDS = {
    "no faults": (),
    "lost answers": ("lose",),
    "lost answers and outages": ("lose", "refuse"),
    "lost answers, outages, stale reads": ("lose", "refuse", "stale"),
}


@given("a store in memory with {faults}")
def choose_faults(context, faults):
    context.faults = FAULT_KINDS[faults]


def make_ledgers(platform, count, **options):
    clock = ManualClock(1_000_000.0)
    return [
        Ledger(platform, None, clock, seed=number, **options) for number in range(count)
    ]


def make_schedule(faults):
    """Return a strategy of (faults of calls, groups of simultaneous claims)."""
    claim = st.tuples(st.integers(0, 2), st.integers(0, 4))
    return st.tuples(
        st.lists(st.sampled_from(("", "", *faults)), max_size=60),
        st.lists(st.lists(claim, min_size=1, max_size=5), max_size=8),
    )


@then("over {examples:d} schedules no key has two claimants, as in one dictionary")
def compare_ledger(context, examples):
    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @over(make_schedule(context.faults))
    def check(schedule):
        context.run(run_ledger_schedule(*schedule))

    check()


async def run_ledger_schedule(faults, groups):
    platform = MemoryPlatform(faults)
    ledgers = make_ledgers(platform, 3)
    naive = {}
    attempts = 0
    for group in groups:
        entries = []
        for host, number in group:
            attempts += 1
            key = make_entry_key("stock", "weavers", f"key-{number}")
            entry = LedgerEntry(key, f"attempt-{attempts}", "body", at_s=1_000_000.0)
            entries.append((host, entry))
        results = await asyncio.gather(
            *(ledgers[host].submit("stock", entry) for host, entry in entries)
        )
        for (_, entry), result in zip(entries, results, strict=True):
            if result.is_ok():
                standing = naive.setdefault(entry.key, result.ok.claimant)
                assert standing == result.ok.claimant
    for key, entry in platform.collect_entries().items():
        assert naive.get(key, entry.claimant) == entry.claimant
    assert naive.keys() <= platform.collect_entries().keys()


@then("{count:d} claims from {hosts:d} hosts stand once each after splits")
def check_splits(context, count, hosts):
    async def run():
        generator = random.Random(5)
        faults = ["lose" if generator.random() < 0.02 else "" for _ in range(20_000)]
        platform = MemoryPlatform(faults)
        ledgers = make_ledgers(platform, hosts, split_bytes=SPLIT_BYTES)
        claimants = {}
        for number in range(count):
            # All keys share their first bits, so that one bucket has to split.
            key = f"{0:04x}{generator.getrandbits(112):028x}"
            entry = LedgerEntry(key, f"attempt-{number}", "body", at_s=1_000_000.0)
            ledger = ledgers[number % hosts]
            result = await ledger.submit("stock", entry)
            assert result.is_ok() and result.ok.claimant == entry.claimant
            outcome = LedgerEntry(
                key, entry.claimant, "body", DONE, 201, "text/plain", "x" * 300, 1e6
            )
            assert (await ledger.submit("stock", outcome)).is_ok()
            claimants[key] = entry.claimant
        standing = platform.collect_entries()
        assert {key: entry.claimant for key, entry in standing.items()} == claimants
        assert all(entry.state == DONE for entry in standing.values())
        assert len(platform.objects) > 3
        key, claimant = next(iter(claimants.items()))
        again = await ledgers[0].submit("stock", LedgerEntry(key, "other", "body"))
        assert again.ok.claimant == claimant
        released = await ledgers[0].submit(
            "stock", LedgerEntry(key, "other", "body", RELEASED)
        )
        assert released.ok.claimant == claimant

    context.run(run())


@then("{count:d} claims at once take at most {writes:d} writes")
def check_group_commit(context, count, writes):
    async def run():
        platform = MemoryPlatform()
        (ledger,) = make_ledgers(platform, 1)
        entries = [
            LedgerEntry(
                make_entry_key("stock", "weavers", str(number)), str(number), "body"
            )
            for number in range(count)
        ]
        entries = [
            LedgerEntry(entry.key, entry.claimant, "body", at_s=1e6)
            for entry in entries
        ]
        results = await asyncio.gather(
            *(ledger.submit("stock", entry) for entry in entries)
        )
        assert all(result.is_ok() for result in results)
        assert platform.writes <= writes, platform.writes

    context.run(run())


class JournalWorld:
    """One generation, its holder, drivers that come and go, and a caller.

    A token is the number of its driver times 1000 plus its offset, so that a
    mixed answer shows.
    """

    def __init__(self):
        self.store = JournalStore(ManualClock())
        self.drivers = []
        self.messages = []
        self.caller_tokens = []
        self.caller_branch = ""
        self.take_over()

    def take_over(self):
        """Let a new driver open the journal."""
        branch = f"b{len(self.drivers)}"
        record = self.store.open(JournalOpen("o", "k", b"d", "g", branch))
        tokens = list(unpack_tokens(record.tokens))
        self.drivers.append([branch, tokens, len(tokens)])

    def decode(self, driver, count):
        """Let a driver, old or new, get tokens and send them to the holder."""
        number = driver % len(self.drivers)
        branch, tokens, _ = self.drivers[number]
        offset = len(tokens)
        made = [1000 * number + offset + step for step in range(count)]
        tokens.extend(made)
        packed = array(TOKEN_TYPE, made).tobytes()
        self.messages.append((number, ["g", branch, offset, packed, "e", "i", ""]))

    def deliver(self, position, keep):
        """Deliver a message, late or doubled, and release what it acknowledges."""
        if not self.messages:
            return
        position %= len(self.messages)
        number, entry = self.messages[position]
        if not keep:
            del self.messages[position]
        acknowledgement = self.store.append(JournalAppend([entry]))
        if not acknowledgement.superseded and not acknowledgement.unknown:
            driver = self.drivers[number]
            end = entry[2] + len(unpack_tokens(entry[3]))
            driver[2] = max(driver[2], end)

    def read(self, driver):
        """Let the caller read on from a driver, as its event id allows."""
        branch, tokens, released = self.drivers[driver % len(self.drivers)]
        if self.caller_branch != branch:
            if not self._may_resume(branch):
                self.caller_tokens = []
            self.caller_branch = branch
        self.caller_tokens += tokens[len(self.caller_tokens) : released]

    def _may_resume(self, branch):
        """Return whether the caller may go on; only the last driver takes callers."""
        if branch != self.drivers[-1][0] or not self.caller_tokens:
            return False
        history = self.store.find("o", "k").history
        return is_resumable(history, self.caller_branch, len(self.caller_tokens) - 1)

    def check(self):
        """Compare what the caller has with the one list that the holder has."""
        standing = list(self.store.find("o", "k").tokens)
        assert self.caller_tokens == standing[: len(self.caller_tokens)]


JOURNAL_STEP = st.one_of(
    st.tuples(st.just("decode"), st.integers(0, 5), st.integers(1, 3)),
    st.tuples(st.just("deliver"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("read"), st.integers(0, 5)),
    st.tuples(st.just("take_over")),
)


@then(
    "over {examples:d} schedules of late, doubled and crossed messages a caller that "
    "goes on has one list's tokens"
)
def compare_journal(context, examples):
    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @over(st.lists(JOURNAL_STEP, max_size=60))
    def check(steps):
        world = JournalWorld()
        for name, *arguments in steps:
            getattr(world, name)(*arguments)
            world.check()

    check()


@then(
    "over {examples:d} schedules of repeated, late and early events a generation takes "
    "each token once"
)
def compare_relay(context, examples):
    event = st.tuples(st.integers(0, 30), st.integers(0, 6))

    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @over(st.lists(event, max_size=60), st.integers(0, 10), st.integers(0, 10))
    def check(events, known, start):
        answer = list(range(100, 140))
        start = min(start, known)
        generation = Generation(
            "g", None, "k", None, "b", [["b", 0]], answer[:known], start
        )
        naive = start
        for offset, count in events:
            tokens = answer[offset : offset + count]
            text = " ".join(map(str, tokens))
            follows = offset == naive and bool(tokens)
            assert generation.accept(offset, tokens, text) == follows
            naive += len(tokens) if follows else 0
        assert generation.tokens == answer[: max(naive, known)]
        generation.release(naive)
        read = [
            token
            for segment in generation.find_segments(start)
            for token in segment.tokens
        ]
        assert read == answer[start:naive]

    check()


@then(
    "of {old:d} claims a day old and {new:d} new ones in one bucket the new ones stand"
)
def check_pruning(context, old, new):
    async def run():
        platform = MemoryPlatform()
        (ledger,) = make_ledgers(platform, 1)
        now_s = ledger.clock.now().timestamp()
        for number in range(old + new):
            # All keys share their first bits, and so their bucket.
            key = f"{number:032x}"
            at_s = now_s - (ENTRY_RETENTION_S + 1 if number < old else 0)
            entry = LedgerEntry(key, f"attempt-{number}", "body", at_s=at_s)
            assert (await ledger.submit("stock", entry)).is_ok()
        standing = platform.collect_entries()
        assert sorted(standing) == [
            f"{number:032x}" for number in range(old, old + new)
        ]

    context.run(run())
