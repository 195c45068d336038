"""Six odd entries of another writer take the routers over their memory."""

from pathlib import Path

from memorycase import play
from store import VALUE_BYTES, dump

ENTRIES = 6


def make_odd_entry():
    """Return an entry with a field of another type, as large as an object may be."""
    entry = {
        "service": "wuno96b",
        "address": "127.0.9.9:9",
        "zone": "zone-a",
        "version": "v1",
        "state": "ready",
        "cold_ms": 0,
        "seq": 0,
        "born": 1,
        "slots": [],
    }
    free_bytes = VALUE_BYTES - len(dump(entry))
    entry["slots"] = [{}] * (free_bytes // len("{},"))
    return entry


if __name__ == "__main__":
    play(Path(__file__).with_name("record.txt"), make_odd_entry(), ENTRIES)
