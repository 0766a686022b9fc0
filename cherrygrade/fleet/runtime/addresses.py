"""Parses the addresses of dispatchers that settings and membership records contain."""

from __future__ import annotations

import ipaddress


def parse_address(text: str) -> tuple[str, int] | None:
    """Split `IP:PORT` for a socket call.

    Host names are not resolved: a record of another member must not make this process query a name server.

    Returns:
        The IP address and the port; None where the text is not an IP address with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        return str(ipaddress.ip_address(host)), int(port)
    except ValueError:
        return None
