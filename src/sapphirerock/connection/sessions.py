"""HTTP client sessions that call from this host's own address."""

from aiohttp import ClientSession, ClientTimeout, TCPConnector

CONNECT_BOUND_S = 0.5


def make_session(address, force_close=False):
    """Return a session.

    Parameters
    ----------
    address : str
        IP number that calls are made from.
    force_close : bool
        Whether each connection carries a single request.
    """
    connector = TCPConnector(limit=0, local_addr=(address, 0), force_close=force_close)
    return ClientSession(
        connector=connector, timeout=ClientTimeout(sock_connect=CONNECT_BOUND_S)
    )
