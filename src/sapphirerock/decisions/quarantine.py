"""Quarantine of requests that were in flight on upstreams when these crashed.

Only a crash is evidence: the upstream's process has ended or has a new incarnation. A
frozen process, silence or a network partition is not. A request with one crash is a
suspect and runs where the fewest other suspects run. After two crashes it runs as the
only suspect on its upstream, and a further crash blocks it.
"""

import hashlib
from dataclasses import dataclass, field

# Time since the latest report of a crash after which the evidence against a request is
# dropped.
EVIDENCE_TTL_S = 600.0
# Time since the latest report of a crash within which a suspect request has ended or
# been blocked.
SUSPECT_TTL_S = 5.0
# Crashes after which a request must run as the only suspect on its upstream.
ISOLATION_CRASHES = 2
# Requests with evidence; beyond this, the request that was reported first is dropped.
MAX_TRACKED_REQUESTS = 10_000


@dataclass(slots=True)
class Evidence:
    """Evidence against one request.

    Parameters
    ----------
    crashes : set of (str, str)
        Upstream and incarnation of each crash during which the request was in flight.
    blocked : bool
        Whether the request is no longer run.
    updated_at_s : float
        Monotonic time of the latest report.
    """

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
        """Add a crash reported by this host or a peer.

        A crash that is already known renews the expiry of the evidence.

        Parameters
        ----------
        update : CrashUpdate
            The crash and the request that was in flight.

        Returns
        -------
        bool
            Whether the crash was not known.
        """
        now_s = self._clock.monotonic()
        evidence = self._evidence.setdefault(update.fingerprint, Evidence())
        crash = (update.upstream, update.incarnation)
        is_new = crash not in evidence.crashes
        evidence.crashes.add(crash)
        evidence.blocked = evidence.blocked or update.convicted
        evidence.updated_at_s = now_s
        if len(self._evidence) > MAX_TRACKED_REQUESTS:
            self._evidence.pop(next(iter(self._evidence)))
        return is_new

    def prune(self):
        """Drop expired evidence."""
        oldest_s = self._clock.monotonic() - EVIDENCE_TTL_S
        for fingerprint, evidence in list(self._evidence.items()):
            if evidence.updated_at_s < oldest_s:
                del self._evidence[fingerprint]

    def count_crashes(self, fingerprint):
        """Return the number of crashes during which a request was in flight."""
        evidence = self._evidence.get(fingerprint)
        return len(evidence.crashes) if evidence else 0

    def is_suspect(self, fingerprint):
        """Return whether there is evidence against a request."""
        return fingerprint in self._evidence

    def must_run_alone(self, fingerprint):
        """Return whether a request must run as the only suspect on its upstream."""
        return self.count_crashes(fingerprint) >= ISOLATION_CRASHES

    def is_blocked(self, fingerprint):
        """Return whether a request must not run any more."""
        evidence = self._evidence.get(fingerprint)
        return evidence is not None and evidence.blocked

    def list_suspects(self):
        """Return the fingerprints of requests that currently run as only suspects.

        They have ``ISOLATION_CRASHES`` crashes, reported within ``SUSPECT_TTL_S``.
        """
        oldest_s = self._clock.monotonic() - SUSPECT_TTL_S
        return [
            fingerprint
            for fingerprint, evidence in self._evidence.items()
            if len(evidence.crashes) == ISOLATION_CRASHES
            and evidence.updated_at_s >= oldest_s
        ]

    def list_blocked(self):
        """Return the fingerprints of all blocked requests."""
        return [
            fingerprint
            for fingerprint, evidence in self._evidence.items()
            if evidence.blocked
        ]

    def list_crashes(self):
        """Return a tuple for each known crash of each request.

        Returns
        -------
        list of (bytes, str, str, bool)
            Fingerprint, upstream, incarnation, and whether the request is blocked.
        """
        return [
            (fingerprint, upstream, incarnation, evidence.blocked)
            for fingerprint, evidence in self._evidence.items()
            for upstream, incarnation in evidence.crashes
        ]
