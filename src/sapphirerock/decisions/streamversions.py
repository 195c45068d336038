"""Software versions at which streams begin and go on.

Handles releases, with engines of several software versions in one service, beside lost
engines and hosts. Events of two versions don't fit together, so a stream goes on only
at the version that began it.
"""

from collections import Counter
from dataclasses import dataclass, field

# Engines of a version that remain for its streams when one of them is lost.
MIN_ENGINES_PER_VERSION = 2


@dataclass(slots=True, frozen=True)
class KvBackup:
    """KV copy of a run, from which any host can go on with the run's request.

    Parameters
    ----------
    engine : str
        Id of the engine that keeps it.
    attempt_id : str
        Attempt id of the run, which is the name of the copy.
    content : bytes
        Digest of the run's request. Several callers may have sent this request, so that
        it does not show whose run was copied.
    """

    engine: str
    attempt_id: str
    content: bytes


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Where a stream began.

    Parameters
    ----------
    service : str
        Service of the engine.
    version : str
        Version of its software.
    engine : str
        Id of the engine, which may have the prompt in its cache; empty if unknown. The
        stream may go on at any engine of the version, so that origins are compared
        without it.
    kv_backup : KvBackup or None
        KV copy of the run; None if none is known.
    """

    service: str
    version: str
    engine: str = field(default="", compare=False)
    kv_backup: KvBackup | None = field(default=None, compare=False)


@dataclass(slots=True, frozen=True)
class OriginChoice:
    """Origin of a stream that its caller takes up, and how it is known.

    Parameters
    ----------
    origin : StreamOrigin or None
        None if the stream can't go on.
    reason : str
        How the origin is known, or why the stream can't go on.
    """

    origin: StreamOrigin | None
    reason: str


def choose_origin(recorded, candidates, are_all_known):
    """Choose the origin of a stream that its caller takes up.

    Parameters
    ----------
    recorded : StreamOrigin or None
        Origin that the host which began the stream has told the others.
    candidates : set of StreamOrigin
        Services that the route leads to, each with every version that its engines had
        since the stream may have begun, as far as known.
    are_all_known : bool
        Whether no other version can have served since then.

    Returns
    -------
    OriginChoice
    """
    if recorded is not None:
        if recorded.service in {origin.service for origin in candidates}:
            return OriginChoice(recorded, "recorded")
        return OriginChoice(None, "the route no longer leads to the stream's service")
    if len(candidates) == 1:
        if not are_all_known:
            return OriginChoice(None, "unknown stream, and other versions may serve")
        return OriginChoice(next(iter(candidates)), "only version of the service")
    if not candidates:
        return OriginChoice(None, "no engine of the service is known")
    return OriginChoice(None, "unknown stream, and several versions serve")


@dataclass(slots=True, frozen=True)
class CopyChoice:
    """KV copy from which a stream that its caller takes up goes on.

    Parameters
    ----------
    backup : KvBackup or None
        None if the prompt is read again.
    reason : str
        Why the copy is used, or why there is none.
    """

    backup: KvBackup | None
    reason: str


def choose_copy(origin, content):
    """Choose the KV copy from which a stream that its caller takes up goes on.

    Made for hosts that are killed while several callers read runs of the same request.
    Only the attempt that a caller names shows which run it has read. That a host knows
    one run of a request does not show that there is no other: the record of another run
    may be lost, expired or under way.

    Parameters
    ----------
    origin : StreamOrigin
        Origin of the stream, with the copy of its latest run if the caller has named
        an attempt that is recorded.
    content : bytes
        Digest of the caller's request.

    Returns
    -------
    CopyChoice
    """
    backup = origin.kv_backup
    if backup is None:
        return CopyChoice(None, "no copy of a run that the caller names is known")
    if not is_copied_request(origin, content):
        return CopyChoice(None, "the copy is of another request")
    return CopyChoice(backup, "copy of the stream's latest run")


def is_copied_request(origin, content):
    """Return whether a stream's KV copy, if there is one, is of the same request."""
    return origin.kv_backup is None or origin.kv_backup.content == content


def prefer_lasting_versions(views, draining_counts, prompt):
    """Return the engines that a new stream should begin on, by their versions.

    A version with one engine leaves its streams nowhere to go. In a release, as many
    engines as are draining now may drain before a new stream ends, so they don't count.
    Engines of other versions go first while one of them has memory and at most one
    prompt queued.

    Parameters
    ----------
    views : list of EngineView
        Usable engines.
    draining_counts : Counter of str
        Number of draining engines by version.
    prompt : Prompt
        Token counts of the call.
    """
    counts = Counter(view.version for view in views)
    if len(counts) < 2:
        return views
    several = [
        view for view in views if counts[view.version] >= MIN_ENGINES_PER_VERSION
    ]
    lasting = [
        view
        for view in several
        if counts[view.version] - draining_counts[view.version]
        >= MIN_ENGINES_PER_VERSION
    ]
    for preferred in (lasting, several):
        if any(view.has_room(prompt) for view in preferred):
            return preferred
    return views
