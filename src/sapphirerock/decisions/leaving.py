"""Which calls a host still takes once it has been told to stop.

Answers the load pattern of hosts that are restarted in turn while they are busy: a
call that would be cut off at the end is better sent to another host at once.
"""

from dataclasses import dataclass

# Without any finished stream to learn from.
DEFAULT_STREAM_S = 6.0
# Weight of the newest stream in the typical length.
SMOOTHING = 0.1


class StreamLength:
    """Typical time of a whole stream, smoothed over those that ended."""

    __slots__ = ("seconds",)

    def __init__(self):
        self.seconds = DEFAULT_STREAM_S

    def note_end(self, seconds):
        """Learn from a stream that was served to its end."""
        self.seconds += SMOOTHING * (seconds - self.seconds)


@dataclass(slots=True, frozen=True)
class LeavingView:
    """What is known of a host that stops.

    Parameters
    ----------
    elapsed_s : float
        Time since it was told to, in seconds.
    allowed_s : float
        Time until its calls are cut off, in seconds, counted from then.
    """

    elapsed_s: float
    allowed_s: float

    def takes(self, expected_s):
        """Return whether a call of some length can be expected to end in time."""
        return self.elapsed_s + expected_s <= self.allowed_s
