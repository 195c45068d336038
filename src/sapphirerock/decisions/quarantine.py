"""Requests that were under way on upstreams that crashed.

Evidence is a crash: the upstream's process is gone or has a new incarnation. A
pause, silence or a cut is none. A request that saw one crash is a suspect and
runs with few others; after two it runs as the only suspect on its upstream; a
crash then convicts it.
"""

import hashlib
from dataclasses import dataclass, field

EVIDENCE_LIFE_S = 600.0
# A call that may crash engines has ended, or been convicted, by then.
SUSPECT_LIFE_S = 5.0
EXCLUSIVE_CRASHES = 2
EVIDENCE_LIMIT = 10_000


@dataclass(slots=True)
class Evidence:
    """Crashes that one request was part of."""

    crashes: set = field(default_factory=set)
    convicted: bool = False
    touched_s: float = 0.0


def make_fingerprint(organisation, body_digest):
    """Return the digest that names a request, whichever key it carries."""
    text = organisation.encode() + b"\0" + body_digest
    return hashlib.blake2b(text, digest_size=12).digest()


class Quarantine:
    """Evidence against requests, from this host and its peers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_evidence", "_clock")

    def __init__(self, clock):
        self._evidence = {}
        self._clock = clock

    def __len__(self):
        return len(self._evidence)

    def apply_update(self, update):
        """Take over a crash that somebody saw; doubled updates change nothing."""
        now_s = self._clock.monotonic()
        evidence = self._evidence.setdefault(update.fingerprint, Evidence())
        evidence.crashes.add((update.upstream, update.incarnation))
        evidence.convicted = evidence.convicted or update.convicted
        evidence.touched_s = now_s
        if len(self._evidence) > EVIDENCE_LIMIT:
            self._evidence.pop(next(iter(self._evidence)))

    def prune(self):
        """Forget old evidence."""
        limit_s = self._clock.monotonic() - EVIDENCE_LIFE_S
        for fingerprint, evidence in list(self._evidence.items()):
            if evidence.touched_s < limit_s:
                del self._evidence[fingerprint]

    def count_crashes(self, fingerprint):
        """Return how many crashes a request was part of."""
        evidence = self._evidence.get(fingerprint)
        return len(evidence.crashes) if evidence else 0

    def is_suspect(self, fingerprint):
        """Return whether a request was part of a crash."""
        return fingerprint in self._evidence

    def needs_exclusion(self, fingerprint):
        """Return whether a request may only run as the single suspect."""
        return self.count_crashes(fingerprint) >= EXCLUSIVE_CRASHES

    def is_convicted(self, fingerprint):
        """Return whether a request is refused."""
        evidence = self._evidence.get(fingerprint)
        return evidence is not None and evidence.convicted

    def list_suspects(self):
        """Return the fingerprints of requests that may run as the single suspect."""
        limit_s = self._clock.monotonic() - SUSPECT_LIFE_S
        return [
            key
            for key, item in self._evidence.items()
            if len(item.crashes) == EXCLUSIVE_CRASHES and item.touched_s >= limit_s
        ]

    def list_convicted(self):
        """Return the fingerprints of all convicted requests."""
        return [key for key, item in self._evidence.items() if item.convicted]

    def list_crashes(self):
        """Return (fingerprint, upstream, incarnation, convicted) of all evidence."""
        return [
            (fingerprint, upstream, incarnation, evidence.convicted)
            for fingerprint, evidence in self._evidence.items()
            for upstream, incarnation in evidence.crashes
        ]
