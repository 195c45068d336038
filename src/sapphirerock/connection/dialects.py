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
    """Base class of protocol variants: request encoding and response decoding.

    Attributes
    ----------
    name : str
        Name that the dialect is registered under.
    report_path : str
        Path of an engine's status report, which it returns under any load. A missing
        report shows that the engine is down.
    """

    __slots__ = ()
    name = ""
    report_path = ""

    def make_headers(
        self,
        call,
        engine,
        remaining_s,
        backup=None,
        continuation=None,
        urgency=None,
    ):
        """Return the headers of a request.

        Parameters
        ----------
        call : RoutedCall
            The caller's call.
        engine : EngineEntry
            Engine that the request is meant for. Its id is sent, so that another
            engine that has its address by then rejects the request.
        remaining_s : float
            Time until the deadline of the call, in seconds.
        backup : EngineEntry or None
            Engine to which the run's KV memory is copied continuously.
        continuation : ResumePoint or None
            Last event and KV copy that the run resumes from; None for a new run.
        urgency : int or None
            Level at which the engine admits the run, 0 being the most urgent; None to
            leave it to the engine.

        Returns
        -------
        list of (str, str)
        """
        raise NotImplementedError

    def decode_response_head(self, response):
        """Return the `ResponseHead` of an engine's `aiohttp.ClientResponse`."""
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
        """Return the `KvCopy` that the body of a copy response describes.

        Parameters
        ----------
        source, target : EngineEntry
            Engine that made the copy, and engine that received it.
        body : bytes
            Body of the response.

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
