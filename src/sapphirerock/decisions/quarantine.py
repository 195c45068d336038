"""Evidence against requests that were in flight on upstreams that crashed.

Only a crash is evidence: the upstream's process is gone or has a new incarnation. A
pause, silence or a network partition is not. A request with one crash is a suspect
and runs with few others. After two crashes it runs as the only suspect on its
upstream, and another crash then blocks it.
"""

import hashlib
from dataclasses import dataclass, field

EVIDENCE_TTL_S = 600.0
# Within this time, a suspect call has either ended or been blocked.
SUSPECT_TTL_S = 5.0
ISOLATION_CRASHES = 2
EVIDENCE_LIMIT = 10_000


@dataclass(slots=True)
class Evidence:
    """Crashes during which one request was in flight."""

    crashes: set = field(default_factory=set)
    blocked: bool = False
    updated_at_s: float = 0.0


def make_fingerprint(organisation, body_digest):
    """Return the digest that identifies a request, whichever API key it carries."""
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
        """Add a crash reported by this host or a peer; duplicates have no effect."""
        now_s = self._clock.monotonic()
        evidence = self._evidence.setdefault(update.fingerprint, Evidence())
        evidence.crashes.add((update.upstream, update.incarnation))
        evidence.blocked = evidence.blocked or update.convicted
        evidence.updated_at_s = now_s
        if len(self._evidence) > EVIDENCE_LIMIT:
            self._evidence.pop(next(iter(self._evidence)))

    def prune(self):
        """Drop expired evidence."""
        limit_s = self._clock.monotonic() - EVIDENCE_TTL_S
        for fingerprint, evidence in list(self._evidence.items()):
            if evidence.updated_at_s < limit_s:
                del self._evidence[fingerprint]

    def count_crashes(self, fingerprint):
        """Return the number of crashes during which a request was in flight."""
        evidence = self._evidence.get(fingerprint)
        return len(evidence.crashes) if evidence else 0

    def is_suspect(self, fingerprint):
        """Return whether a request was in flight during a crash."""
        return fingerprint in self._evidence

    def must_run_alone(self, fingerprint):
        """Return whether a request must run as the only suspect on its upstream."""
        return self.count_crashes(fingerprint) >= ISOLATION_CRASHES

    def is_blocked(self, fingerprint):
        """Return whether a request is blocked."""
        evidence = self._evidence.get(fingerprint)
        return evidence is not None and evidence.blocked

    def list_suspects(self):
        """Return the fingerprints of recent requests that must run as only suspects."""
        limit_s = self._clock.monotonic() - SUSPECT_TTL_S
        return [
            key
            for key, item in self._evidence.items()
            if len(item.crashes) == ISOLATION_CRASHES and item.updated_at_s >= limit_s
        ]

    def list_blocked(self):
        """Return the fingerprints of all blocked requests."""
        return [key for key, item in self._evidence.items() if item.blocked]

    def list_crashes(self):
        """Return (fingerprint, upstream, incarnation, blocked) of all crashes."""
        return [
            (fingerprint, upstream, incarnation, evidence.blocked)
            for fingerprint, evidence in self._evidence.items()
            for upstream, incarnation in evidence.crashes
        ]
