"""Spreads which suspects are sound, so that no host holds them for suspects.

A prompt part is sound when an engine has written on it, a request when an engine has
survived it, which only the hosts that sent the calls observe. They tell all hosts once
it is among the suspects of a crash, and a host that fetches a crash log gets the sound
ones from the same peer.
"""

from collections import OrderedDict

from loguru import logger

from sapphirerock.connection.messages import SoundParts
from sapphirerock.decisions.crashlog import is_part
from sapphirerock.process.clock import MAX_TIMER_DELAY_S
from sapphirerock.process.peers.gossip import SoundPartsUpdate
from sapphirerock.process.tasks import BackgroundTasks

VIEW = "sound-parts"
# Shorter than the time after which a crash counts as evidence, so that other hosts know
# a sound part before they could block it.
MAX_ANNOUNCE_DELAY_S = 0.25
# Most hosts draw a delay near the longest one and hear the few early hosts in time, so
# that the number of announcements grows slowly with hosts.
DELAY_EXPONENT = 1 / 3
# A host that still reports the part as a suspect after this time has missed the
# announcement.
MIN_ANNOUNCE_INTERVAL_S = 2.0
MAX_ANNOUNCED_PARTS = 10_000
MS_PER_S = 1000


class SoundPartSpread:
    """Announces sound prompt parts that are among the suspects of the crash log.

    Parameters
    ----------
    crash_log : CrashLog
        Crashes, their suspects, and the parts that are sound.
    gossip : Gossip
        Carries announcements to all hosts.
    peers : PeerTable
        Streams to peers that fetch this host's crash log.
    clock : Clock
        Source of time.
    generator : random.Random
        Draws the delays of announcements.
    """

    __slots__ = (
        "_crash_log",
        "_gossip",
        "_peers",
        "_clock",
        "_generator",
        "_announced_s",
        "_pending",
        "_tasks",
    )

    def __init__(self, crash_log, gossip, peers, clock, generator):
        self._crash_log = crash_log
        self._gossip = gossip
        self._peers = peers
        self._clock = clock
        self._generator = generator
        # Monotonic time of the last announcement of each part, by any host.
        self._announced_s = OrderedDict()
        self._pending = set()
        self._tasks = BackgroundTasks()
        gossip.subscribe(SoundPartsUpdate, self._apply_update)
        peers.register_handler(SoundParts, self._handle_parts)
        peers.announce_support(VIEW, self.send_suspects)

    def record_output(self, parts):
        """Record prompt parts, or a request, that an engine has survived.

        All hosts are told at once of those that are suspects.
        """
        self._announce(self._crash_log.add_sound_parts(parts))

    def announce_soon(self, suspects):
        """Tell all hosts which new suspects are sound, unless another host does."""
        sound = {item for item in suspects if self._crash_log.is_sound(item)}
        unannounced = self._select_unannounced(sound)
        if unannounced and not self._pending:
            self._tasks.spawn(self._announce_pending())
        self._pending.update(unannounced)

    async def _announce_pending(self):
        if await self._wait_for_others():
            # A busy host has not read yet what other hosts announced meanwhile.
            await self._wait_for_others()
        pending, self._pending = self._pending, set()
        self._announce(self._select_unannounced(pending))

    async def _wait_for_others(self):
        """Wait for a random time; return whether this host was busy at its end."""
        delay_s = MAX_ANNOUNCE_DELAY_S * self._generator.random() ** DELAY_EXPONENT
        due_s = self._clock.monotonic() + delay_s
        await self._clock.sleep(delay_s)
        return self._clock.monotonic() - due_s > MAX_TIMER_DELAY_S

    def _select_unannounced(self, parts):
        """Return the parts that no host has announced lately."""
        oldest_s = self._clock.monotonic() - MIN_ANNOUNCE_INTERVAL_S
        return [
            part for part in parts if self._announced_s.get(part, oldest_s) <= oldest_s
        ]

    def _announce(self, parts):
        aged_parts = self._add_ages(parts)
        if aged_parts:
            self._gossip.broadcast(SoundPartsUpdate(aged_parts))

    def _add_ages(self, parts):
        """Return lists of a part and the milliseconds since an engine wrote on it."""
        ages_s = map(self._crash_log.measure_soundness_age_s, parts)
        return [
            [part, int(age_s * MS_PER_S)]
            for part, age_s in zip(parts, ages_s, strict=True)
        ]

    def _apply_update(self, update):
        now_s = self._clock.monotonic()
        for part, _ in update.parts:
            self._announced_s[part] = now_s
            self._announced_s.move_to_end(part)
        while len(self._announced_s) > MAX_ANNOUNCED_PARTS:
            self._announced_s.popitem(last=False)
        self._add_parts(update.parts)

    def _add_parts(self, aged_parts):
        for part, age_ms in aged_parts:
            if self._crash_log.add_sound_parts([part], age_ms / MS_PER_S):
                event = (
                    "prompt part found sound"
                    if is_part(part)
                    else "request found sound"
                )
                logger.bind(part=part.hex(), age_ms=age_ms).info(event)

    def send_suspects(self, stream):
        """Tell a peer which suspects of this host's crash log are sound."""
        aged_parts = self._add_ages(self._crash_log.list_sound_suspects())
        if aged_parts and VIEW in stream.known_views:
            size = stream.send(SoundParts(aged_parts))
            self._peers.count_bytes(stream, "sound-parts", size)

    def _handle_parts(self, stream, message):
        self._add_parts(message.parts)
