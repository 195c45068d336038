"""How engines of different makes are spoken to."""

DIALECTS = {}


def register_dialect(name):
    """Register a dialect class under a name."""

    def register(cls):
        cls.name = name
        DIALECTS[name] = cls()
        return cls

    return register


class EngineDialect:
    """Base class: how a call becomes a request to an engine, and what it answers.

    Attributes
    ----------
    report_target : str
        Path of a page that an engine answers whatever its load.
    """

    __slots__ = ()
    name = ""
    report_target = ""

    def make_headers(self, call, engine, remaining_s, backup=None, continuation=None):
        """Return the head of a request.

        Parameters
        ----------
        call : RoutedCall
            The caller's call.
        engine : EngineEntry
            Where it goes; any other engine at the address must refuse it.
        remaining_s : float
            Time that the engine may work, in seconds.
        backup : EngineEntry or None
            Engine that the run's memory is copied to as it grows.
        continuation : Continuation or None
            Where the run goes on from.

        Returns
        -------
        list of (str, str)
        """
        raise NotImplementedError

    def read_head(self, response):
        """Return the `AnswerHead` of an engine's answer."""
        raise NotImplementedError

    def select_answer_headers(self, response):
        """Return the headers of an answer that go to the caller."""
        raise NotImplementedError

    def make_copy_request(self, attempt_id, target):
        """Return the request that copies a run's memory to another engine.

        Parameters
        ----------
        attempt_id : str
            The run.
        target : EngineEntry
            Where the copy goes.

        Returns
        -------
        OutboundRequest
        """
        raise NotImplementedError

    def read_copy(self, source, target, body):
        """Return the `RunCopy` that an answer to a copy request describes, or None."""
        raise NotImplementedError

    def read_start(self, body):
        """Return the start of the engine that a report names, or None.

        Returns
        -------
        int or None
            Unix millisecond; 0 where the report does not say.
        """
        raise NotImplementedError
