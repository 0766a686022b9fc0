"""`python -m cherrygrade.wirehost`: reads batches on standard input, replies on standard output."""

from __future__ import annotations

import sys

from cherrygrade.wirehost.host import Host, MalformedLineError


def main() -> int:
    """Serve until standard input ends.

    Returns:
        0; 1: standard output was closed; 2: a line was malformed.
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
