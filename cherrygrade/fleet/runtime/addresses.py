"""Where a member says that it is."""

from __future__ import annotations

import ipaddress


def address(place: str) -> tuple[str, int] | None:
    """Host and port; None where nothing can go: names are not looked up for anybody's word."""
    host, _, port = place.rpartition(":")
    try:
        return str(ipaddress.ip_address(host)), int(port)
    except ValueError:
        return None
