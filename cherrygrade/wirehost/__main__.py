"""Runs `python -m cherrygrade.wirehost`: reads batches from standard input, replies on standard output."""

from __future__ import annotations

import sys

from cherrygrade.wirehost.host import Host, MalformedLineError


def main() -> int:
    """Serve until standard input ends.

    Returns:
        The exit code. 0: standard input ended; 1: standard output was closed; 2: a line was malformed.
    """
    host = Host(sys.stdout)
    try:
        for line in sys.stdin:
            host.read(line.rstrip("\r\n"))
    except MalformedLineError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
