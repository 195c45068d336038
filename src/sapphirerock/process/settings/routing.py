"""The operator's configuration in force on this host."""

from loguru import logger


class RoutingStore:
    """Keeps the newest version of the configuration that could be decoded.

    Parameters
    ----------
    decode : callable
        Maps an object's content and revision to a Result of RoutingVersion.
    name : str
        Name of the object that holds the configuration.

    Attributes
    ----------
    current : RoutingVersion or None
        The configuration in force; None until one has arrived.
    """

    __slots__ = ("current", "_decode", "_name", "_listeners")

    def __init__(self, decode, name):
        self.current = None
        self._decode = decode
        self._name = name
        self._listeners = []

    def subscribe(self, listener):
        """Register a function to call with each new version."""
        self._listeners.append(listener)

    def apply_changes(self, changes):
        """Apply changes of the configuration; older revisions are ignored."""
        for change in changes:
            if change.name == self._name and not change.is_deletion:
                self._apply(change)

    def _apply(self, change):
        if self.current is not None and change.revision <= self.current.revision:
            return
        decoded = self._decode(change.spec, change.revision)
        if decoded.is_error():
            logger.bind(revision=change.revision, cause=str(decoded.error)).error(
                "configuration refused"
            )
            return
        if self.current is not None and decoded.ok.number < self.current.number:
            # A store that was restored from a copy shows what came before.
            logger.bind(
                version=decoded.ok.number,
                revision=change.revision,
                in_force=self.current.number,
            ).warning("older configuration ignored")
            return
        self.current = decoded.ok
        logger.bind(
            version=self.current.number,
            revision=change.revision,
            routes=len(self.current.routes),
        ).info("configuration in force")
        for listener in self._listeners:
            listener(self.current)
