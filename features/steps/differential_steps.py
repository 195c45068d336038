"""Steps that compare the order ledger and the journal with reference models."""

import asyncio
import random
from array import array

from behave import given, then
from hypothesis import given as for_all
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
    "lost responses": ("lose",),
    "lost responses and outages": ("lose", "refuse"),
    "lost responses, outages and stale reads": ("lose", "refuse", "stale"),
}


@given("an in-memory store with {faults}")
def set_store_faults(context, faults):
    context.faults = FAULT_KINDS[faults]


def make_ledgers(platform, count, **options):
    """Return ledgers of several hosts that share a store and a clock."""
    clock = ManualClock(1_000_000.0)
    return [
        Ledger(platform, None, clock, seed=number, **options) for number in range(count)
    ]


def make_schedule(faults):
    """Return a strategy of (faults of store calls, groups of simultaneous claims).

    A claim is a pair of host number and key number.
    """
    claim = st.tuples(st.integers(0, 2), st.integers(0, 4))
    return st.tuples(
        st.lists(st.sampled_from(("", "", *faults)), max_size=60),
        st.lists(st.lists(claim, min_size=1, max_size=5), max_size=8),
    )


@then("in {examples:d} schedules no key has two claimants, as in a dictionary")
def compare_ledger_with_dictionary(context, examples):
    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @for_all(make_schedule(context.faults))
    def check(schedule):
        context.run(run_ledger_schedule(*schedule))

    check()


async def run_ledger_schedule(faults, groups):
    """Submit groups of claims; check that each key keeps its first claimant."""
    platform = MemoryPlatform(faults)
    ledgers = make_ledgers(platform, 3)
    expected = {}
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
                claimant = expected.setdefault(entry.key, result.ok.claimant)
                assert claimant == result.ok.claimant
    for key, entry in platform.collect_entries().items():
        assert expected.get(key, entry.claimant) == entry.claimant
    assert expected.keys() <= platform.collect_entries().keys()


@then("each of {count:d} claims from {hosts:d} hosts is stored once after splits")
def check_claims_after_splits(context, count, hosts):
    async def run():
        generator = random.Random(5)
        faults = ["lose" if generator.random() < 0.02 else "" for _ in range(20_000)]
        platform = MemoryPlatform(faults)
        ledgers = make_ledgers(platform, hosts, split_bytes=SPLIT_BYTES)
        claimants = {}
        for number in range(count):
            # All keys have the same leading bits, so that one bucket has to split.
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
        stored = platform.collect_entries()
        assert {key: entry.claimant for key, entry in stored.items()} == claimants
        assert all(entry.state == DONE for entry in stored.values())
        assert len(platform.objects) > 3
        key, claimant = next(iter(claimants.items()))
        repeated = await ledgers[0].submit("stock", LedgerEntry(key, "other", "body"))
        assert repeated.ok.claimant == claimant
        released = await ledgers[0].submit(
            "stock", LedgerEntry(key, "other", "body", RELEASED)
        )
        assert released.ok.claimant == claimant

    context.run(run())


@then("{count:d} simultaneous claims take at most {writes:d} writes")
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


class JournalModel:
    """One generation with its journal holder, successive drivers and a caller.

    A driver is the router that reads the tokens from an engine. A token is 1000
    times the number of its driver plus its offset, so that an output with tokens of
    two drivers is detected.
    """

    def __init__(self):
        self.store = JournalStore(ManualClock())
        self.drivers = []
        self.messages = []
        self.caller_tokens = []
        self.caller_branch = ""
        self.take_over()

    def take_over(self):
        """Let a new driver open the journal and continue from its tokens."""
        branch = f"b{len(self.drivers)}"
        record = self.store.open(JournalOpen("o", "k", b"d", "g", branch))
        tokens = list(unpack_tokens(record.tokens))
        self.drivers.append([branch, tokens, len(tokens)])

    def decode(self, driver, count):
        """Let any driver, also a superseded one, send new tokens to the holder."""
        number = driver % len(self.drivers)
        branch, tokens, _ = self.drivers[number]
        offset = len(tokens)
        new_tokens = [1000 * number + offset + step for step in range(count)]
        tokens.extend(new_tokens)
        packed = array(TOKEN_TYPE, new_tokens).tobytes()
        self.messages.append((number, ["g", branch, offset, packed, "e", "i", ""]))

    def deliver(self, position, keep):
        """Deliver any pending message; release the tokens that are acknowledged.

        A message that is kept may be delivered again.
        """
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
        """Let the caller read from a driver, resuming if its event id allows it."""
        branch, tokens, released = self.drivers[driver % len(self.drivers)]
        if self.caller_branch != branch:
            if not self._may_resume(branch):
                self.caller_tokens = []
            self.caller_branch = branch
        self.caller_tokens += tokens[len(self.caller_tokens) : released]

    def _may_resume(self, branch):
        """Return whether the caller may resume; only the latest driver accepts this."""
        if branch != self.drivers[-1][0] or not self.caller_tokens:
            return False
        history = self.store.find("o", "k").history
        return is_resumable(history, self.caller_branch, len(self.caller_tokens) - 1)

    def check(self):
        """Check that the caller's tokens are the first ones that the holder has."""
        journaled_tokens = list(self.store.find("o", "k").tokens)
        assert self.caller_tokens == journaled_tokens[: len(self.caller_tokens)]


JOURNAL_STEP = st.one_of(
    st.tuples(st.just("decode"), st.integers(0, 5), st.integers(1, 3)),
    st.tuples(st.just("deliver"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("read"), st.integers(0, 5)),
    st.tuples(st.just("take_over")),
)


@then(
    "in {examples:d} schedules of late, repeated and reordered messages the caller's "
    "tokens are a prefix of the journal"
)
def compare_journal_with_list(context, examples):
    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @for_all(st.lists(JOURNAL_STEP, max_size=60))
    def check(steps):
        model = JournalModel()
        for name, *arguments in steps:
            getattr(model, name)(*arguments)
            model.check()

    check()


@then(
    "in {examples:d} schedules of repeated, late and early events a generation accepts "
    "each token once"
)
def compare_generation(context, examples):
    event = st.tuples(st.integers(0, 30), st.integers(0, 6))

    @settings(max_examples=examples, deadline=None, derandomize=True, database=None)
    @for_all(st.lists(event, max_size=60), st.integers(0, 10), st.integers(0, 10))
    def check(events, known_count, start):
        output = list(range(100, 140))
        start = min(start, known_count)
        generation = Generation(
            "g", None, "k", None, "b", [["b", 0]], output[:known_count], start
        )
        expected_end = start
        for offset, count in events:
            tokens = output[offset : offset + count]
            text = " ".join(map(str, tokens))
            is_next = offset == expected_end and bool(tokens)
            assert generation.accept(offset, tokens, text) == is_next
            expected_end += len(tokens) if is_next else 0
        assert generation.tokens == output[: max(expected_end, known_count)]
        generation.release(expected_end)
        released_tokens = [
            token
            for segment in generation.find_segments(start)
            for token in segment.tokens
        ]
        assert released_tokens == output[start:expected_end]

    check()


@then(
    "of {old:d} claims a day old and {new:d} new ones in one bucket only the new ones "
    "remain"
)
def check_pruning(context, old, new):
    async def run():
        platform = MemoryPlatform()
        (ledger,) = make_ledgers(platform, 1)
        now_s = ledger.clock.now().timestamp()
        for number in range(old + new):
            # All keys have the same leading bits, and so they share a bucket.
            key = f"{number:032x}"
            at_s = now_s - (ENTRY_RETENTION_S + 1 if number < old else 0)
            entry = LedgerEntry(key, f"attempt-{number}", "body", at_s=at_s)
            assert (await ledger.submit("stock", entry)).is_ok()
        stored = platform.collect_entries()
        assert sorted(stored) == [f"{number:032x}" for number in range(old, old + new)]

    context.run(run())
