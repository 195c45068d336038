"""Which calls a host still accepts while it shuts down.

Handles rolling restarts of busy hosts: a call that could be cut off at the end of the
shutdown is refused, so that its caller sends it to another host at once. Calls come
late in a shutdown on connections that an earlier call kept busy, with bodies that were
sent slowly, and from the queues of this host.
"""

from dataclasses import dataclass

# The platform takes a host out of rotation after two failed readiness checks, which
# are a second apart.
OUT_OF_ROTATION_DELAY_S = 2.3
# Time between the latest end of an accepted call and the cut-off, in which a busy host
# sends the response.
RESPONSE_RESERVE_S = 0.25

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

    def can_respond(self, remaining_s):
        """Return whether a call that is ended after ``remaining_s`` gets a response."""
        return self.can_finish(remaining_s + RESPONSE_RESERVE_S)

    def can_take_stream(self, expected_s, remaining_s, is_resumable):
        """Return whether to take a stream.

        A stream may last longer than expected, until its caller's timeout ends. One
        that its caller can resume elsewhere is taken while the platform still sends
        new connections to this host.

        Parameters
        ----------
        expected_s : float
            Duration that nearly all streams stay below, in seconds.
        remaining_s : float
            Time until the caller's timeout ends, in seconds.
        is_resumable : bool
            Whether the caller can resume the stream at another host.
        """
        if self.can_respond(remaining_s):
            return True
        is_in_rotation = self.elapsed_s <= OUT_OF_ROTATION_DELAY_S
        return is_resumable and is_in_rotation and self.can_finish(expected_s)


class Shutdown:
    """The shutdown of a process, which has not begun at first.

    Parameters
    ----------
    stream_durations : StreamDurations
        Durations of completed streams.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_stream_durations", "_clock", "_started_s", "_allowed_s")

    def __init__(self, stream_durations, clock):
        self._stream_durations = stream_durations
        self._clock = clock
        self._started_s = None
        self._allowed_s = 0.0

    def start(self, allowed_s):
        """Begin the shutdown; calls are cut off ``allowed_s`` from now."""
        self._started_s = self._clock.monotonic()
        self._allowed_s = allowed_s

    @property
    def has_begun(self):
        """Whether the process is shutting down."""
        return self._started_s is not None

    @property
    def has_ended(self):
        """Whether the time for calls in progress is over."""
        return self.has_begun and not self._make_view().can_finish(0.0)

    def can_take(self, route, response_deadline_s):
        """Return whether a call may be sent to an engine now.

        Parameters
        ----------
        route : Route
            Route of the call.
        response_deadline_s : float
            Monotonic time at which the call is ended without a response of an engine.
        """
        if not self.has_begun:
            return True
        view = self._make_view()
        remaining_s = max(0.0, response_deadline_s - self._clock.monotonic())
        if route.is_streaming:
            return view.can_take_stream(
                self._stream_durations.long_s, remaining_s, route.is_resumable
            )
        return view.can_respond(remaining_s)

    def _make_view(self):
        return ShutdownView(self._clock.monotonic() - self._started_s, self._allowed_s)
