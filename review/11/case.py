"""One unreadable entry of another writer takes the routers over their memory."""

from pathlib import Path

from memorycase import play
from store import VALUE_BYTES, dump


def make_odd_entry():
    """Return an entry that can't be read, as large as an object may be.

    Half of a surrogate pair can be written in JSON, and stands for no character.
    """
    entry = {
        "service": "\ud800",
        "address": "127.0.9.9:9",
        "zone": "zone-a",
        "version": "",
        "state": "ready",
        "slots": 16,
        "cold_ms": 0,
        "seq": 0,
        "born": 1,
    }
    entry["version"] = "v" * (VALUE_BYTES - len(dump(entry)))
    return entry


if __name__ == "__main__":
    play(Path(__file__).with_name("record.txt"), make_odd_entry(), entries=1)
