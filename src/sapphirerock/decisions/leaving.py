"""Which calls a host still accepts while it shuts down.

Handles rolling restarts of busy hosts: a call that would be cut off at the end of the
shutdown is refused, so that its caller sends it to another host at once.
"""

from dataclasses import dataclass

# Initial values of the durations, until streams have finished.
DEFAULT_STREAM_S = 6.0
DEFAULT_LONG_STREAM_S = 9.0
# Weight of the latest stream in the typical duration, an exponential moving average.
TYPICAL_DURATION_WEIGHT = 0.1
# Weights of a stream that lasted longer or shorter than the current long duration. With
# a ratio of twenty between them, about one stream in twenty lasts longer.
LONG_RISE_WEIGHT = 0.4
LONG_FALL_WEIGHT = 0.02


class StreamDurations:
    """Moving averages of the durations of completed streams.

    Attributes
    ----------
    typical_s : float
        Typical duration of a stream, in seconds.
    long_s : float
        Duration that nearly all streams stay below, in seconds.
    """

    __slots__ = ("typical_s", "long_s")

    def __init__(self):
        self.typical_s = DEFAULT_STREAM_S
        self.long_s = DEFAULT_LONG_STREAM_S

    def record_stream(self, duration_s):
        """Update both durations with a completed stream."""
        self.typical_s += TYPICAL_DURATION_WEIGHT * (duration_s - self.typical_s)
        excess_s = duration_s - self.long_s
        self.long_s += (
            LONG_RISE_WEIGHT if excess_s > 0 else LONG_FALL_WEIGHT
        ) * excess_s


@dataclass(slots=True, frozen=True)
class ShutdownView:
    """Progress of a host's shutdown.

    Parameters
    ----------
    elapsed_s : float
        Time since the shutdown began, in seconds.
    allowed_s : float
        Time from the beginning of the shutdown until the remaining calls are cut off,
        in seconds.
    """

    elapsed_s: float
    allowed_s: float

    def can_finish(self, expected_s):
        """Return whether a call that takes ``expected_s`` ends before the cut-off."""
        return self.elapsed_s + expected_s <= self.allowed_s
