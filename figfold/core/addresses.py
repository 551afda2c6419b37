"""Addresses of the form ``host:port`` whose host is an IP address."""

import re
from functools import lru_cache
from ipaddress import ip_address

HIGHEST_PORT = 65535
PORT_PATTERN = re.compile("[0-9]{1,5}")


# Servers repeat their address in each heartbeat.
@lru_cache(maxsize=8192)
def parse_address(text, lowest_port=1):
    """Return the address in its canonical form, or None if it is not valid.

    Host names are not valid: they would have to be looked up before each use. An IPv6 address is
    written in brackets, without a scope.

    Parameters
    ----------
    text : str
    lowest_port : int
        Zero admits listening addresses whose port the kernel chooses.

    Returns
    -------
    str or None
    """
    host, colon, port = text.rpartition(":")
    if not colon or not PORT_PATTERN.fullmatch(port):
        return None
    if not lowest_port <= int(port) <= HIGHEST_PORT or "%" in host:
        return None
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return None
    if (address.version == 6) != is_bracketed:
        return None
    return f"[{address}]:{int(port)}" if is_bracketed else f"{address}:{int(port)}"
