"""How fast the engines of a service work, from the pauses between their events.

Handles engines that share their machines with others, so that some take twice as long
for all work, and many for fractions of a second. Short slow-downs, and steps that an
engine shares with the prompts of others, are left out by taking the shortest tenth of a
stream's pauses; what remains is a property of the engine's machine that lasts for
seconds.
"""

from statistics import median

# Pauses of one stream that are measured, and that are enough for a measurement.
MAX_PAUSES = 64
MIN_PAUSES = 12
# Share of its pauses that are shorter than the one that counts for a stream.
MEASURED_SHARE = 1 / 10
# Weight of a new measurement of an engine against those before.
SAMPLE_WEIGHT = 0.5
# Other hosts are told of a pace that has changed by this share.
ANNOUNCED_CHANGE = 0.3
# With fewer measured engines the usual pace of a service is not known.
MIN_ENGINES = 4
# A pace further from the usual one is due to a fault, which has a decision of its own.
MAX_SLOWNESS = 4.0
# Engines that are faster or slower by less count as equal.
EQUAL_SHARE = 0.2


class PauseSample:
    """Pauses between the events of one attempt at a stream."""

    __slots__ = ("_pauses_s", "_last_s")

    def __init__(self):
        self._pauses_s = []
        self._last_s = None

    @property
    def is_complete(self):
        """Whether no more pauses are measured."""
        return len(self._pauses_s) >= MAX_PAUSES

    @property
    def count(self):
        """Number of measured pauses."""
        return len(self._pauses_s)

    def add_events(self, count, now_s):
        """Add events that arrived together at ``now_s``, in seconds."""
        if self._last_s is not None and count:
            self._pauses_s.append((now_s - self._last_s) / count)
        self._last_s = now_s

    def measure(self):
        """Return the usual pause of the stream in seconds; None if it is too short."""
        if len(self._pauses_s) < MIN_PAUSES:
            return None
        return sorted(self._pauses_s)[int(len(self._pauses_s) * MEASURED_SHARE)]


def update_pause(known_s, sample_s):
    """Return an engine's pause after a new measurement, in seconds."""
    if known_s is None:
        return sample_s
    return known_s + SAMPLE_WEIGHT * (sample_s - known_s)


def needs_announcement(announced_s, pause_s):
    """Return whether other hosts should be told of an engine's pause."""
    if announced_s is None:
        return True
    return abs(pause_s - announced_s) > ANNOUNCED_CHANGE * announced_s


def choose_usual_pause(pauses_s):
    """Return the usual pause of a service's engines; None if too few are known."""
    return median(pauses_s) if len(pauses_s) >= MIN_ENGINES else None


def measure_slowness(pause_s, usual_s):
    """Return how many times as long as usual an engine takes.

    An engine that is not known, or differs little, takes as long as usual.
    """
    if not pause_s or not usual_s:
        return 1.0
    ratio = pause_s / usual_s
    if abs(ratio - 1.0) < EQUAL_SHARE:
        return 1.0
    return min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))
