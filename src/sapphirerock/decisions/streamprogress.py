"""When an attempt at a stream ends because it brings the caller nothing.

Handles faulty engines that send comments, events that the caller has already, or the
start of an event, as fast as the link carries them. Reading them for as long as the
call lasts would leave the process no time for other calls.
"""

# Longer than the longest event, and than all comments of a sound stream that waits.
WASTE_LIMIT_BYTES = 64 << 10
# An event or a comment costs as much processor time as this many bytes.
EVENT_COST_BYTES = 96


class ProgressCheck:
    """Compares what one attempt sends with what of it is new to the caller.

    Attributes
    ----------
    wasted_bytes : int
        Cost of all that was received and is not new, beyond the size of what is.
    """

    __slots__ = ("wasted_bytes",)

    def __init__(self):
        self.wasted_bytes = 0

    def is_exceeded(self, data, events, last_id):
        """Record received bytes; return whether too many of them are not new.

        Parameters
        ----------
        data : bytes
            The received bytes.
        events : list of StreamEvent
            Events and comments that the bytes complete.
        last_id : int or None
            Number of the last event that the caller has.
        """
        self.wasted_bytes += len(data)
        for event in events:
            is_new = event.number is not None and (
                last_id is None or event.number > last_id
            )
            if is_new:
                last_id = event.number
                self.wasted_bytes -= 2 * len(event.content) + EVENT_COST_BYTES
            else:
                self.wasted_bytes += EVENT_COST_BYTES
        self.wasted_bytes = max(self.wasted_bytes, 0)
        return self.wasted_bytes > WASTE_LIMIT_BYTES
