"""Addresses of dispatchers, as settings and membership records give them."""

from __future__ import annotations

import ipaddress


def parse_address(text: str) -> tuple[str, int] | None:
    """Split `IP:PORT` for a socket call.

    Host names are not resolved: a record of another member must not make this process ask a name server.

    Returns:
        Host and port, or None where the text is not an IP address with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        return str(ipaddress.ip_address(host)), int(port)
    except ValueError:
        return None
