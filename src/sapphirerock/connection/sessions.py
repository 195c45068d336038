"""HTTP client sessions that are bound to this host's address."""

from aiohttp import ClientSession, ClientTimeout, TCPConnector

CONNECT_TIMEOUT_S = 0.5


def make_session(address, force_close=False):
    """Return an HTTP client session.

    Parameters
    ----------
    address : str
        Local IP address of outgoing connections.
    force_close : bool
        Whether to open a new connection for each request.
    """
    connector = TCPConnector(limit=0, local_addr=(address, 0), force_close=force_close)
    return ClientSession(
        connector=connector, timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
    )
