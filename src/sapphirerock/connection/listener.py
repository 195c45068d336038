"""The socket on which a host listens for callers.

It is opened before the modules of the router are imported, which takes most of a start,
so that connections of callers wait meanwhile instead of being refused.
"""

import socket

# Connections that wait to be accepted.
BACKLOG = 1024


def open_listener(endpoint):
    """Return a socket that listens for connections of callers.

    Parameters
    ----------
    endpoint : Endpoint
        Address and port to listen on.

    Raises
    ------
    OSError
        If the address can't be listened on.
    """
    return socket.create_server((endpoint.address, endpoint.port), backlog=BACKLOG)
