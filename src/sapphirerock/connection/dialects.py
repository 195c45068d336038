"""Protocol variants of engines of different vendors."""

DIALECTS = {}


def register_dialect(name):
    """Register an instance of a dialect class under a name."""

    def register(cls):
        cls.name = name
        DIALECTS[name] = cls()
        return cls

    return register


class EngineDialect:
    """Base class: encodes requests to an engine and decodes its responses.

    Attributes
    ----------
    report_target : str
        Path of a report that an engine serves at any load.
    """

    __slots__ = ()
    name = ""
    report_target = ""

    def make_headers(self, call, engine, remaining_s, backup=None, continuation=None):
        """Return the headers of a request.

        Parameters
        ----------
        call : RoutedCall
            The caller's call.
        engine : EngineEntry
            Engine that the request is for; any other engine that has its address
            must refuse the request.
        remaining_s : float
            Time that the engine has left for the call, in seconds.
        backup : EngineEntry or None
            Engine to which the run's KV memory is copied continuously.
        continuation : Continuation or None
            Event and KV copy that the run resumes from.

        Returns
        -------
        list of (str, str)
        """
        raise NotImplementedError

    def decode_response_head(self, response):
        """Return the `ResponseHead` of an engine's response."""
        raise NotImplementedError

    def select_response_headers(self, response):
        """Return the response headers to send to the caller."""
        raise NotImplementedError

    def make_copy_request(self, attempt_id, target):
        """Return the request that copies a run's KV memory to another engine.

        Parameters
        ----------
        attempt_id : str
            Attempt id of the run.
        target : EngineEntry
            Engine that receives the copy.

        Returns
        -------
        OutboundRequest
        """
        raise NotImplementedError

    def decode_copy(self, source, target, body):
        """Return the `KvCopy` from the body of a copy response.

        Returns
        -------
        KvCopy or None
            None when the body is malformed.
        """
        raise NotImplementedError

    def decode_start_ms(self, body):
        """Return the start time of an engine from the body of its report.

        Returns
        -------
        int or None
            Unix time in milliseconds; 0 when the report has no start time, None
            when it is malformed.
        """
        raise NotImplementedError
