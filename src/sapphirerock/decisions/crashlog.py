"""Log of engine crashes and of the requests and prompt parts that were running.

Handles a request that is retried after each crash, and a part of a prompt that comes in
request after request, and so crashes one engine after another. The log holds
observations only; which of them are evidence against a suspect is decided when it is
asked, from all observations of all hosts. Adding an observation twice or in another
order changes nothing, so hosts can merge their logs.

A suspect is a request or a prompt part, and is known by its fingerprint. A part on
which an engine has begun to write, or a request that an engine has survived, is sound
and no suspect any more. A crash that
refusals caused is marked in its list of suspects, and is no evidence against them.
"""

import hashlib
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, replace
from itertools import chain

from sapphirerock.decisions.poisonrequests import (
    BLOCKING_CRASHES,
    CORRELATED_CRASH_S,
    MAX_CRASHES,
    Crash,
    can_be_caused_by,
)
from sapphirerock.decisions.quarantine import (
    EVIDENCE_TTL_S,
    ISOLATION_CRASHES,
    SUSPECT_TTL_S,
)

# An observation that is about to expire is not copied from another host, where it may
# expire a little later.
MIN_COPIED_LIFETIME_S = 10.0
MAX_LOGGED_CRASHES = 1_000
MAX_BLOCKED_REQUESTS = 10_000
MAX_SOUND_PARTS = 10_000
# First byte of the fingerprint of a prompt part; makes it longer than a request's.
PART_TAG = b"p"
PART_FINGERPRINT_BYTES = 13
DIGEST_BYTES = 7
MS_PER_S = 1000
# Stands among the suspects of a crash that refusals caused. It is spread, merged and
# compared as they are, and is the fingerprint of no request.
REFUSALS_MARK = b"refusals"


@dataclass(slots=True, frozen=True)
class EngineRun:
    """One run of an engine's process, from its start to its end.

    Parameters
    ----------
    engine : str
        The engine's id.
    born_ms : int
        Start time in Unix milliseconds.
    availability_zone : str
        Zone of the engine.
    """

    engine: str
    born_ms: int
    availability_zone: str


@dataclass(slots=True, frozen=True)
class CrashLogRecords:
    """All observations of a log, as hosts exchange them.

    Parameters
    ----------
    crashes : list of [str, int, str, int, list of bytes]
        Engine, its start time in Unix milliseconds, its availability zone, age of the
        observation in milliseconds, fingerprints of the requests that ran on it.
    blocked : list of [bytes, int]
        Fingerprint of a blocked request, and time since it was blocked, in
        milliseconds.
    """

    crashes: list
    blocked: list


class CrashLog:
    """Crashes of engines, the requests that ran on them, and the blocked requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_runs_by_period",
        "_runs_by_suspect",
        "_blocked",
        "_sound_parts",
        "_digest",
    )

    def __init__(self, clock):
        self._clock = clock
        self._crashes = {}
        # By availability zone and period of `CORRELATED_CRASH_S`.
        self._runs_by_period = defaultdict(set)
        self._runs_by_suspect = {}
        self._blocked = {}
        self._sound_parts = OrderedDict()
        self._digest = 0

    def __len__(self):
        requests = (item for item in self._runs_by_suspect if not is_part(item))
        return len(self._blocked.keys() | requests)

    @property
    def is_empty(self):
        """Whether nothing was observed."""
        return not self._crashes and not self._blocked

    def describe(self):
        """Return a digest of the log, equal for equal logs, and its size."""
        return self._digest, len(self._crashes) + len(self._blocked)

    def has_crash(self, run):
        """Return whether the crash of an engine's run is known."""
        return run in self._crashes

    def add_crash(self, run, at_s):
        """Add a crash unless it is known; return whether it is new.

        Parameters
        ----------
        run : EngineRun
            The run that ended.
        at_s : float
            Monotonic time of the crash, in seconds; the earliest one is kept.
        """
        known = self._crashes.get(run)
        if known is not None:
            if at_s < known.at_s:
                self._remove_from_period(run)
                self._set_crash(run, replace(known, at_s=at_s))
            return False
        self._set_crash(run, Crash(run.engine, run.availability_zone, at_s, set()))
        self._toggle(encode_run(run))
        while len(self._crashes) > MAX_LOGGED_CRASHES:
            self._remove_crash(min(self._crashes, key=self._get_time))
        return True

    def _set_crash(self, run, crash):
        self._crashes[run] = crash
        period = find_period(crash)
        self._runs_by_period[run.availability_zone, period].add(run)

    def _remove_from_period(self, run):
        key = run.availability_zone, find_period(self._crashes[run])
        self._runs_by_period[key].discard(run)
        if not self._runs_by_period[key]:
            del self._runs_by_period[key]

    def _list_neighbours(self, crash):
        """Return the crashes of a zone around the time of one of them, with it."""
        period = find_period(crash)
        runs = chain.from_iterable(
            self._runs_by_period.get((crash.availability_zone, period + offset), ())
            for offset in (-1, 0, 1)
        )
        return [self._crashes[run] for run in runs]

    def _get_time(self, run):
        return self._crashes[run].at_s

    def select_unknown(self, run, fingerprints):
        """Return the requests that are not known to have run on a crashed engine."""
        crash = self._crashes.get(run)
        known = crash.suspects if crash else ()
        return [item for item in fingerprints if item not in known]

    def add_suspects(self, run, fingerprints):
        """Add requests that ran on an engine when it crashed.

        Returns
        -------
        list of bytes
            The fingerprints that were not known for this crash.
        """
        crash = self._crashes.get(run)
        if crash is None:
            return []
        added = self.select_unknown(run, fingerprints)
        for fingerprint in added:
            crash.suspects.add(fingerprint)
            self._toggle(encode_run(run) + fingerprint)
        if REFUSALS_MARK in crash.suspects:
            self._dismiss_suspects(run)
        else:
            for fingerprint in added:
                self._runs_by_suspect.setdefault(fingerprint, set()).add(run)
        return added

    def is_caused_by_refusals(self, run):
        """Return whether a crash is known to have been caused by refusals."""
        crash = self._crashes.get(run)
        return crash is not None and REFUSALS_MARK in crash.suspects

    def get_crash_time(self, run):
        """Return the monotonic time of a known crash, in seconds."""
        return self._crashes[run].at_s

    def _dismiss_suspects(self, run):
        """Count a crash against none of the requests that ran on the engine."""
        for fingerprint in self._crashes[run].suspects:
            runs = self._runs_by_suspect.get(fingerprint, set())
            runs.discard(run)
            if not runs:
                self._runs_by_suspect.pop(fingerprint, None)

    def add_blocked(self, fingerprint, at_s):
        """Block a request; return whether it was not blocked.

        Parameters
        ----------
        at_s : float
            Monotonic time at which it was blocked, in seconds.
        """
        if fingerprint in self._blocked:
            return False
        self._blocked[fingerprint] = at_s
        self._toggle(fingerprint)
        while len(self._blocked) > MAX_BLOCKED_REQUESTS:
            self._remove_blocked(min(self._blocked, key=self._blocked.get))
        return True

    def add_sound_parts(self, fingerprints, age_s=0.0):
        """Add prompt parts and requests that an engine has survived.

        Parameters
        ----------
        age_s : float
            Time since it has, in seconds.

        Returns
        -------
        list of bytes
            Those that the log holds as suspects and that were not known to be sound.
        """
        at_s = self._clock.monotonic() - age_s
        added = []
        for fingerprint in fingerprints:
            is_listed = fingerprint in self._runs_by_suspect
            if is_listed and not self.is_sound(fingerprint):
                added.append(fingerprint)
            known_s = self._sound_parts.get(fingerprint, at_s)
            self._sound_parts[fingerprint] = max(at_s, known_s)
            self._sound_parts.move_to_end(fingerprint)
        while len(self._sound_parts) > MAX_SOUND_PARTS:
            self._sound_parts.popitem(last=False)
        return added

    def is_sound(self, fingerprint):
        """Return whether an engine has survived a prompt part or a request lately."""
        age_s = self.measure_soundness_age_s(fingerprint)
        return age_s is not None and age_s < EVIDENCE_TTL_S

    def measure_soundness_age_s(self, fingerprint):
        """Return the seconds since an engine last survived a suspect, or None."""
        at_s = self._sound_parts.get(fingerprint)
        return None if at_s is None else self._clock.monotonic() - at_s

    def list_sound_suspects(self):
        """Return the sound suspects that were running when an engine crashed."""
        return [
            fingerprint
            for fingerprint in self._runs_by_suspect
            if self.is_sound(fingerprint)
        ]

    def _toggle(self, item):
        """Add an observation, as bytes, to the digest, or remove it."""
        digest = hashlib.blake2b(item, digest_size=DIGEST_BYTES)
        self._digest ^= int.from_bytes(digest.digest())

    def _remove_crash(self, run):
        self._remove_from_period(run)
        self._dismiss_suspects(run)
        crash = self._crashes.pop(run)
        self._toggle(encode_run(run))
        for fingerprint in crash.suspects:
            self._toggle(encode_run(run) + fingerprint)

    def _remove_blocked(self, fingerprint):
        del self._blocked[fingerprint]
        self._toggle(fingerprint)

    def prune(self):
        """Remove expired observations."""
        oldest_s = self._clock.monotonic() - EVIDENCE_TTL_S
        for run, crash in list(self._crashes.items()):
            if crash.at_s < oldest_s:
                self._remove_crash(run)
        for fingerprint, at_s in list(self._blocked.items()):
            if at_s < oldest_s:
                self._remove_blocked(fingerprint)

    def list_runs(self, fingerprint):
        """Return the runs of engines that crashed while a suspect was running."""
        return set(self._runs_by_suspect.get(fingerprint, ()))

    def count_crashes(self, fingerprint):
        """Return the number of crashes during which a suspect was running."""
        return len(self._runs_by_suspect.get(fingerprint, ()))

    def count_evidence(self, fingerprint):
        """Return the number of crashes that a suspect can have caused.

        A crash counts only once other engines that crashed with it are known.
        """
        return len(self._list_evidence(fingerprint))

    def _list_evidence(self, fingerprint):
        if self.is_sound(fingerprint):
            return []
        latest_s = self._clock.monotonic() - CORRELATED_CRASH_S
        crashes = [
            self._crashes[run] for run in self._runs_by_suspect.get(fingerprint, ())
        ]
        return [
            crash
            for crash in crashes
            if crash.at_s <= latest_s
            and can_be_caused_by(crash, fingerprint, self._list_neighbours(crash))
        ]

    def measure_settling_s(self, fingerprint):
        """Return the time until all known crashes of a request can count."""
        runs = self._runs_by_suspect.get(fingerprint, ())
        latest_s = max((self._crashes[run].at_s for run in runs), default=0.0)
        return max(0.0, latest_s + CORRELATED_CRASH_S - self._clock.monotonic())

    def must_run_alone(self, fingerprint):
        """Return whether a request must run as the only suspect on its engine."""
        return self.count_evidence(fingerprint) >= ISOLATION_CRASHES

    def list_suspects(self):
        """Return the requests that currently have to run as only suspects."""
        oldest_s = self._clock.monotonic() - SUSPECT_TTL_S
        suspects = []
        for fingerprint, runs in self._runs_by_suspect.items():
            if len(runs) < ISOLATION_CRASHES or is_part(fingerprint):
                continue
            evidence = self._list_evidence(fingerprint)
            is_recent = any(crash.at_s >= oldest_s for crash in evidence)
            if len(evidence) == ISOLATION_CRASHES and is_recent:
                suspects.append(fingerprint)
        return suspects

    def is_blocked(self, fingerprint):
        """Return whether a request must not run any more."""
        if self.is_sound(fingerprint):
            return False
        if fingerprint in self._blocked:
            return True
        if self.count_crashes(fingerprint) < BLOCKING_CRASHES:
            return False
        return (
            self.count_evidence(fingerprint) >= BLOCKING_CRASHES
            or self.count_crashes(fingerprint) >= MAX_CRASHES
        )

    def is_part_blocked(self, fingerprint, request_suspects):
        """Return whether a request must not run any more because of a prompt part.

        Suspects that were running in all crashes of the part may have caused them in
        its place, so only a request that has all of them is blocked.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the part.
        request_suspects : set of bytes
            Fingerprints of the request and of the parts of its prompt.
        """
        if self.count_crashes(fingerprint) < BLOCKING_CRASHES:
            return False
        if self.is_sound(fingerprint):
            return False
        evidence = self._list_evidence(fingerprint)
        if len(evidence) < BLOCKING_CRASHES:
            return False
        others = set.intersection(*(crash.suspects for crash in evidence))
        return all(
            other in request_suspects or self.is_sound(other) for other in others
        )

    def list_records(self):
        """Return all observations, to be merged into the log of another host.

        Returns
        -------
        CrashLogRecords
        """
        now_s = self._clock.monotonic()
        return CrashLogRecords(
            [
                [
                    run.engine,
                    run.born_ms,
                    run.availability_zone,
                    int((now_s - crash.at_s) * MS_PER_S),
                    list(crash.suspects),
                ]
                for run, crash in self._crashes.items()
            ],
            [
                [fingerprint, int((now_s - at_s) * MS_PER_S)]
                for fingerprint, at_s in self._blocked.items()
            ],
        )

    def merge(self, records):
        """Add the observations of another host's log; return how many were new."""
        now_s = self._clock.monotonic()
        oldest_s = now_s - EVIDENCE_TTL_S + MIN_COPIED_LIFETIME_S
        added = 0
        for engine, born_ms, availability_zone, age_ms, suspects in records.crashes:
            at_s = now_s - age_ms / MS_PER_S
            if at_s >= oldest_s:
                run = EngineRun(engine, born_ms, availability_zone)
                added += self.add_crash(run, at_s)
                added += len(self.add_suspects(run, suspects))
        for fingerprint, age_ms in records.blocked:
            at_s = now_s - age_ms / MS_PER_S
            if at_s >= oldest_s:
                added += self.add_blocked(fingerprint, at_s)
        return added


def find_period(crash):
    """Return the number of the period of `CORRELATED_CRASH_S` of a crash."""
    return int(crash.at_s // CORRELATED_CRASH_S)


def make_part_fingerprint(model, part_id):
    """Return the fingerprint of a prompt part, for one model."""
    digest = hashlib.blake2b(f"{model}\0{part_id}".encode(), digest_size=12)
    return PART_TAG + digest.digest()


def is_part(fingerprint):
    """Return whether a fingerprint is that of a prompt part, not of a request."""
    return len(fingerprint) == PART_FINGERPRINT_BYTES


def encode_run(run):
    """Return an engine's run as bytes, the same on all hosts."""
    return f"{run.engine}\0{run.born_ms}\0{run.availability_zone}\0".encode()
