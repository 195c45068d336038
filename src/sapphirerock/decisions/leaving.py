"""Which calls a host still takes once it has been told to stop.

Answers the load pattern of hosts that are restarted in turn while they are busy: a
call that would be cut off at the end is better sent to another host at once.
"""

from dataclasses import dataclass

# Without any finished stream to learn from.
DEFAULT_STREAM_S = 6.0
DEFAULT_LONG_STREAM_S = 9.0
# Weight of the newest stream in the typical length.
SMOOTHING = 0.1
# Weights of a stream that is longer than the long ones, and of one that is shorter:
# about one stream in twenty stays longer.
LONG_RISE = 0.4
LONG_FALL = 0.02


class StreamLength:
    """Times of whole streams, smoothed over those that ended.

    Attributes
    ----------
    seconds : float
        Time of a typical stream.
    long_s : float
        Time that nearly all streams stay below, in seconds.
    """

    __slots__ = ("seconds", "long_s")

    def __init__(self):
        self.seconds = DEFAULT_STREAM_S
        self.long_s = DEFAULT_LONG_STREAM_S

    def note_end(self, seconds):
        """Learn from a stream that was served to its end."""
        self.seconds += SMOOTHING * (seconds - self.seconds)
        beyond_s = seconds - self.long_s
        self.long_s += (LONG_RISE if beyond_s > 0 else LONG_FALL) * beyond_s


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
